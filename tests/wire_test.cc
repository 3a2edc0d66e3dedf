#include <gtest/gtest.h>

#include <random>

#include "wire/codec.h"

namespace seampass::wire {
namespace {

const char* const kJob =
    R"({"ref":"wk-000412","cuvee_class":"train","owner_crew":"vision","shape":"group",
"rank":"high","pours":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"blend":"img-07",
"pull_gb":6.2,"barrels":["g8"],"cellar":null,"together":true,"apart":false,"lent_racks":true,
"expected_s":240.0,"rack_every_s":30.0,"rack_s":4.0,"due_s":900.0,"new_field":[1]})";

const char* const kReport =
    R"({"host":"m-000231","addr":"10.1.0.232:9000","barrel":"g8","cellar":"a","lent_racks":true,
"shift":1,"tally":88,"warrant":41,"recall_s":null,
"pours":[{"pour":"wk-000412/3","try":2,"stage":"running"},
{"pour":"wk-000398/0","try":1,"stage":"ended","exit_cause":"done","kept":true}]})";

TEST(Wire, ReadsAJobAndWritesItBack) {
  const Job j = job_from(parse_object(kJob));
  EXPECT_EQ(j.kind, JobKind::gang);
  EXPECT_EQ(j.priority, Priority::high);
  EXPECT_EQ(j.tasks, 16u);
  EXPECT_EQ(j.types->front(), "g8");
  EXPECT_FALSE(j.zone);
  EXPECT_TRUE(j.one_zone && j.spot && !j.spread);
  EXPECT_EQ(*j.deadline_s, 900.0);
  const Json again = to_json(j);
  EXPECT_EQ(to_json(job_from(again)), again);
}

TEST(Wire, RefusesBadJobsNamingTheField) {
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
  for (const auto& c : cases) {
    Json o = Json::parse(kJob);
    o[c.field] = c.value;
    try {
      job_from(o);
      ADD_FAILURE() << c.field << " = " << c.value << " was taken";
    } catch (const Malformed& e) {
      EXPECT_NE(std::string(e.what()).find(c.field), std::string::npos) << e.what();
    }
  }
  for (const char* field : {"ref", "cuvee_class", "owner_crew", "shape", "rank", "pours", "cpus",
                            "accelerators", "memory_gb", "blend", "pull_gb", "together", "apart",
                            "lent_racks", "expected_s", "rack_every_s", "rack_s"}) {
    Json o = Json::parse(kJob);
    o[field] = nullptr;
    EXPECT_THROW(job_from(o), Malformed) << field << " null";
    o.erase(field);
    EXPECT_THROW(job_from(o), Malformed) << field << " missing";
  }
  for (const char* field : {"barrels", "cellar", "due_s"}) {  // null may also be missing
    Json o = Json::parse(kJob);
    o.erase(field);
    EXPECT_NO_THROW(job_from(o)) << field;
  }
  for (const char* text : {"", "[1]", "3", "{", "{\"a\":}", "null"})
    EXPECT_THROW(parse_object(text), Malformed) << text;
  EXPECT_THROW(parse_object("{\"a\":" + std::string(30000, '[')), Malformed);
}

TEST(Wire, ReadsReports) {
  const Heartbeat r = heartbeat_from(kReport);
  EXPECT_EQ(r.machine, "m-000231");
  EXPECT_EQ(r.incarnation, 1u);
  EXPECT_EQ(r.sequence, 88u);
  EXPECT_FALSE(r.notice_s);
  ASSERT_EQ(r.tasks.size(), 2u);
  EXPECT_EQ(r.tasks[0].job, "wk-000412");
  EXPECT_EQ(r.tasks[0].index, 3u);
  EXPECT_EQ(r.tasks[1].cause, ExitCause::done);
  EXPECT_TRUE(r.tasks[1].saved);
}

TEST(Wire, WritesOrders) {
  const Json o = Json::parse(heartbeat_answer(41, {{Verb::start, "wk-1", 4, 2, 0},
                                                   {Verb::stop, "wk-2", 1, 1, 10},
                                                   {Verb::forget, "wk-3", 0, 1, 0}}));
  EXPECT_EQ(o["warrant"], 41);
  EXPECT_EQ(o["orders"][0], (Json{{"verb", "run"}, {"pour", "wk-1/4"}, {"try", 2}}));
  EXPECT_EQ(o["orders"][1]["wind_down_s"], 10.0);
  EXPECT_EQ(o["orders"][2]["verb"], "reap");
  EXPECT_EQ(Json::parse(redirect_answer("n2"))["steward"], "n2");
}

// Whatever comes, a reader gives a structure or Malformed: never another exception or a crash.
TEST(Wire, SurvivesMutatedMessages) {
  std::mt19937 random(20251);
  const std::string catalog =
      R"({"barrels":[{"name":"g8","cpus":96,"accelerators":8,"memory_gb":768,"cache_gb":200,
"fetch_gb_per_s":1.0,"price":12.0,"low_price":4.5,"ready_s":45,"cellars":["a","b"]}]})";
  const std::string list =
      R"({"hosts":[{"ref":"m-1","addr":"10.1.0.232:9000","barrel":"g8","cellar":"a",
"lent_racks":true,"stage":"running","age_s":61.5}],"has_next":false})";
  const struct {
    std::string text;
    std::function<void(const std::string&)> read;
  } readers[] = {
      {kJob, [](const std::string& s) { job_from(parse_object(s)); }},
      {kReport, [](const std::string& s) { heartbeat_from(s); }},
      {catalog, [](const std::string& s) { catalog_from(s); }},
      {list, [](const std::string& s) { machines_from(s); }},
      {R"({"hosts":["m-000231"]})", [](const std::string& s) { rented_from(s); }},
  };
  int taken = 0, refused = 0;
  for (const auto& reader : readers) {
    EXPECT_NO_THROW(reader.read(reader.text));
    for (int i = 0; i < 3000; ++i) {
      std::string s = reader.text;
      const int edits = 1 + static_cast<int>(random() % 4);
      for (int e = 0; e < edits && !s.empty(); ++e) {
        const std::size_t at = random() % s.size();
        switch (random() % 4) {
          case 0:
            s[at] = static_cast<char>(random());
            break;
          case 1:
            s.erase(at, 1 + random() % 8);
            break;
          case 2:
            s.insert(at, 1, "{}[]\",:0-9e.ntf"[random() % 15]);
            break;
          default:
            s.insert(at, s.substr(random() % s.size(), random() % 20));
        }
      }
      try {
        reader.read(s);
        ++taken;
      } catch (const Malformed&) {
        ++refused;
      }
    }
  }
  EXPECT_GT(taken, 100);
  EXPECT_GT(refused, 5000);
}

}  // namespace
}  // namespace seampass::wire
