// CallbackScope guards callbacks that must not run after the state they refer to is reset or
// destroyed. An actor that is reset repeatedly, for example at the end of each leadership term,
// owns a CallbackScope, wraps each of its timer and reply callbacks with wrap(), and calls renew()
// when it is reset. A callback that was wrapped before the reset then does nothing when it is
// called.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace seampass::net {

class CallbackScope {
 public:
  // A Period is the time between two renewals of the scope. A loop that calls other code takes a
  // Period first and stops when current() returns false, because that code may renew the scope.
  class Period {
   public:
    [[nodiscard]] bool current() const { return generation_ == *current_generation_; }

   private:
    friend class CallbackScope;
    explicit Period(std::shared_ptr<const std::uint64_t> current_generation)
        : current_generation_(std::move(current_generation)), generation_(*current_generation_) {}

    std::shared_ptr<const std::uint64_t> current_generation_;
    std::uint64_t generation_;
  };

  CallbackScope() : current_generation_(std::make_shared<std::uint64_t>(0)) {}
  ~CallbackScope() { renew(); }
  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  // Starts a new period. Callbacks that were wrapped before this call no longer run.
  void renew() { ++*current_generation_; }
  [[nodiscard]] Period period() const { return Period(current_generation_); }

  // Returns a callback that runs `function`, or does nothing once the scope is renewed or
  // destroyed.
  template <typename Function>
  [[nodiscard]] auto wrap(Function function) const {
    return [period = period(), function = std::move(function)](auto&&... arguments) {
      if (period.current()) function(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<std::uint64_t> current_generation_;
};

}  // namespace seampass::net
