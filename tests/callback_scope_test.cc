// Tests which wrapped callbacks a net::CallbackScope runs and which it ignores.
#include "net/callback_scope.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>

namespace seampass::net {
namespace {

TEST(CallbackScope, RunsCallbacksWrappedInTheCurrentPeriod) {
  const CallbackScope scope;
  std::string received;
  const std::function<void(const std::string&)> callback =
      scope.wrap([&](const std::string& text) { received += text; });

  callback("a");
  callback("b");

  EXPECT_EQ(received, "ab");
}

TEST(CallbackScope, IgnoresCallbacksWrappedBeforeRenew) {
  CallbackScope scope;
  int old_runs = 0;
  int new_runs = 0;
  const auto old_callback = scope.wrap([&] { ++old_runs; });
  scope.renew();
  const auto new_callback = scope.wrap([&] { ++new_runs; });

  old_callback();
  new_callback();

  EXPECT_EQ(old_runs, 0);
  EXPECT_EQ(new_runs, 1);
}

TEST(CallbackScope, IgnoresCallbacksAfterItIsDestroyed) {
  std::optional<CallbackScope> scope(std::in_place);
  int runs = 0;
  const auto callback = scope->wrap([&] { ++runs; });
  scope.reset();

  callback();

  EXPECT_EQ(runs, 0);
}

TEST(CallbackScope, APeriodEndsWhenTheScopeIsRenewed) {
  CallbackScope scope;
  const CallbackScope::Period period = scope.period();
  EXPECT_TRUE(period.current());

  scope.renew();

  EXPECT_FALSE(period.current());
  EXPECT_TRUE(scope.period().current());
}

}  // namespace
}  // namespace seampass::net
