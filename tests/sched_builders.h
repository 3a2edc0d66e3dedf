// Jobs and clusters for the tests of src/sched.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sched/snapshot.h"

namespace seampass::sched {

inline const std::optional<std::vector<std::string>> kAny;
inline const std::optional<std::vector<std::string>> kOnlyBig = std::vector<std::string>{"big"};

// A job of team red, all of whose tasks are pending.
inline JobView waiting(const std::string& id, wire::JobKind kind, std::uint32_t tasks,
                       Resources request) {
  JobView job;
  job.id = id;
  job.team = "red";
  job.kind = kind;
  job.request = request;
  job.types = &kAny;
  job.tasks = tasks;
  job.spot = true;
  for (std::uint32_t task = 0; task < tasks; ++task) job.pending.push_back(task);
  return job;
}

// A small cluster, with all that a pass has to take into account. The same seed gives the same one.
inline ClusterSnapshot random_snapshot(std::mt19937& random, MachineChoice choice) {
  const auto pick = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  ClusterSnapshot snapshot;
  snapshot.choice = choice;
  for (const char* name : {"red", "blue"}) {
    TeamView& team = snapshot.teams[name];
    if (pick(2)) team.gpus_max = 2.0 + pick(12);
    if (pick(3) == 0) team.cpus_max = 8.0 + pick(40);
    team.gpus = pick(2);
  }
  const unsigned machines = 1 + pick(9);
  for (unsigned i = 0; i < machines; ++i) {
    MachineView machine;
    machine.name = "m" + std::to_string(i);
    machine.type = pick(2) ? "big" : "small";
    machine.zone = std::string(1, static_cast<char>('a' + pick(3)));
    machine.spot = pick(3) == 0;
    machine.schedulable = pick(6) != 0;
    machine.total = {machine.type == "big" ? 16.0 : 4.0, machine.type == "big" ? 4.0 : 0.0, 64};
    machine.free = machine.total;
    machine.free.cpus -= pick(4);
    machine.price = 1 + pick(5);
    if (pick(2)) machine.images.insert("i" + std::to_string(pick(2)));
    snapshot.machines.push_back(machine);
  }
  const unsigned jobs = 1 + pick(10);
  for (unsigned i = 0; i < jobs; ++i) {
    JobView job;
    job.id = "wk-" + std::to_string(100 + i);
    job.team = pick(2) ? "red" : "blue";
    job.kind = pick(2) ? wire::JobKind::gang : wire::JobKind::array;
    job.priority = static_cast<wire::Priority>(pick(4));
    job.fair_share_rank = pick(4) == 0 ? 1 + pick(2) : 0;
    job.created_ms = pick(4);
    job.request = {1.0 + pick(5), pick(2) * 1.0, 8.0 * pick(4)};
    job.types = pick(3) == 0 ? &kOnlyBig : &kAny;
    if (pick(5) == 0) job.zone = "b";
    job.one_zone = pick(2);
    job.spread = !job.one_zone && pick(3) == 0;
    job.spot = pick(2);
    job.image = "i" + std::to_string(pick(2));
    job.tasks = 1 + pick(6);
    for (std::uint32_t task = 0; task < job.tasks; ++task) job.pending.push_back(task);
    if (job.kind == wire::JobKind::array && pick(2) && job.tasks > 1) {
      job.pending.erase(job.pending.begin());
      job.placed[std::string(1, static_cast<char>('a' + pick(3)))] = 1;
    }
    for (int left = pick(3) == 0 ? 4 : 0; left > 0; --left)
      job.anti_affinity.insert({static_cast<std::uint32_t>(pick(6)), pick(machines)});
    job.blocked = pick(8) == 0;
    job.all_or_nothing = pick(4) == 0;
    if (job.one_zone && pick(6) == 0) job.reserved_zone = "c";
    snapshot.jobs.push_back(job);
  }
  return snapshot;
}

}  // namespace seampass::sched
