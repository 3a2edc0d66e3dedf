// Loop implements Runtime with a libuv event loop. It owns the libuv loop and all of its timers. A
// controller has a single thread, which runs this loop.
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
  [[nodiscard]] Ms unix_time_ms() const override;
  TimerId after(Ms delay, std::function<void()> callback) override;
  void cancel(TimerId id) override;

  uv_loop_t* raw() { return &loop_; }
  // Runs the loop until no timer or socket is active any more.
  void run();

 private:
  struct Timer;
  uv_loop_t loop_;
  TimerId next_id_ = 1;
  std::unordered_map<TimerId, Timer*> timers_;
};

// Converts "ADDRESS:PORT", with a numeric IPv4 address, to the form that libuv needs. Throws
// std::invalid_argument if `endpoint` is not of this form.
[[nodiscard]] sockaddr_in parse_endpoint(const std::string& endpoint);

}  // namespace seampass::net
