// The one guard for callbacks that must not outlive what they refer to. An actor that is reset from
// time to time (at the end of a term of leadership, say) owns a CallbackScope, wraps every timer
// and answer in it, and renews it when it is reset: callbacks of the time before then do nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace seampass::net {

class CallbackScope {
 public:
  // Names one period of the scope, for loops that call out and must stop once it has been renewed.
  class Period {
   public:
    [[nodiscard]] bool current() const { return number_ == *counter_; }

   private:
    friend class CallbackScope;
    explicit Period(std::shared_ptr<const std::uint64_t> counter)
        : counter_(std::move(counter)), number_(*counter_) {}

    std::shared_ptr<const std::uint64_t> counter_;
    std::uint64_t number_;
  };

  CallbackScope() : counter_(std::make_shared<std::uint64_t>(0)) {}
  ~CallbackScope() { renew(); }
  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  // From now on, nothing that was wrapped before is run.
  void renew() { ++*counter_; }
  [[nodiscard]] Period period() const { return Period(counter_); }

  // `function`, run only until the scope is renewed or destroyed.
  template <typename Function>
  [[nodiscard]] auto wrap(Function function) const {
    return [period = period(), function = std::move(function)](auto&&... arguments) {
      if (period.current()) function(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<std::uint64_t> counter_;
};

}  // namespace seampass::net
