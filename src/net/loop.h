// The libuv loop as a Runtime.
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

  Ms now() const override;
  Ms wall() const override;
  TimerId after(Ms delay, std::function<void()> then) override;
  void cancel(TimerId id) override;

  uv_loop_t* raw() { return &loop_; }
  void run();

 private:
  struct Timer;
  uv_loop_t loop_;
  TimerId next_ = 1;
  std::unordered_map<TimerId, Timer*> timers_;
};

// "ADDRESS:PORT" as libuv wants it; throws std::invalid_argument.
sockaddr_in parse_endpoint(const std::string& endpoint);

}  // namespace seampass::net
