// Tests the formats of the messages that controllers exchange with users, workers and the cloud.
// The literals here are the messages that controllers send to all three and the messages that
// controllers read from workers and the cloud.
//
// Users, workers and the cloud are not upgraded together with the controllers. A literal here must
// therefore not be changed to make a test pass: a literal that no longer matches means that the
// controllers and the other side no longer understand each other.
#include <gtest/gtest.h>

#include "wire/codec.h"

namespace seampass {
namespace {

TEST(Formats, JobStatusAnswerIsUnchanged) {
  using wire::Stage;
  EXPECT_EQ(wire::status_answer({"wk-8801", Stage::queued, 0, 0}),
            R"({"done":0,"ref":"wk-8801","running":0,"stage":"queued"})");
  EXPECT_EQ(wire::status_answer({"wk-8801", Stage::running, 4, 3}),
            R"({"done":4,"ref":"wk-8801","running":3,"stage":"running"})");
  EXPECT_EQ(wire::status_answer({"wk-8801", Stage::done, 12, 0}),
            R"({"done":12,"ref":"wk-8801","running":0,"stage":"done"})");
  EXPECT_EQ(wire::status_answer({"wk-8801", Stage::cancelled, 5, 0}),
            R"({"done":5,"ref":"wk-8801","running":0,"stage":"withdrawn"})");
}

TEST(Formats, AcceptanceAnswerIsUnchanged) {
  EXPECT_EQ(wire::accepted_answer({"wk-8801", wire::Stage::queued, 4, 3}),
            R"({"ref":"wk-8801","stage":"queued"})");
  EXPECT_EQ(wire::accepted_answer({"wk-8801", wire::Stage::cancelled, 4, 3}),
            R"({"ref":"wk-8801","stage":"withdrawn"})");
}

const char* const kHeartbeat =
    R"({"host":"m-000051","addr":"10.9.8.7:9100","barrel":"t-large","cellar":"zone-3",
"lent_racks":true,"shift":3,"tally":205,"warrant":91,"recall_s":12.5,"pours":[
{"pour":"wk-8801/0","try":1,"stage":"pulling"},
{"pour":"wk-8801/1","try":2,"stage":"gathering"},
{"pour":"wk-8801/2","try":3,"stage":"running"},
{"pour":"wk-8801/99999","try":4,"stage":"saving","kept":false},
{"pour":"wk-8802/0","try":5,"stage":"ended","exit_cause":"done","kept":true}]})";

TEST(Formats, ReadsTheMachineOfAHeartbeat) {
  const wire::Heartbeat heartbeat = wire::heartbeat_from(kHeartbeat);

  EXPECT_EQ(heartbeat.machine, "m-000051");
  EXPECT_EQ(heartbeat.addr, "10.9.8.7:9100");
  EXPECT_EQ(heartbeat.type, "t-large");
  EXPECT_EQ(heartbeat.zone, "zone-3");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.incarnation, 3U);
  EXPECT_EQ(heartbeat.sequence, 205U);
  EXPECT_EQ(heartbeat.token, 91U);
  EXPECT_EQ(heartbeat.preemption_notice_s, 12.5);
}

TEST(Formats, ReadsTheTasksOfAHeartbeat) {
  using wire::TaskState;
  const wire::Heartbeat heartbeat = wire::heartbeat_from(kHeartbeat);

  ASSERT_EQ(heartbeat.tasks.size(), 5U);
  const std::vector<TaskState> states{TaskState::fetching, TaskState::waiting, TaskState::running,
                                      TaskState::saving, TaskState::exited};
  const std::vector<std::uint32_t> indexes{0, 1, 2, 99999, 0};
  for (std::size_t i = 0; i < 5; ++i) {
    EXPECT_EQ(heartbeat.tasks[i].job, i < 4 ? "wk-8801" : "wk-8802");
    EXPECT_EQ(heartbeat.tasks[i].index, indexes[i]);
    EXPECT_EQ(heartbeat.tasks[i].attempt, i + 1);
    EXPECT_EQ(heartbeat.tasks[i].state, states[i]);
    EXPECT_EQ(heartbeat.tasks[i].saved, i == 4);
  }
}

TEST(Formats, ReadsEachExitCause) {
  using wire::ExitCause;
  const std::vector<std::pair<std::string, ExitCause>> causes{{"done", ExitCause::done},
                                                              {"halted", ExitCause::stopped},
                                                              {"peers", ExitCause::gang_task_lost},
                                                              {"alone", ExitCause::gang_timeout},
                                                              {"error", ExitCause::error},
                                                              {"full", ExitCause::no_room},
                                                              {"busy", ExitCause::busy},
                                                              {"no_such", ExitCause::unknown}};
  for (const auto& [cause_text, cause] : causes) {
    wire::Json heartbeat = wire::Json::parse(kHeartbeat);
    heartbeat["pours"][4]["exit_cause"] = cause_text;
    EXPECT_EQ(wire::heartbeat_from(heartbeat.dump()).tasks.at(4).cause, cause) << cause_text;
  }
}

TEST(Formats, ReadsAHeartbeatOfAnIdleMachineWithoutNotice) {
  for (const char* notice : {R"("recall_s":null,)", ""}) {
    const wire::Heartbeat heartbeat = wire::heartbeat_from(
        std::string(R"({"host":"m-000052","addr":"10.9.8.6:9100","barrel":"t-small",)") + notice +
        R"("cellar":"zone-4","lent_racks":false,"shift":1,"tally":1,"warrant":0,"pours":[]})");
    EXPECT_FALSE(heartbeat.preemption_notice_s) << notice;
    EXPECT_FALSE(heartbeat.spot) << notice;
    EXPECT_TRUE(heartbeat.tasks.empty()) << notice;
  }
}

