// The cases of the review. Each returns 1 if the rule was broken, 0 if it held, and throws if it
// could not run.
#pragma once

#include "deployment.h"

namespace standin {

struct Setting {
  std::string program, folder;
  bool trouble = true;
};

// Ends the controllers. The stand-ins' threads last until the process ends.
struct Ender {
  Deployment& deployment;
  ~Ender() { deployment.end(); }
};

inline void require(bool condition, const char* what) {
  if (!condition) throw std::runtime_error(what);
}

inline MachineType sikspairnis() {
  return {"sikspairnis", 16, 0, 32, 0.74, 0.28, 50, 1.0, 80, {"left-bank", "right-bank"}};
}

inline MachineType magnum() {
  return {"magnum", 32, 0, 128, 1.65, 0.69, 25, 0.8, 80, {"levis-annex", "laval-nord"}};
}

// A job of two tasks sets `apart`. Its first task runs on a young machine in left-bank, and the
// machine for its second task, in right-bank, still boots. The leader ends while the first machine
// can't be reached.
inline int apart(const Setting& setting) {
  Deployment& d = *new Deployment(riga(), {sikspairnis()}, setting.program, setting.folder);
  const Ender ender{d};
  d.cloud.offer("sikspairnis", "left-bank", false, {6, 1.5});
  d.cloud.offer("sikspairnis", "right-bank", false, {4, 60});
  d.cloud.set_lag(10);  // "late by cloud.list_lag_s in the settings, sometimes by up to twice that"
  d.start();
  require(d.wait_ready(), "the controllers are not ready");

  JobSpec first{job_body("wk-000001", "rebalance-plan", "van-crew", "group", "high", 1, 15, 0, 26), 7.5};
  first.body["cellar"] = "left-bank";
  require(d.submit(first) == 201, "the first job is not accepted");
  require(wait_for([&] { return d.ground.starts("wk-000001/0") > 0; }, 15), "the first job does not start");
  sleep_s(4);

  JobSpec job{job_body("wk-000002", "demand-forecast", "data-circle", "sweep", "normal", 2, 15, 0, 26), 110};
  job.body["apart"] = true;
  require(d.submit(job) == 201, "the job is not accepted");
  const std::vector<std::string> pours{"wk-000002/0", "wk-000002/1"};
  const auto tasks_in = [&](const std::string& zone) {
    int tasks = 0;
    for (const std::string& pour : pours)
      for (const std::string& host : d.ground.hosts(pour)) tasks += d.cloud.worker(host)->cellar() == zone ? 1 : 0;
    return tasks;
  };
  require(wait_for([&] { return tasks_in("left-bank") == 1; }, 15), "no task of the job starts in left-bank");
  require(wait_for([&] { return d.ground.hosts("wk-000001/0").empty(); }, 10), "the first job does not end");
  std::string host;
  for (const std::string& pour : pours)
    if (!d.ground.hosts(pour).empty()) host = *d.ground.hosts(pour).begin();
  sleep_s(0.2);
  const int leader = d.leader();
  require(leader >= 0, "nobody leads");
  const std::shared_ptr<Worker> machine = d.cloud.worker(host);
  if (setting.trouble) {
    record.line("%s hangs", host.c_str());
    machine->hung = true;
    d.kill(static_cast<std::size_t>(leader));
  }
  int most = 0;
  bool restarted = !setting.trouble;
  const Time begun = now();
  while (seconds_since(begun) < (setting.trouble ? 25 : 75)) {
    sleep_s(0.05);
    most = std::max({most, tasks_in("left-bank"), tasks_in("right-bank")});
    if (!restarted && seconds_since(begun) > 5) {
      d.launch(static_cast<std::size_t>(leader));
      restarted = true;
    }
    if (machine->hung && seconds_since(begun) > 12) {
      record.line("%s goes on", host.c_str());
      machine->hung = false;
    }
  }
  record.line("of the 2 tasks of wk-000002, up to %d were in one zone at a time; allowed is 1", most);
  return most > 1 ? 1 : 0;
}

// A task that saves is stopped to make room for a job with a higher priority, on the only machine
// that it may use. After that job there is room again.
inline int room(const Setting& setting) {
  Site site = laval();
  site.teams.push_back({"terroir-institute", 0, 0, 0, 8});
  Deployment& d = *new Deployment(site, {magnum()}, setting.program, setting.folder);
  const Ender ender{d};
  for (const char* zone : {"levis-annex", "laval-nord"}) d.cloud.offer("magnum", zone, false, {1, 1.5});  // as in the site file
  d.start();
  require(d.wait_ready(), "the controllers are not ready");
  const auto here = [](Json body) {
    body["barrels"] = {"magnum"};
    body["cellar"] = "levis-annex";
    return body;
  };

  // Something small that keeps the machine: a service.
  JobSpec service{here(job_body("wk-000001", "shop-front", "franchise-desk", "standing", "normal", 1, 1, 0, 2)), 1000};
  require(d.submit(service) == 201, "the service is not accepted");
  JobSpec low{here(job_body("wk-000002", "vintage-backfill", "terroir-institute", "sweep", "idle", 1, 8, 0, 28)), 40};
  low.body["rack_every_s"] = 30.0;
  low.body["rack_s"] = 1.0;
  require(d.submit(low) == 201, "the job is not accepted");
  require(wait_for([&] { return d.ground.starts("wk-000002/0") > 0 && d.ground.starts("wk-000001/0") > 0; }, 15),
          "the job does not start");
  sleep_s(0.5);
  if (setting.trouble) {
    JobSpec high{here(job_body("wk-000003", "price-book", "pricing-guild", "group", "high", 1, 30, 0, 100)), 4};
    require(d.submit(high) == 201, "the urgent job is not accepted");
    require(wait_for([&] { return d.ground.starts("wk-000003/0") > 0; }, 25), "the urgent job does not start");
    require(wait_for([&] { return d.poll("wk-000003", -1, true).stage == "done"; }, 15, 0.5), "it does not end");
    record.line("the urgent job is done; from now on a machine that fits has room for wk-000002");
  }
  const std::size_t starts = d.ground.starts("wk-000002/0");
  const Time since = now();
  // Served: it runs again, or it is done.
  const auto served = [&] {
    return (setting.trouble && d.ground.starts("wk-000002/0") > starts) || d.poll("wk-000002", -1, true).stage == "done";
  };
  const bool ran = wait_for(served, 92, 1);
  record.line("wk-000002 was %s after %.0f s; it started %zu times; the service is on a machine: %d",
              ran ? "served" : "not served", seconds_since(since), d.ground.starts("wk-000002/0"),
              !d.ground.hosts("wk-000001/0").empty());
  d.poll("wk-000002");
  return ran ? 0 : 1;
}

// A machine's answers and the direct commands to it are lost for some seconds. It keeps its tasks and
// goes on; then there is room on it, and the cloud has no other machine.
inline int deaf(const Setting& setting) {
  Deployment& d = *new Deployment(riga(), {sikspairnis()}, setting.program, setting.folder);
  const Ender ender{d};
  d.cloud.offer("sikspairnis", "right-bank", false, {4, 1.5});  // as in the site file
  d.start();
  require(d.wait_ready(), "the controllers are not ready");
  const auto here = [](Json body) {
    body["cellar"] = "right-bank";
    return body;
  };

  // Three of the four machines of that zone are full.
  JobSpec full{here(job_body("wk-000009", "app-batch", "app-keepers", "standing", "normal", 3, 15, 0, 30)), 1000};
  require(d.submit(full) == 201, "the first service is not accepted");
  JobSpec service{here(job_body("wk-000001", "app-front", "app-keepers", "standing", "normal", 1, 2, 0, 2)), 1000};
  JobSpec cancelled{here(job_body("wk-000002", "dock-check", "van-crew", "sweep", "normal", 1, 2, 0, 2)), 1000};
  require(d.submit(service) == 201 && d.submit(cancelled) == 201, "the jobs are not accepted");
  require(wait_for([&] { return d.ground.starts("wk-000001/0") > 0 && d.ground.starts("wk-000002/0") > 0; }, 15),
          "the jobs do not start");
  const std::string host = *d.ground.hosts("wk-000001/0").begin();
  const std::shared_ptr<Worker> machine = d.cloud.worker(host);
  if (setting.trouble) {
    record.line("%s receives nothing", host.c_str());
    machine->deaf = true;
  }
  const Time begun = now();
  JobSpec early{here(job_body("wk-000003", "dock-check", "van-crew", "sweep", "normal", 1, 2, 0, 2)), 1};
  require(d.submit(early) == 201, "the third job is not accepted");
  sleep_s(12);
  std::thread([&d] { d.cancel("wk-000002"); }).detach();
  sleep_s(1.7);
  if (setting.trouble) record.line("%s receives again, after %.1f s", host.c_str(), seconds_since(begun));
  machine->deaf = false;
  require(wait_for([&] { return d.poll("wk-000003", -1, true).stage == "done"; }, 20, 0.5), "the third job does not end");
  require(wait_for([&] { return d.poll("wk-000002", -1, true).stage == "withdrawn"; }, 10, 0.5), "it is not cancelled");
  JobSpec late{here(job_body("wk-000004", "dock-check", "van-crew", "sweep", "normal", 1, 8, 0, 8)), 3};
  require(d.submit(late) == 201, "the last job is not accepted");
  const Time since = now();
  const bool ran = wait_for([&] { return d.ground.starts("wk-000004/0") > 0; }, 91, 0.5);
  record.line("wk-000004 %s %.0f s; the service is still on %s: %d", ran ? "starts after" : "waits after",
              seconds_since(since), host.c_str(), !d.ground.hosts("wk-000001/0").empty());
  d.poll("wk-000004");
  return ran ? 0 : 1;
}

// Users submit three gangs of 100,000 tasks, the most that a job may have, and an ordinary job.
inline int memory(const Setting& setting) {
  Deployment& d = *new Deployment(laval(), {magnum()}, setting.program, setting.folder);
  const Ender ender{d};
  for (const char* zone : {"levis-annex", "laval-nord"}) d.cloud.offer("magnum", zone, false, {1, 2});
  d.start();
  require(d.wait_ready(), "the controllers are not ready");
  for (int i = 1; i <= 3; ++i) {
    JobSpec gang{job_body("wk-00000" + std::to_string(i), "price-book", "pricing-guild", "group", "high",
                          setting.trouble ? 100000 : 1, 30, 0, 100), 5};
    require(d.submit(gang) == 201, "a gang is not accepted");
  }
  JobSpec ordinary{job_body("wk-000004", "price-book", "franchise-desk", "sweep", "high", 1, 30, 0, 100), 5};
  ordinary.body["pull_gb"] = 0.1;
  std::atomic<int> accepted{0};
  std::thread([&] { accepted = d.submit(ordinary); }).detach();
  int killed = 0;
  const Time begun = now();
  while (seconds_since(begun) < 75) {
    sleep_s(0.02);
    killed += d.enforce_memory(6);
    if (!setting.trouble && d.ground.starts("wk-000004/0") > 0 && seconds_since(begun) > 40) break;
  }
  record.line("killed for memory: %d times in %.0f s; most memory held %.0f MB; the ordinary job was accepted with %d and started %zu times",
              killed, seconds_since(begun), d.highest_peak_mb(), accepted.load(), d.ground.starts("wk-000004/0"));
  return killed > 0 ? 1 : 0;
}

// Many small tasks of one job run on one machine, beside a task of another team that never saves.
// The job is cancelled.
inline int stops(const Setting& setting) {
  Deployment& d = *new Deployment(riga(), {sikspairnis()}, setting.program, setting.folder);
  const Ender ender{d};
  d.cloud.offer("sikspairnis", "left-bank", false, {1, 1.5});
  d.start();
  require(d.wait_ready(), "the controllers are not ready");
  JobSpec other{job_body("wk-000001", "demand-forecast", "data-circle", "sweep", "high", 1, 2, 0, 2), 80};
  require(d.submit(other) == 201, "the other job is not accepted");
  require(wait_for([&] { return d.ground.starts("wk-000001/0") > 0; }, 15), "it does not start");
  const int tasks = setting.trouble ? 1200 : 200;
  JobSpec small{job_body("wk-000002", "survey-swarm", "van-crew", "sweep", "normal", tasks, 0.01, 0, 0.01), 1000};
  require(d.submit(small) == 201, "the job of small tasks is not accepted");
  require(wait_for([&] { return d.ground.starting("wk-000002/") >= static_cast<std::size_t>(tasks); }, 45),
          "the small tasks do not start");
  sleep_s(4);
  record.line("all %d tasks run; the largest report so far has %zu bytes", tasks, Worker::largest_report.load());
  require(Worker::largest_report <= Worker::kLimit, "the worker's reports are too large themselves");
  const std::string stage = d.cancel("wk-000002", 40);
  record.line("the cancellation was answered with '%s'; largest body of /commands %zu, longest line %zu; the other team's task was started %zu times",
              stage.c_str(), Worker::largest_commands.load(), Worker::longest_line.load(), d.ground.starts("wk-000001/0"));
  return Worker::largest_commands > Worker::kLimit || Worker::longest_line > Worker::kLimit ? 1 : 0;
}

inline const std::map<std::string, std::function<int(const Setting&)>>& cases() {
  static const std::map<std::string, std::function<int(const Setting&)>> all{{"apart", apart}, {"room", room}, {"deaf", deaf},
      {"memory", memory}, {"stops", stops}};
  return all;
}

}  // namespace standin
