// Simulated time. Nothing runs but by a timer, and timers run in the order of their due time, then
// of their creation: a test plays the same on every machine.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "net/runtime.h"

namespace seampass::fakes {

using net::Ms;

// The clock and the timers of a whole simulated deployment. The test alone moves it on.
class SimTime : public net::Runtime {
 public:
  [[nodiscard]] Ms now() const override { return now_; }
  [[nodiscard]] Ms wall() const override { return kWallAtStart + now_; }
  net::TimerId after(Ms delay, std::function<void()> then) override {
    const net::TimerId id = next_timer_++;
    const Ms due = now_ + std::max<Ms>(0, delay);
    queue_.emplace(std::make_pair(due, id), std::move(then));
    due_[id] = due;
    return id;
  }
  void cancel(net::TimerId id) override {
    const auto it = due_.find(id);
    if (it == due_.end()) return;
    queue_.erase({it->second, id});
    due_.erase(it);
  }
  // Runs what is due until then, what those timers add included.
  void run_until(Ms end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto timer = queue_.extract(queue_.begin());
      now_ = timer.key().first;
      due_.erase(timer.key().second);
      timer.mapped()();
    }
    now_ = end;
  }
  void run_for(Ms duration) { run_until(now_ + duration); }

 private:
  static constexpr Ms kWallAtStart = 1'700'000'000'000;

  Ms now_ = 0;
  net::TimerId next_timer_ = 1;
  std::map<std::pair<Ms, net::TimerId>, std::function<void()>> queue_;
  std::map<net::TimerId, Ms> due_;
};

// One process's view of time. Its timers do not run once it was killed, that is, destroyed.
class Process : public net::Runtime {
 public:
  explicit Process(SimTime& time) : time_(time), alive_(std::make_shared<bool>(true)) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() override { *alive_ = false; }

  [[nodiscard]] Ms now() const override { return time_.now(); }
  [[nodiscard]] Ms wall() const override { return time_.wall(); }
  net::TimerId after(Ms delay, std::function<void()> then) override {
    return time_.after(delay + lag, [alive = alive_, then = std::move(then)] {
      if (*alive) then();
    });
  }
  void cancel(net::TimerId id) override { time_.cancel(id); }
  // False once the process has ended; shared with what it has under way.
  [[nodiscard]] std::shared_ptr<bool> alive() const { return alive_; }

  // An overloaded process: every timer runs so much later than it is due.
  Ms lag = 0;

 private:
  SimTime& time_;
  std::shared_ptr<bool> alive_;
};

}  // namespace seampass::fakes
