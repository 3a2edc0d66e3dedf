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

// The answers and the direct commands to two of four machines are lost for some seconds. They keep
// their tasks and go on; then there is room on it, and the cloud has no other machine.
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
  const std::shared_ptr<Worker> second = d.cloud.worker(*d.ground.hosts("wk-000009/0").begin());
  if (setting.trouble) {
    record.line("%s and %s receive nothing", host.c_str(), second->host().c_str());
    machine->deaf = second->deaf = true;
  }
  const Time begun = now();
  JobSpec early{here(job_body("wk-000003", "dock-check", "van-crew", "sweep", "normal", 1, 2, 0, 2)), 1};
  require(d.submit(early) == 201, "the third job is not accepted");
  sleep_s(11.3);
  std::thread([&d] { d.cancel("wk-000002"); }).detach();
  sleep_s(1.4);
  if (setting.trouble) record.line("they receive again, after %.1f s", seconds_since(begun));
  machine->deaf = second->deaf = false;
  JobSpec late{here(job_body("wk-000004", "dock-check", "van-crew", "sweep", "normal", 1, 8, 0, 8)), 3};
  require(d.submit(late) == 201, "the last job is not accepted");
  const Time since = now();
  const bool ran = wait_for([&] { return d.ground.starts("wk-000004/0") > 0; }, 91, 0.5);
  record.line("wk-000004 %s %.0f s; the service is still on %s: %d", ran ? "starts after" : "waits after",
              seconds_since(since), host.c_str(), !d.ground.hosts("wk-000001/0").empty());
  d.poll("wk-000004");
  require(d.poll("wk-000002").stage == "withdrawn" && d.poll("wk-000003").stage == "done", "the machine did not go on");
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

// Laval after the upgrade: the limits to come are in the settings (`state.next`).
inline Site laval_next() {
  Site site = laval();
  site.workers.report_s = 5;
  site.more = "\n[facts.state.next]\nrps = 80.0\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 6\n";
  return site;
}

// One-task jobs come four a second, and a quarter of them is cancelled. Their users poll every 5 s.
class SmallJobs {
 public:
  explicit SmallJobs(Deployment& d) : d_(d) {
    std::thread([this] {
      for (int i = 0; !stop; ++i) {
        std::thread([this, i] { one(i); }).detach();
        sleep_s(0.25);
      }
    }).detach();
  }
  std::atomic<bool> stop{false};
  std::atomic<int> polls{0}, answered{0};  // since `count` was set
  std::atomic<bool> count{false};

 private:
  void one(int i) {
    char id[20];
    std::snprintf(id, sizeof id, "wk-%06d", 100000 + i);
    JobSpec job{job_body(id, "label-swarm", "franchise-desk", "sweep", "idle", 1, 0.25, 0, 0.5), 2};
    job.body["pull_gb"] = 0.1;
    const int status = d_.submit(job);
    if (status != 200 && status != 201) return;
    if (i % 4 == 0) {
      sleep_s(0.5);
      if (!stop) d_.cancel(id);
      return;
    }
    while (!stop) {
      sleep_s(5);
      if (stop) return;
      const auto polled = d_.poll(id, -1, true);
      if (count) {
        ++polls;
        answered += polled.status == 200 ? 1 : 0;
      }
      if (polled.stage == "done") return;
    }
  }
  Deployment& d_;
};

// A job is done and its user knows. The leader ends under a load of small jobs. The user asks again,
// on a connection to the node that leads next.
inline int forgotten(const Setting& setting) {
  Deployment& d = *new Deployment(laval_next(), {magnum()}, setting.program, setting.folder);
  const Ender ender{d};
  for (const char* zone : {"levis-annex", "laval-nord"}) d.cloud.offer("magnum", zone, false, {1, 1.5});
  d.start();
  require(d.wait_ready(), "the controllers are not ready");
  const int first = d.leader();
  require(first >= 0, "nobody leads");
  const JobSpec job{job_body("wk-000001", "price-book", "pricing-guild", "group", "high", 1, 20, 0, 60), 1};
  require(d.submit(job, first) == 201, "the job is not accepted");
  SmallJobs& load = *new SmallJobs(d);
  require(wait_for([&] { return d.poll("wk-000001", first, true).stage == "done"; }, 20, 0.5), "the job does not end");
  record.line("the user of wk-000001 was told that it is done");
  sleep_s(3);
  if (setting.trouble) d.kill(static_cast<std::size_t>(first));
  const Time killed = now();
  require(wait_for([&] { return d.leader() >= 0 && (!setting.trouble || d.leader() != first); }, 15), "nobody leads next");
  const int next = d.leader();
  record.line("%d leads now", next);
  sleep_s(5.5);  // the new leader's clean-up has to be under way: an answer before stays cached
  load.count = true;
  int polls = 0, answered = 0;
  bool restarted = !setting.trouble;
  const Time since = now();
  KeptConnection user(d.port(static_cast<std::size_t>(next)));  // "Open connections are not moved"
  for (double asked_at = 0; asked_at < 90 && answered == 0;) {
    asked_at = seconds_since(since);
    const auto polled = user.get("/api/jobs/wk-000001", 2);
    record.line("poll wk-000001: %d %s", polled ? polled->status : 0, polled ? polled->body.c_str() : "");
    ++polls;
    answered += polled && polled->status == 200 ? 1 : 0;
    if (!restarted && seconds_since(killed) > 6) {
      d.launch(static_cast<std::size_t>(first));
      restarted = true;
    }
    if (asked_at < 90) sleep_s(2);
  }
  load.stop = true;
  const int other = static_cast<int>((static_cast<std::size_t>(next) + 1) % d.size());
  const int elsewhere = d.poll("wk-000001", other).status;
  record.line("wk-000001: %d of %d polls answered in %.0f s, on %d connection(s); other jobs: %d of %d; another node answers it with %d", answered,
              polls, seconds_since(since), user.opened, load.answered.load(), load.polls.load(), elsewhere);
  if (!setting.trouble) return answered > 0 ? 0 : 1;
  return answered == 0 && load.answered * 2 > load.polls ? 1 : 0;
}

