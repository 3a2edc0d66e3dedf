// Simulated time in milliseconds. Code runs only from timers, and timers run in the order of their
// due time and then of their creation. A test therefore runs identically on every machine.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "net/runtime.h"

namespace seampass::fakes {

using net::Ms;

// The clock and the timers of a whole simulated deployment. Only the test advances the clock.
class SimTime : public net::Runtime {
 public:
  [[nodiscard]] Ms now() const override { return now_; }
  [[nodiscard]] Ms unix_time_ms() const override { return kUnixTimeAtStart + now_; }
  net::TimerId after(Ms delay, std::function<void()> then) override {
    const net::TimerId id = next_timer_++;
    const Ms due = now_ + std::max<Ms>(0, delay);
    queue_.emplace(std::make_pair(due, id), std::move(then));
    due_times_[id] = due;
    return id;
  }
  void cancel(net::TimerId id) override {
    const auto it = due_times_.find(id);
    if (it == due_times_.end()) return;
    queue_.erase({it->second, id});
    due_times_.erase(it);
  }
  // Runs all timers that are due until `end`, including those that these timers create.
  void run_until(Ms end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto timer = queue_.extract(queue_.begin());
      now_ = timer.key().first;
      due_times_.erase(timer.key().second);
      timer.mapped()();
    }
    now_ = end;
  }
  void run_for(Ms duration) { run_until(now_ + duration); }

 private:
  static constexpr Ms kUnixTimeAtStart = 1'700'000'000'000;

  Ms now_ = 0;
  net::TimerId next_timer_ = 1;
  std::map<std::pair<Ms, net::TimerId>, std::function<void()>> queue_;
  std::map<net::TimerId, Ms> due_times_;
};

// The clock and timers of one simulated process. Destroying the object kills the process: its
// remaining timers do not run.
class Process : public net::Runtime {
 public:
  explicit Process(SimTime& time) : time_(time), alive_(std::make_shared<bool>(true)) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() override { *alive_ = false; }

  [[nodiscard]] Ms now() const override { return time_.now(); }
  [[nodiscard]] Ms unix_time_ms() const override { return time_.unix_time_ms(); }
  net::TimerId after(Ms delay, std::function<void()> then) override {
    return time_.after(delay + lag, [alive = alive_, then = std::move(then)] {
      if (*alive) then();
    });
  }
  void cancel(net::TimerId id) override { time_.cancel(id); }
  // False once the process has ended. The process's pending requests share this flag, so that they
  // do not call back into an ended process.
  [[nodiscard]] std::shared_ptr<bool> alive() const { return alive_; }

  // Simulates an overloaded process: every timer created from now on runs this much later than
  // requested.
  Ms lag = 0;

 private:
  SimTime& time_;
  std::shared_ptr<bool> alive_;
};

}  // namespace seampass::fakes
