// The libuv loop as a Runtime. Owns the loop and its timers; the only thread of a controller runs
// it.
#pragma once

#include <uv.h>

#include <memory>
#include <unordered_map>

#include "net/runtime.h"

namespace seampass::net {

class Loop : public Runtime {
 public:
  Loop();
  ~Loop() override;
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  [[nodiscard]] Ms now() const override;
  [[nodiscard]] Ms wall() const override;
  TimerId after(Ms delay, std::function<void()> then) override;
  void cancel(TimerId id) override;

  uv_loop_t* raw() { return &loop_; }
  // Until nothing is left to wait for.
  void run();

 private:
  struct Timer;
  uv_loop_t loop_;
  TimerId next_ = 1;
  std::unordered_map<TimerId, Timer*> timers_;
};

// "ADDRESS:PORT" as libuv wants it; throws std::invalid_argument.
[[nodiscard]] sockaddr_in parse_endpoint(const std::string& endpoint);

}  // namespace seampass::net
