// Tests the clock and the timers of the libuv event loop.
#include "net/loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace seampass::net {
namespace {

// Leases continue to run out during a long callback. If now() returned the time at which the loop
// iteration began, a leader could take an expired lease for a valid one. If a timer that is set in
// the callback were measured from that time, it would fire too early.
TEST(Loop, NowAndNewTimersAreCorrectInALongCallback) {
  Loop loop;
  Ms callback_start = 0;
  Ms callback_end = 0;
  Ms fired = 0;
  loop.after(1, [&] {
    callback_start = loop.now();
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    callback_end = loop.now();
    loop.after(40, [&] { fired = loop.now(); });
  });
  loop.run();
  EXPECT_GE(callback_end, callback_start + 60);
  EXPECT_GE(fired, callback_end + 40);
}

}  // namespace
}  // namespace seampass::net
