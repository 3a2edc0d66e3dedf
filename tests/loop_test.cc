// The real event loop.
#include "net/loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace seampass::net {
namespace {

// Leases run on while a callback does: a time that was read before it would be too early.
TEST(Loop, TimeMovesOnWithinALongCallback) {
  Loop loop;
  Ms before = 0;
  Ms after = 0;
  Ms fired = 0;
  loop.after(1, [&] {
    before = loop.now();
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    after = loop.now();
    loop.after(40, [&] { fired = loop.now(); });
  });
  loop.run();
  EXPECT_GE(after, before + 60);
  EXPECT_GE(fired, after + 40);
}

}  // namespace
}  // namespace seampass::net