inline MachineType jeroboam() {
  return {"jeroboam", 32, 4, 192, 12.37, 5.24, 45, 0.4, 80, {"levis-annex", "laval-nord"}};
}

// A team is at its limit. A task of it fails, and what it had goes to another job of the team. Then
// the leader ends, and the machine of the failed task ends and is back at once.
inline int quota(const Setting& setting) {
  constexpr double kLimit = 32;  // of truck-dispatch, in the site file
  Site site = laval_next();
  site.teams.push_back({"truck-dispatch", 0, 0, 8, kLimit});
  Deployment& d = *new Deployment(site, {magnum(), jeroboam()}, setting.program, setting.folder);
  const Ender ender{d};
  for (const char* zone : {"levis-annex", "laval-nord"}) {
    d.cloud.offer("magnum", zone, false, {1, 1.5});
    d.cloud.offer("jeroboam", zone, false, {10, 1.5});
  }
  d.start();
  require(d.wait_ready(), "the controllers are not ready");
  SmallJobs& load = *new SmallJobs(d);
  // Seven replicas hold 28 of the team's 32 GPUs.
  const JobSpec others{job_body("wk-000009", "truck-front", "truck-dispatch", "standing", "normal", 7, 6, 4, 36), 1000};
  require(d.submit(others) == 201, "the service is not accepted");
  require(wait_for([&] { return d.ground.starting("wk-000009/") == 7; }, 25), "the service does not start");
  const JobSpec failing{job_body("wk-000001", "truck-plan", "truck-dispatch", "sweep", "high", 1, 6, 4, 36), 60, 6};
  require(d.submit(failing) == 201, "the first job is not accepted");
  require(wait_for([&] { return d.ground.starts("wk-000001/0") > 0; }, 25), "the first job does not start");
  const std::string host = *d.ground.hosts("wk-000001/0").begin();
  const JobSpec waiting{job_body("wk-000002", "truck-plan", "truck-dispatch", "sweep", "high", 1, 6, 4, 36), 100};
  require(d.submit(waiting) == 201, "the second job is not accepted");
  require(wait_for([&] { return d.ground.starts("wk-000002/0") > 0; }, 30, 0.01), "the second job does not start");
  record.line("wk-000002 runs on what wk-000001 had; the state service still has: %s", d.state.text("work/wk-000001/").c_str());
  const int leader = d.leader();
  require(leader >= 0, "nobody leads");
  if (setting.trouble) {
    d.kill(static_cast<std::size_t>(leader));
    d.cloud.worker(host)->restart();
  }
  const Time since = now();
  bool restarted = !setting.trouble;
  double most = 0;
  while (seconds_since(since) < 30) {
    sleep_s(0.02);
    std::size_t tasks = 0;
    for (int i = 0; i < 7; ++i) tasks += d.ground.hosts("wk-000009/" + std::to_string(i)).size();
    for (const char* pour : {"wk-000001/0", "wk-000002/0"}) tasks += d.ground.hosts(pour).size();
    most = std::max(most, 4.0 * static_cast<double>(tasks));
    if (!restarted && seconds_since(since) > 6) {
      d.launch(static_cast<std::size_t>(leader));
      restarted = true;
    }
  }
  load.stop = true;
  record.line("truck-dispatch used up to %.0f GPUs at a time; its limit is %.0f", most, kLimit);
  return most > kLimit ? 1 : 0;
}

inline const std::map<std::string, std::function<int(const Setting&)>>& cases() {
  static const std::map<std::string, std::function<int(const Setting&)>> all{
      {"memory", memory}, {"quota", quota}, {"forgotten", forgotten}, {"deaf", deaf}, {"stops", stops}};
  return all;
}

}  // namespace standin
