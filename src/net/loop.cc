#include "net/loop.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace seampass::net {

namespace {

constexpr std::uint64_t kNanosecondsPerMs = 1'000'000;
constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;
constexpr int kDecimalBase = 10;

}  // namespace

struct Loop::Timer {
  uv_timer_t handle;
  Loop* loop;
  TimerId id;
  std::function<void()> callback;
};

Loop::Loop() { uv_loop_init(&loop_); }

Loop::~Loop() {
  while (!timers_.empty()) cancel(timers_.begin()->first);
  uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

// Reads the clock with uv_hrtime and not with uv_now. uv_now returns the time at which the current
// loop iteration began, which is far in the past after a long callback or after the process was
// suspended.
Ms Loop::now() const { return static_cast<Ms>(uv_hrtime() / kNanosecondsPerMs); }

Ms Loop::unix_time_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimerId Loop::after(Ms delay, std::function<void()> callback) {
  auto* timer = new Timer{{}, this, next_id_++, std::move(callback)};
  uv_timer_init(&loop_, &timer->handle);
  timer->handle.data = timer;
  timers_[timer->id] = timer;
  // libuv measures a timer's delay from uv_now, the start of the current loop iteration. The time
  // that has passed since then is therefore added to the delay. Otherwise a timer that is set late
  // in a long iteration would fire too early, and requests would time out before their replies
  // could arrive.
  const Ms since_iteration_start = std::max<Ms>(0, now() - static_cast<Ms>(uv_now(&loop_)));
  uv_timer_start(
      &timer->handle,
      [](uv_timer_t* handle) {
        auto* expired = static_cast<Timer*>(handle->data);
        const auto callback = std::move(expired->callback);
        expired->loop->cancel(expired->id);
        callback();
      },
      static_cast<std::uint64_t>(std::max<Ms>(0, delay) + since_iteration_start), 0);
  return timer->id;
}

void Loop::cancel(TimerId id) {
  const auto it = timers_.find(id);
  if (it == timers_.end()) return;
  Timer* timer = it->second;
  timers_.erase(it);
  uv_timer_stop(&timer->handle);
  uv_close(reinterpret_cast<uv_handle_t*>(&timer->handle),
           [](uv_handle_t* handle) { delete static_cast<Timer*>(handle->data); });
}

void Loop::run() { uv_run(&loop_, UV_RUN_DEFAULT); }

sockaddr_in parse_endpoint(const std::string& endpoint) {
  const auto colon = endpoint.rfind(':');
  sockaddr_in address{};
  if (colon == std::string::npos || colon + 1 >= endpoint.size() ||
      endpoint.size() - colon > kMaxPortDigits + 1)
    throw std::invalid_argument("not an IPv4 address and port: " + endpoint);
  int port = 0;
  for (std::size_t i = colon + 1; i < endpoint.size(); ++i) {
    if (endpoint[i] < '0' || endpoint[i] > '9')
      throw std::invalid_argument("not an IPv4 address and port: " + endpoint);
    port = port * kDecimalBase + (endpoint[i] - '0');
  }
  if (port > kMaxPort || uv_ip4_addr(endpoint.substr(0, colon).c_str(), port, &address) != 0)
    throw std::invalid_argument("not an IPv4 address and port: " + endpoint);
  return address;
}

}  // namespace seampass::net
