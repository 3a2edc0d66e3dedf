// Compares the stored formats with literals: keys, open jobs, task records in both layouts, final
// statuses, and the keys of the cluster record and the leader's record.
//
// A controller of this version must read what an earlier version has stored. While both versions
// run side by side, the earlier version must also read what this version stores. A literal here
// must therefore never be changed together with the program. If a literal no longer matches, this
// version can no longer read stored data, or the previous version cannot read what this version
// stores.
#include <gtest/gtest.h>

#include "jobs/final_status.h"
#include "leader/jobs/open_record.h"
#include "leader/records/keys.h"
#include "leader/records/task_record.h"

namespace seampass {
namespace {

using leader::Layout;
using leader::RecordId;
using leader::RecordLayout;
using leader::RecordSpans;
using leader::TaskRecord;
using wire::Json;

constexpr std::int64_t kCreated = 1650000123456;

// A job that uses every field, and a job without any optional field.
const char* const kFullOpenRecord =
    R"({"created_ms":1650000123456,"job":{"accelerators":2.0,"apart":true,"barrels":["t-large","t-small"],"blend":"image-5","cellar":"zone-3","cpus":6.5,"cuvee_class":"render","due_s":1800.0,"expected_s":75.0,"lent_racks":true,"memory_gb":48.0,"owner_crew":"green","pours":12,"pull_gb":3.25,"rack_every_s":20.0,"rack_s":2.5,"rank":"critical","ref":"wk-8801","shape":"standing","together":true,"waits_on":["wk-8800","wk-8799"]}})";
const char* const kPlainOpenRecord =
    R"({"created_ms":1650000123456,"job":{"accelerators":0.0,"apart":false,"barrels":null,"blend":"image-6","cellar":null,"cpus":1.0,"cuvee_class":"batch","due_s":null,"expected_s":30.0,"lent_racks":false,"memory_gb":2.0,"owner_crew":"green","pours":1,"pull_gb":0.0,"rack_every_s":0.0,"rack_s":0.0,"rank":"idle","ref":"wk-8802","shape":"sweep","together":false}})";

wire::Job plain_job() {
  wire::Job job;
  job.id = "wk-8802";
  job.job_class = "batch";
  job.team = "green";
  job.priority = wire::Priority::low;
  job.cpus = 1;
  job.memory_gb = 2;
  job.image = "image-6";
  job.estimate_s = 30;
  return job;
}

wire::Job full_job() {
  wire::Job job;
  job.id = "wk-8801";
  job.job_class = "render";
  job.team = "green";
  job.kind = wire::JobKind::service;
  job.priority = wire::Priority::critical;
  job.tasks = 12;
  job.cpus = 6.5;
  job.gpus = 2;
  job.memory_gb = 48;
  job.image = "image-5";
  job.image_gb = 3.25;
  job.types = {{"t-large", "t-small"}};
  job.zone = "zone-3";
  job.one_zone = job.spread = job.spot = true;
  job.estimate_s = 75;
  job.checkpoint_s = 20;
  job.save_s = 2.5;
  job.deadline_s = 1800;
  job.dependencies = {"wk-8800", "wk-8799"};
  return job;
}

wire::Job stored_job(const char* record) { return wire::job_from(Json::parse(record).at("job")); }

TEST(Formats, KeysOfAJobAreUnchanged) {
  EXPECT_EQ(leader::open_key("wk-8801"), "open/wk-8801");
  EXPECT_EQ(leader::final_status_key("wk-8801"), "ends/wk-8801");
  EXPECT_EQ(leader::work_key("wk-8801", {Layout::chunks, 7}), "work/wk-8801/7");
  EXPECT_EQ(leader::work_key("wk-8801", {Layout::segments, 7}), "work/wk-8801/s7");
}

TEST(Formats, ReadsTheNamesOfTaskRecords) {
  EXPECT_EQ(leader::record_id_from("7"), (RecordId{Layout::chunks, 7}));
  EXPECT_EQ(leader::record_id_from("s7"), (RecordId{Layout::segments, 7}));
}

TEST(Formats, KeysOfTheClusterAndTheLeaderAreUnchanged) {
  EXPECT_EQ(std::string(leader::kClusterKey), "cluster");
  EXPECT_EQ(std::string(leader::kLeaderKey), "leader");
}

TEST(Formats, StoredFormOfAnOpenJobIsUnchanged) {
  EXPECT_EQ(leader::encode_open_record(full_job(), kCreated).dump(), kFullOpenRecord);
  EXPECT_EQ(leader::encode_open_record(plain_job(), kCreated).dump(), kPlainOpenRecord);
}

TEST(Formats, ReadsAnOpenJobWithEveryField) {
  const wire::Job job = stored_job(kFullOpenRecord);

  EXPECT_EQ(job.id, "wk-8801");
  EXPECT_EQ(job.job_class, "render");
  EXPECT_EQ(job.team, "green");
  EXPECT_EQ(job.kind, wire::JobKind::service);
  EXPECT_EQ(job.priority, wire::Priority::critical);
  EXPECT_EQ(job.tasks, 12U);
  EXPECT_EQ(job.cpus, 6.5);
  EXPECT_EQ(job.gpus, 2);
  EXPECT_EQ(job.memory_gb, 48);
  EXPECT_EQ(job.image, "image-5");
  EXPECT_EQ(job.image_gb, 3.25);
  EXPECT_EQ(job.types, (std::vector<std::string>{"t-large", "t-small"}));
  EXPECT_EQ(job.zone, "zone-3");
  EXPECT_EQ(job.estimate_s, 75);
  EXPECT_EQ(job.checkpoint_s, 20);
  EXPECT_EQ(job.save_s, 2.5);
  EXPECT_EQ(job.deadline_s, 1800.0);
  EXPECT_EQ(job.dependencies, (std::vector<std::string>{"wk-8800", "wk-8799"}));
}

TEST(Formats, ReadsAnOpenJobWithoutOptionalFields) {
  const wire::Job job = stored_job(kPlainOpenRecord);

  EXPECT_EQ(job.kind, wire::JobKind::array);
  EXPECT_EQ(job.priority, wire::Priority::low);
  EXPECT_FALSE(job.types);
  EXPECT_FALSE(job.zone);
  EXPECT_FALSE(job.deadline_s);
  EXPECT_TRUE(job.dependencies.empty());
  EXPECT_FALSE(job.one_zone || job.spread || job.spot);
}

// Sets each flag on its own, so that the test fails if two flags are swapped.
TEST(Formats, DistinguishesTheFlagsOfAJob) {
  const auto flags_with = [](const char* field) {
    Json record = Json::parse(kPlainOpenRecord).at("job");
    record[field] = true;
    const wire::Job job = wire::job_from(record);
    EXPECT_EQ(wire::to_json(job), record) << field;
    return std::vector<bool>{job.one_zone, job.spread, job.spot};
  };
  EXPECT_EQ(flags_with("together"), (std::vector<bool>{true, false, false}));
  EXPECT_EQ(flags_with("apart"), (std::vector<bool>{false, true, false}));
  EXPECT_EQ(flags_with("lent_racks"), (std::vector<bool>{false, false, true}));
}

TEST(Formats, StoredNamesOfKindsAndPrioritiesAreUnchanged) {
  const std::vector<std::pair<const char*, wire::JobKind>> kinds{
      {"sweep", wire::JobKind::array},
      {"group", wire::JobKind::gang},
      {"standing", wire::JobKind::service}};
  const std::vector<std::pair<const char*, wire::Priority>> priorities{
      {"critical", wire::Priority::critical},
      {"high", wire::Priority::high},
      {"normal", wire::Priority::normal},
      {"idle", wire::Priority::low}};
  Json record = Json::parse(kPlainOpenRecord).at("job");
  for (const auto& [word, kind] : kinds) {
    record["shape"] = word;
    EXPECT_EQ(wire::job_from(record).kind, kind) << word;
    EXPECT_EQ(wire::to_json(wire::job_from(record)), record) << word;
  }
  for (const auto& [word, priority] : priorities) {
    record["rank"] = word;
    EXPECT_EQ(wire::job_from(record).priority, priority) << word;
    EXPECT_EQ(wire::to_json(wire::job_from(record)), record) << word;
  }
}

// Task records. The segment covers tasks 20 to 29 of a job of 30 tasks; tasks 20, 22 and 28 are
// finished.
const char* const kSegment =
    R"({"attempt":41,"cpus":6.5,"finished":"501","first":20,"gpus":2.0,"memory":48.0,"of":30,"span":10,"tasks":[[21,40,"m-000051",3],[29,41,"m-000052",1]],"team":"green"})";
const char* const kChunk =
    R"({"attempt":5,"cpus":1.0,"first":16,"gpus":0.0,"memory":2.0,"of":20,"span":4,"tasks":[],"team":"green"})";
// A chunk as written by versions that did not store the fields `first` and `span`.
const char* const kChunkWithoutSpan =
    R"({"attempt":9,"cpus":1.0,"finished":"2008","gpus":0.0,"memory":2.0,"of":40,"tasks":[[18,8,"m-000053",2]],"team":"green"})";

const RecordLayout kLayout(RecordSpans{16, 10});

std::vector<std::uint32_t> finished_tasks(const TaskRecord& record) {
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t i = 0; i < record.finished.size(); ++i)
    if (record.finished[i]) tasks.push_back(record.range.first + i);
  return tasks;
}

void expect_assignment(const leader::Assignment& assignment, std::uint32_t task,
                       std::uint64_t attempt, const char* machine, std::uint64_t incarnation) {
  EXPECT_EQ(assignment.task, task);
  EXPECT_EQ(assignment.attempt, attempt);
  EXPECT_EQ(assignment.machine, machine);
  EXPECT_EQ(assignment.incarnation, incarnation);
}

TEST(Formats, ReadsASegmentAndWritesItUnchanged) {
  const TaskRecord record =
      leader::decode_task_record({Layout::segments, 2}, Json::parse(kSegment), kLayout);

  EXPECT_EQ(record.last_attempt, 41U);
  EXPECT_EQ(record.team, "green");
  EXPECT_EQ(record.request.cpus, 6.5);
  EXPECT_EQ(record.request.gpus, 2);
  EXPECT_EQ(record.request.memory_gb, 48);
  EXPECT_EQ(record.job_tasks, 30U);
  EXPECT_EQ(record.range.first, 20U);
  EXPECT_EQ(record.range.end, 30U);
  EXPECT_EQ(finished_tasks(record), (std::vector<std::uint32_t>{20, 22, 28}));
  ASSERT_EQ(record.assignments.size(), 2U);
  expect_assignment(record.assignments[0], 21, 40, "m-000051", 3);
  expect_assignment(record.assignments[1], 29, 41, "m-000052", 1);
  EXPECT_EQ(leader::encode(record).dump(), kSegment);
}

TEST(Formats, ReadsAChunkAndWritesItUnchanged) {
  const TaskRecord record =
      leader::decode_task_record({Layout::chunks, 1}, Json::parse(kChunk), kLayout);

  EXPECT_EQ(record.last_attempt, 5U);
  EXPECT_EQ(record.range.first, 16U);
  EXPECT_EQ(record.range.end, 20U);
  EXPECT_EQ(record.finished, std::vector<bool>(4, false));
  EXPECT_TRUE(record.assignments.empty());
  EXPECT_EQ(leader::encode(record).dump(), kChunk);
}

// This version adds the fields `first` and `span` when it writes the chunk again. All other fields
// stay unchanged.
TEST(Formats, ReadsAChunkWithoutSpanAndAddsItWhenWriting) {
  const TaskRecord record =
      leader::decode_task_record({Layout::chunks, 1}, Json::parse(kChunkWithoutSpan), kLayout);

  EXPECT_EQ(record.range.first, 16U);
  EXPECT_EQ(record.range.end, 32U);
  EXPECT_EQ(finished_tasks(record), (std::vector<std::uint32_t>{17, 31}));
  ASSERT_EQ(record.assignments.size(), 1U);
  expect_assignment(record.assignments[0], 18, 8, "m-000053", 2);
  Json expected = Json::parse(kChunkWithoutSpan);
  expected["first"] = 16;
  expected["span"] = 16;
  EXPECT_EQ(leader::encode(record).dump(), expected.dump());
}

TEST(Formats, ReadsFinalStatusesAndWritesThemUnchanged) {
  const auto expect_status = [](const char* text, wire::Stage stage, std::uint64_t done) {
    const jobs::FinalStatus status = jobs::decode_final_status(Json::parse(text));
    EXPECT_EQ(status.stage, stage) << text;
    EXPECT_EQ(status.done, done) << text;
    EXPECT_EQ(jobs::encode(status).dump(), text);
  };
  expect_status(R"({"done":12,"stage":"done"})", wire::Stage::done, 12);
  expect_status(R"({"done":3,"stage":"withdrawn"})", wire::Stage::cancelled, 3);
}

TEST(Formats, RejectsFinalStatusesWithoutAFinalStage) {
  for (const char* text :
       {R"({"done":3,"stage":"queued"})", R"({"done":3,"stage":"running"})",
        R"({"done":3,"stage":"cancelled"})", R"({"done":3,"stage":""})", R"({"done":3,"stage":2})",
        R"({"done":3})", R"({"stage":"done"})", R"({"done":"3","stage":"done"})",
        R"({"done":-1,"stage":"done"})", R"({})", R"([])", R"("done")", R"(null)"})
    EXPECT_THROW(jobs::decode_final_status(Json::parse(text)), wire::Malformed) << text;
}

}  // namespace
}  // namespace seampass