const std::vector<wire::Command> kCommands{{wire::Verb::start, "wk-8801", 4, 2, 0},
                                           {wire::Verb::stop, "wk-8802", 0, 7, 12.5},
                                           {wire::Verb::forget, "wk-8803", 99999, 1, 0}};

TEST(Formats, HeartbeatAnswerIsUnchanged) {
  EXPECT_EQ(
      wire::heartbeat_answer(91, kCommands),
      R"({"orders":[{"pour":"wk-8801/4","try":2,"verb":"run"},{"pour":"wk-8802/0","try":7,"verb":"halt","wind_down_s":12.5},{"pour":"wk-8803/99999","try":1,"verb":"reap"}],"warrant":91})");
  EXPECT_EQ(wire::heartbeat_answer(91, {}), R"({"orders":[],"warrant":91})");
}

TEST(Formats, CommandsBodyIsUnchanged) {
  EXPECT_EQ(
      wire::commands_body(91, 3, kCommands),
      R"({"orders":[{"pour":"wk-8801/4","try":2,"verb":"run"},{"pour":"wk-8802/0","try":7,"verb":"halt","wind_down_s":12.5},{"pour":"wk-8803/99999","try":1,"verb":"reap"}],"shift":3,"warrant":91})");
}

TEST(Formats, RedirectToTheLeaderIsUnchanged) {
  EXPECT_EQ(wire::redirect_answer("node-2"), R"({"steward":"node-2"})");
  EXPECT_EQ(wire::redirect_answer(""), "{}");
}

TEST(Formats, ReadsTheCatalogOfTheCloud) {
  const auto types = wire::catalog_from(
      R"({"barrels":[{"name":"t-large","cpus":64,"accelerators":4,"memory_gb":512,"cache_gb":150,
"fetch_gb_per_s":0.75,"price":9.5,"low_price":3.25,"ready_s":40,"cellars":["zone-3","zone-4"]},
{"name":"t-small","cpus":4,"memory_gb":16,"price":0.5,"ready_s":20,"cellars":["zone-4"]}]})");

  ASSERT_EQ(types.size(), 2U);
  EXPECT_EQ(types[0].name, "t-large");
  EXPECT_EQ(types[0].cpus, 64);
  EXPECT_EQ(types[0].gpus, 4);
  EXPECT_EQ(types[0].memory_gb, 512);
  EXPECT_EQ(types[0].cache_gb, 150);
  EXPECT_EQ(types[0].fetch_gb_per_s, 0.75);
  EXPECT_EQ(types[0].price, 9.5);
  EXPECT_EQ(types[0].spot_price, 3.25);
  EXPECT_EQ(types[0].boot_s, 40);
  EXPECT_EQ(types[0].zones, (std::vector<std::string>{"zone-3", "zone-4"}));
  EXPECT_EQ(types[1].gpus, 0);
  EXPECT_EQ(types[1].cache_gb, 0);
  EXPECT_EQ(types[1].fetch_gb_per_s, 0);
  EXPECT_EQ(types[1].spot_price, 0.5);
}

TEST(Formats, RentalAndDeletionBodiesAreUnchanged) {
  EXPECT_EQ(
      wire::rental_body({"n1-17", "t-large", "zone-3", true, 5}),
      R"({"barrel":"t-large","cellar":"zone-3","count":5,"hire_ask":"n1-17","lent_racks":true})");
  EXPECT_EQ(wire::delete_body({"m-000051", "m-000052"}), R"({"hosts":["m-000051","m-000052"]})");
  EXPECT_EQ(wire::rented_from(R"({"hosts":["m-000051","m-000052"]})"),
            (std::vector<std::string>{"m-000051", "m-000052"}));
}

TEST(Formats, ReadsTheMachinesThatTheCloudLists) {
  using wire::MachineStage;
  const wire::MachinePage page = wire::machines_from(
      R"({"has_next":true,"hosts":[{"ref":"m-000051","addr":"10.9.8.7:9100","barrel":"t-large",
"cellar":"zone-3","lent_racks":true,"stage":"running","age_s":61.5},
{"ref":"m-000052","addr":null,"barrel":"t-small","cellar":"zone-4","lent_racks":false,
"stage":"starting","age_s":0},{"ref":"m-000053","barrel":"t-small","cellar":"zone-4",
"lent_racks":false,"stage":"failed","age_s":7}]})");

  EXPECT_TRUE(page.has_next_page);
  ASSERT_EQ(page.machines.size(), 3U);
  EXPECT_EQ(page.machines[0].name, "m-000051");
  EXPECT_EQ(page.machines[0].addr, "10.9.8.7:9100");
  EXPECT_EQ(page.machines[0].type, "t-large");
  EXPECT_EQ(page.machines[0].zone, "zone-3");
  EXPECT_TRUE(page.machines[0].spot);
  EXPECT_FALSE(page.machines[1].spot);
  EXPECT_EQ(page.machines[0].age_s, 61.5);
  EXPECT_EQ(page.machines[0].stage, MachineStage::running);
  EXPECT_EQ(page.machines[1].stage, MachineStage::booting);
  EXPECT_EQ(page.machines[2].stage, MachineStage::failed);
  EXPECT_EQ(page.machines[1].addr, "");
}

TEST(Formats, ReadsWhetherTheMachineListHasANextPage) {
  EXPECT_FALSE(wire::machines_from(R"({"hosts":[],"has_next":false})").has_next_page);
  EXPECT_FALSE(wire::machines_from(R"({"hosts":[]})").has_next_page);
}

}  // namespace
}  // namespace seampass
