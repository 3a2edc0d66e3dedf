// Tests the encoding and decoding of messages that are exchanged with users, workers and the cloud.
#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace seampass::wire {
namespace {

const char* const kJob =
    R"({"ref":"wk-000412","cuvee_class":"train","owner_crew":"vision","shape":"group",
"rank":"high","pours":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"blend":"img-07",
"pull_gb":6.2,"barrels":["g8"],"cellar":null,"together":true,"apart":false,"lent_racks":true,
"expected_s":240.0,"rack_every_s":30.0,"rack_s":4.0,"due_s":900.0,"new_field":[1]})";

const char* const kHeartbeat =
    R"({"host":"m-000231","addr":"10.1.0.232:9000","barrel":"g8","cellar":"a","lent_racks":true,
"shift":1,"tally":88,"warrant":41,"recall_s":null,
"pours":[{"pour":"wk-000412/3","try":2,"stage":"running"},
{"pour":"wk-000398/0","try":1,"stage":"ended","exit_cause":"done","kept":true}]})";

TEST(Wire, DecodesAJobAndEncodesItUnchanged) {
  const Job job = job_from(parse_object(kJob));
  EXPECT_EQ(job.kind, JobKind::gang);
  EXPECT_EQ(job.priority, Priority::high);
  EXPECT_EQ(job.tasks, 16u);
  EXPECT_EQ(job.types->front(), "g8");
  EXPECT_FALSE(job.zone);
  EXPECT_TRUE(job.one_zone && job.spot && !job.spread);
  EXPECT_EQ(*job.deadline_s, 900.0);
  const Json encoded = to_json(job);
  EXPECT_EQ(to_json(job_from(encoded)), encoded);
}

TEST(Wire, RejectsInvalidJobsAndNamesTheMember) {
  const struct {
    const char* field;
    Json value;
  } cases[] = {
      {"ref", "job-1"},       {"ref", "wk-"},
      {"ref", "wk-1x"},       {"ref", 7},
      {"cuvee_class", ""},    {"owner_crew", Json()},
      {"shape", "circle"},    {"rank", 1},
      {"pours", 0},           {"pours", 100001},
      {"pours", 1.5},         {"pours", -1},
      {"pours", 1e30},        {"cpus", "8"},
      {"cpus", -0.5},         {"accelerators", true},
      {"memory_gb", 1e300},   {"blend", Json::array()},
      {"barrels", "g8"},      {"barrels", Json{1, 2}},
      {"cellar", 3},          {"together", 0},
      {"apart", Json()},      {"lent_racks", "true"},
      {"expected_s", Json()}, {"rack_every_s", -1},
      {"due_s", "soon"},
  };
  for (const auto& invalid : cases) {
    Json object = Json::parse(kJob);
    object[invalid.field] = invalid.value;
    try {
      static_cast<void>(job_from(object));
      ADD_FAILURE() << invalid.field << " = " << invalid.value << " was accepted";
    } catch (const Malformed& error) {
      EXPECT_NE(std::string(error.what()).find(invalid.field), std::string::npos) << error.what();
    }
  }
  // These members are mandatory: they may be neither null nor missing.
  for (const char* field : {"ref", "cuvee_class", "owner_crew", "shape", "rank", "pours", "cpus",
                            "accelerators", "memory_gb", "blend", "pull_gb", "together", "apart",
                            "lent_racks", "expected_s", "rack_every_s", "rack_s"}) {
    Json object = Json::parse(kJob);
    object[field] = nullptr;
    EXPECT_THROW(job_from(object), Malformed) << field << " null";
    object.erase(field);
    EXPECT_THROW(job_from(object), Malformed) << field << " missing";
  }
  // These members are optional: they may be null or missing.
  for (const char* field : {"barrels", "cellar", "due_s"}) {
    Json object = Json::parse(kJob);
    object.erase(field);
    EXPECT_NO_THROW(job_from(object)) << field;
  }
  for (const char* text : {"", "[1]", "3", "{", "{\"a\":}", "null"})
    EXPECT_THROW(parse_object(text), Malformed) << text;
  EXPECT_THROW(parse_object("{\"a\":" + std::string(30000, '[')), Malformed);
}

