// net::CallbackScope: which wrapped callbacks are run.
#include "net/callback_scope.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>

namespace seampass::net {
namespace {

TEST(CallbackScope, RunsWhatWasWrappedInThisPeriod) {
  const CallbackScope scope;
  std::string received;
  const std::function<void(const std::string&)> callback =
      scope.wrap([&](const std::string& text) { received += text; });

  callback("a");
  callback("b");

  EXPECT_EQ(received, "ab");
}

TEST(CallbackScope, DropsWhatWasWrappedBeforeItWasRenewed) {
  CallbackScope scope;
  int before = 0;
  int after = 0;
  const auto old_callback = scope.wrap([&] { ++before; });
  scope.renew();
  const auto new_callback = scope.wrap([&] { ++after; });

  old_callback();
  new_callback();

  EXPECT_EQ(before, 0);
  EXPECT_EQ(after, 1);
}

TEST(CallbackScope, DropsEverythingOnceItIsDestroyed) {
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
