// Tests that this version reads its own task records in both layouts and those of the version in
// production, and that the version in production reads the chunks of this version.
#include "leader/records/task_record.h"

#include <gtest/gtest.h>

#include <set>
#include <tuple>

#include "fakes/production_records.h"
#include "leader/records/keys.h"

namespace seampass::fakes {
namespace {

using leader::Layout;
using leader::RecordId;
using leader::RecordLayout;
using leader::RecordSpans;
using leader::TaskRecord;

// A simple copy of how the version in production reads a record. It takes the index of the chunk
// from the key, counts the finished tasks from the first task of that chunk, and reads the assigned
// tasks by their numbers within the job.
struct ProductionReader {
  std::uint32_t chunk_tasks = 0;
  std::set<std::uint32_t> finished;
  std::map<std::uint32_t, std::string> assigned;

  void read(const std::string& name, const wire::Json& record) {
    const auto chunk = static_cast<std::uint32_t>(std::stoul(name));
    const std::uint32_t job_tasks = record.at("of").get<std::uint32_t>();
    for (const char* field : {"attempt", "cpus", "gpus", "memory"}) record.at(field).get<double>();
    record.at("team").get<std::string>();
    const std::string hex_digits = record.value("finished", "");
    for (std::size_t i = 0; i < hex_digits.size() * 4; ++i) {
      const char c = hex_digits[i / 4];
      const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
      const std::uint32_t task = chunk * chunk_tasks + static_cast<std::uint32_t>(i);
      if ((digit >> (i % 4) & 1) != 0 && task < job_tasks) finished.insert(task);
    }
    for (const wire::Json& assignment : record.at("tasks"))
      if (assignment.at(0).get<std::uint32_t>() < job_tasks)
        assigned.emplace(assignment.at(0).get<std::uint32_t>(),
                         assignment.at(2).get<std::string>());
  }
};

TEST(TaskRecord, ProductionVersionReadsChunksOfThisVersion) {
  RecordLayout layout(RecordSpans::for_values(8, 2));
  for (std::uint32_t index = 0; index < 2; ++index) {
    TaskRecord record;
    record.id = {Layout::chunks, index};
    record.range = layout.range(record.id, 200);
    record.team = "blue";
    record.job_tasks = 200;
    record.finished.assign(record.range.end - record.range.first, false);
    record.finished[5] = record.finished.back() = true;
    record.assignments = {{record.range.first + 7, 3, "m-000001", 2}};
    ProductionReader reader{128, {}, {}};
    reader.read(leader::record_name(record.id), leader::encode(record));
    EXPECT_EQ(reader.finished,
              (std::set<std::uint32_t>{record.range.first + 5, record.range.end - 1}));
    EXPECT_EQ(reader.assigned.size(), 1u);
    EXPECT_TRUE(reader.assigned.contains(record.range.first + 7));
  }
}

TEST(TaskRecord, NamesRoundTripAndMalformedRecordsAreRejected) {
  RecordLayout layout(RecordSpans::for_values(32, 2));
  layout.use(Layout::segments, layout.spans());
  for (const std::uint32_t task : {0U, 41U, 42U, 511U, 512U, 99999U}) {
    const RecordId id = layout.record_of(task);
    EXPECT_TRUE(layout.range(id, 100000).contains(task));
    EXPECT_TRUE(layout.range(layout.chunk_of(task), 100000).contains(task));
    EXPECT_EQ(leader::record_id_from(leader::record_name(id)), id);
  }
  for (const char* name : {"", "s", "x1", "1x", "s1x", "-1", "99999999999"})
    EXPECT_FALSE(leader::record_id_from(name)) << name;
  const wire::Json valid = wire::Json::parse(
      R"({"attempt":3,"cpus":1.0,"gpus":0.0,"memory":2.0,"team":"t","of":5,"tasks":[[1,2,"m-1",1]]})");
  EXPECT_EQ(leader::decode_task_record({}, valid, layout).assignments.size(), 1u);
  const auto expect_malformed = [&](const char* field, const wire::Json& value) {
    wire::Json malformed = valid;
    malformed[field] = value;
    EXPECT_THROW(std::ignore = leader::decode_task_record({}, malformed, layout), wire::Malformed)
        << field;
  };
  const auto parsed = [](const char* text) { return wire::Json::parse(text); };
  expect_malformed("attempt", parsed("\"3\""));
  expect_malformed("of", parsed("1e9"));
  expect_malformed("of", parsed("1073741824"));
  expect_malformed("tasks", parsed("[[7,2,\"m-1\",1]]"));
  expect_malformed("tasks", parsed("[[1,2,\"m-1\"]]"));
  expect_malformed("tasks", parsed("3"));
  expect_malformed("finished", parsed("\"zz\""));
  expect_malformed("finished", parsed("\"00000f\""));
  expect_malformed("span", parsed("6"));
  EXPECT_THROW(std::ignore = leader::decode_task_record({}, "text", layout), wire::Malformed);
}

// A full segment with the longest ordinary names and numbers fits into 2 KiB, the smallest maximum
// value size of a state service, and leaves a sixteenth of it free.
TEST(TaskRecord, FullSegmentFitsTheSmallestMaximumValueSize) {
  RecordLayout layout(RecordSpans::for_values(32, 2));
  layout.use(Layout::segments, layout.spans());
  TaskRecord record;
  record.id = layout.record_of(99990);
  record.range = layout.range(record.id, 100000);
  record.last_attempt = 9999;
  record.team = std::string(200, 't');
  record.request = {123.456, 12.345, 1234.567};
  record.job_tasks = 100000;
  record.finished.assign(record.range.end - record.range.first, true);
  for (std::uint32_t task = record.range.first; task < record.range.end; ++task)
    record.assignments.push_back({task, 9999, "m-0000000123", 9999});
  EXPECT_LE(leader::encode(record).dump().size(), 2048u * 15 / 16);
}

TEST(TaskRecord, ReadsRecordsOfTheProductionVersion) {
  const RecordLayout layout(RecordSpans::for_values(8, 2));
  const auto read = [&](const std::string& key) {
    const auto id = leader::record_id_from(key.substr(key.rfind('/') + 1));
    return leader::decode_task_record(*id, wire::Json::parse(kProductionRecords.at(key)), layout);
  };
  const TaskRecord first = read("work/wk-1/0");
  EXPECT_EQ(first.range.first, 0u);
  EXPECT_EQ(first.finished, std::vector<bool>(128, true));
  const TaskRecord second = read("work/wk-1/1");
  EXPECT_EQ(second.range.first, 128u);
  EXPECT_EQ(second.range.end, 140u);
  EXPECT_EQ(second.finished, std::vector<bool>(12, false));
  EXPECT_EQ(second.assignments.size(), 12u);
  EXPECT_EQ(second.assignments.front().machine, "m-000001");
  EXPECT_EQ(read("work/wk-2/0").assignments.size(), 3u);
}

}  // namespace
}  // namespace seampass::fakes