TEST(Wire, DecodesHeartbeats) {
  const Heartbeat heartbeat = heartbeat_from(kHeartbeat);
  EXPECT_EQ(heartbeat.machine, "m-000231");
  EXPECT_EQ(heartbeat.incarnation, 1u);
  EXPECT_EQ(heartbeat.sequence, 88u);
  EXPECT_FALSE(heartbeat.preemption_notice_s);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].job, "wk-000412");
  EXPECT_EQ(heartbeat.tasks[0].index, 3u);
  EXPECT_EQ(heartbeat.tasks[1].cause, ExitCause::done);
  EXPECT_TRUE(heartbeat.tasks[1].saved);
}

TEST(Wire, EncodesCommands) {
  const Json answer = Json::parse(heartbeat_answer(41, {{Verb::start, "wk-1", 4, 2, 0},
                                                        {Verb::stop, "wk-2", 1, 1, 10},
                                                        {Verb::forget, "wk-3", 0, 1, 0}}));
  EXPECT_EQ(answer["warrant"], 41);
  EXPECT_EQ(answer["orders"][0], (Json{{"verb", "run"}, {"pour", "wk-1/4"}, {"try", 2}}));
  EXPECT_EQ(answer["orders"][1]["wind_down_s"], 10.0);
  EXPECT_EQ(answer["orders"][2]["verb"], "reap");
  EXPECT_EQ(Json::parse(redirect_answer("n2"))["steward"], "n2");
}

// Returns `text` after one to four edits at random positions.
std::string mutated(std::string text, std::mt19937& random) {
  const int edits = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const std::size_t position = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[position] = static_cast<char>(random());
        break;
      case 1:
        text.erase(position, 1 + random() % 8);
        break;
      case 2:
        text.insert(position, 1, "{}[]\",:0-9e.ntf"[random() % 15]);
        break;
      default:
        text.insert(position, text.substr(random() % text.size(), random() % 20));
    }
  }
  return text;
}

// A decoding function and a valid message for it.
struct Reader {
  std::string message;
  std::function<void(const std::string&)> read;
};

template <typename Read>
Reader reader(std::string message, Read read) {
  return {std::move(message), [read](const std::string& text) { static_cast<void>(read(text)); }};
}

// Every decoding function returns a structure or throws Malformed for any input. Another exception
// or a crash would let a malformed message from outside end the controller.
TEST(Wire, DecodesMutatedMessagesOrThrowsMalformed) {
  std::mt19937 random(20251);
  const std::string catalog =
      R"({"barrels":[{"name":"g8","cpus":96,"accelerators":8,"memory_gb":768,"cache_gb":200,
"fetch_gb_per_s":1.0,"price":12.0,"low_price":4.5,"ready_s":45,"cellars":["a","b"]}]})";
  const std::string list =
      R"({"hosts":[{"ref":"m-1","addr":"10.1.0.232:9000","barrel":"g8","cellar":"a",
"lent_racks":true,"stage":"running","age_s":61.5}],"has_next":false})";
  const std::vector<Reader> readers{
      reader(kJob, [](const std::string& text) { return job_from(parse_object(text)); }),
      reader(kHeartbeat, heartbeat_from),
      reader(catalog, catalog_from),
      reader(list, machines_from),
      reader(R"({"hosts":["m-000231"]})", rented_from),
  };
  int accepted = 0, rejected = 0;
  for (const Reader& reader : readers) {
    EXPECT_NO_THROW(reader.read(reader.message));
    for (int i = 0; i < 3000; ++i) {
      try {
        reader.read(mutated(reader.message, random));
        ++accepted;
      } catch (const Malformed&) {
        ++rejected;
      }
    }
  }
  EXPECT_GT(accepted, 100);
  EXPECT_GT(rejected, 5000);
}

}  // namespace
}  // namespace seampass::wire
