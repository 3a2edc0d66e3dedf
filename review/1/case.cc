// ran_cancelled: the next leader starts tasks of jobs whose users were told `withdrawn` more than
// cancel_s ago.
#include <cstdlib>

#include "world.h"

using namespace standin;

namespace {

constexpr double kSmallJobsPerSecond = 4;  // "One-task jobs come four a second for minutes"
constexpr int kLargeJobTasks = 96;         // "arrays of around 24, up to 96 tasks"
constexpr double kLargeJobEvery = 3;       // seconds
constexpr double kLeaderEndsAt = 97;
constexpr double kVerdictAt = 115;

// The deployment of velomezgls-riga-next, with the limits of its `state_limits` as those to come.
Site riga() {
  Site site;
  site.zones = {"left-bank", "right-bank", "jurmala-rack"};
  site.teams = {{"data-circle", 250, 700}};
  site.types = {{"sikspairnis", 16, 0, 32, 0.74, 0.28, 50, {"left-bank", "right-bank"}},
                {"udrs", 12, 2, 72, 5.47, 2.06, 35, {"left-bank", "right-bank"}}};
  site.report_s = 5;
  site.lease_s = 22;
  site.gang_wait_s = 35;
  site.gang_peer_s = 4;
  site.cancel_s = 42;
  site.state_rps = 80;
  site.state_write_rps = 30;
  site.value_kb = 32;
  site.txn_ops = 12;
  site.state_next = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 21.0\n";
  site.cloud_rps = 4;
  site.list_lag_s = 5;
  site.core_share = 0.16;
  site.mem_mb = 136;
  site.fd_limit = 2000;
  return site;
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  const bool disrupt = trouble == nullptr || std::string(trouble) != "0";
  const char* seed = std::getenv("SEED");
  World world(riga(), seed != nullptr ? std::atoi(seed) : 1);
  world.cloud->lag_s = 5;
  world.cloud->capacity[{"sikspairnis", "left-bank", false}] = 8;
  world.cloud->capacity[{"udrs", "left-bank", false}] = 1;
  for (int i = 0; i < 4; ++i) world.cloud->add_old_machine("sikspairnis", "left-bank", false);
  world.cloud->add_old_machine("udrs", "left-bank", false);

  int last = 0, soon = 0, late = 0, large_cancelled = 0;
  std::map<std::string, Ms> told;  // when a user was told `withdrawn`
  const auto add = [&](const std::string& id, int pours, double cpus, double run_s,
                       const char* type) {
    Json body = job(id, "data-circle", "sweep", pours, cpus, 0, 0.45);
    body["expected_s"] = run_s;
    body["barrels"] = Json::array({type});
    world.jobs[id].body = body;
    world.jobs[id].run_s = run_s;
  };
  // As its user does: again after 1 s, at another node, until there is an answer.
  std::function<void(const std::string&, std::size_t)> cancel = [&](const std::string& id,
                                                                    std::size_t node) {
    world.ask(world.controllers[node % 3], "POST", "/api/jobs/" + id + "/abort", nullptr, 5,
              [&, id, node](int status, const Json& body) {
                if (status != 200) return world.after(1, [&, id, node] { cancel(id, node + 1); });
                world.note("user: " + id + " abort: " + body.dump());
                if (body.value("stage", "") != "withdrawn") return;
                told[id] = world.elapsed();
                if (world.jobs[id].body["pours"] != 1) ++large_cancelled;
              });
  };
  world.on_task_start = [&](const std::string& task, const Worker& worker) {
    const auto found = told.find(task.substr(0, task.find('/')));
    if (found == told.end()) return;
    const Ms since = world.elapsed() - found->second;
    const bool after_cancel_s = since > static_cast<Ms>(world.site.cancel_s * 1000);
    ++(after_cancel_s ? late : soon);
    world.note((after_cancel_s ? "BROKEN: " : "within cancel_s: ") + task + " starts on " +
               worker.name + ", " + std::to_string(since) +
               " ms after its user was told withdrawn");
  };
  // Small jobs, a quarter of them cancelled.
  std::function<void()> small = [&] {
    const std::string id = "wk-" + std::to_string(++last);
    add(id, 1, 0.25, 3, "sikspairnis");
    const std::size_t node = world.random() % 3;
    const bool cancels = world.random() % 4 == 0;
    world.submit(
        id,
        [&, id, node, cancels](int status) {
          if (cancels && (status == 201 || status == 200))
            world.after(1, [&, id, node] { cancel(id, node); });
        },
        node);
    world.after(1 / kSmallJobsPerSecond, small);
  };
  // Large jobs, called off soon after they were accepted.
  std::function<void()> large = [&] {
    if (world.elapsed() > (kLeaderEndsAt - 2) * 1000) return;
    const std::string id = "wk-" + std::to_string(100000 + ++last);
    add(id, kLargeJobTasks, 0.1, 60, "udrs");
    const double pause = std::uniform_real_distribution<double>(1, 2)(world.random);
    world.submit(id, [&, id, pause](int status) {
      if (status == 201 || status == 200) world.after(pause, [&, id] { cancel(id, 0); });
    });
    world.after(kLargeJobEvery, large);
  };
  world.start_controllers();
  // Ten long tasks on the large machine.
  add("wk-900000", 10, 0.1, 200, "udrs");
  world.after(3, small);
  world.after(7, [&] { world.submit("wk-900000"); });
  world.after(10, large);
  world.after(kLeaderEndsAt, [&] {
    if (!disrupt) return;
    Controller* leader = world.leader();
    if (leader == nullptr) world.finish(2, "no leader to end");
    world.kill_now(*leader);
    world.after(5, [&world, leader] { world.start(*leader); });
  });
  world.after(kVerdictAt, [&] {
    const std::string figures = std::to_string(late) +
                                " starts more than cancel_s after a confirmed cancellation, " +
                                std::to_string(soon) + " sooner after one; " +
                                std::to_string(large_cancelled) + " large jobs were cancelled";
    world.note("the state service refused " + std::to_string(world.state->refused) + " of " +
               std::to_string(world.state->requests) + " requests");
    if (late > 0) world.finish(1, "ran_cancelled: " + figures);
    if (large_cancelled == 0) world.finish(2, "no large job was cancelled");
    world.finish(0, "held: " + figures);
  });
  world.loop.run();
}
