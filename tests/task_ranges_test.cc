// Tests TaskRanges against a plain vector on random input.
#include "sched/task_ranges.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <set>
#include <vector>

namespace seampass::sched {
namespace {

std::vector<std::uint32_t> listed(const TaskRanges& tasks) {
  std::vector<std::uint32_t> list;
  for (const std::uint32_t task : tasks) list.push_back(task);
  return list;
}

TEST(TaskRanges, AgreesWithAReferenceModel) {
  std::mt19937 random(7);
  for (int round = 0; round < 300; ++round) {
    TaskRanges tasks;
    std::vector<std::uint32_t> model;
    std::set<std::uint32_t> removed;
    const std::uint32_t end = random() % 30;
    for (std::uint32_t task = 0; task < end; ++task) {
      if (random() % 3 == 0) continue;
      tasks.push_back(task);
      model.push_back(task);
      if (random() % 4 == 0) removed.insert(task);
    }
    ASSERT_EQ(listed(tasks), model);
    ASSERT_EQ(tasks.size(), model.size());
    ASSERT_EQ(tasks.empty(), model.empty());
    if (!model.empty()) {
      ASSERT_EQ(tasks.front(), model.front());
    }

    tasks.remove(removed);
    std::erase_if(model, [&](std::uint32_t task) { return removed.contains(task); });
    ASSERT_EQ(listed(tasks), model);
    ASSERT_EQ(tasks.size(), model.size());
  }
}

TEST(TaskRanges, StoresConsecutiveTasksAsOneRange) {
  EXPECT_EQ(TaskRanges::up_to(100000).range_count(), 1u);
  EXPECT_EQ(TaskRanges::up_to(100000).size(), 100000u);
  EXPECT_TRUE(TaskRanges::up_to(0).empty());
  EXPECT_EQ(TaskRanges::up_to(3), (TaskRanges{0, 1, 2}));
  EXPECT_EQ((TaskRanges{0, 1, 5}).range_count(), 2u);
}

}  // namespace
}  // namespace seampass::sched
