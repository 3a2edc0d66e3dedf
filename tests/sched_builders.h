// Builders of jobs and cluster snapshots for the tests of src/sched.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sched/sched.h"

namespace seampass::sched {

inline const std::optional<std::vector<std::string>> kAnyType;
inline const std::optional<std::vector<std::string>> kBigTypeOnly = std::vector<std::string>{"big"};

// Returns a job of team red with all tasks pending. It may use machines of any type and spot kind.
inline JobView pending_job(const std::string& id, wire::JobKind kind, std::uint32_t tasks,
                           Resources request) {
  JobView job;
  job.id = id;
  job.team = "red";
  job.kind = kind;
  job.request = request;
  job.types = &kAnyType;
  job.task_count = tasks;
  job.spot = true;
  job.pending = TaskRanges::up_to(tasks);
  return job;
}

// Returns a small random cluster snapshot that varies the properties that a pass takes into
// account: quotas, machine kinds, zones, priorities, job kinds and reserved zones.
// The same generator state gives the same snapshot.
inline ClusterSnapshot random_snapshot(std::mt19937& random, MachineChoice choice) {
  const auto random_below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  ClusterSnapshot snapshot;
  snapshot.machine_choice = choice;
  for (const char* name : {"red", "blue"}) {
    TeamView& team = snapshot.teams[name];
    if (random_below(2)) team.gpus_max = 2.0 + random_below(12);
    if (random_below(3) == 0) team.cpus_max = 8.0 + random_below(40);
    team.gpus = random_below(2);
  }
  const unsigned machines = 1 + random_below(9);
  for (unsigned i = 0; i < machines; ++i) {
    MachineView machine;
    machine.name = "m" + std::to_string(i);
    machine.type = random_below(2) ? "big" : "small";
    machine.zone = std::string(1, static_cast<char>('a' + random_below(3)));
    machine.spot = random_below(3) == 0;
    machine.schedulable = random_below(6) != 0;
    machine.total = {machine.type == "big" ? 16.0 : 4.0, machine.type == "big" ? 4.0 : 0.0, 64};
    machine.free = machine.total;
    machine.free.cpus -= random_below(4);
    machine.price = 1 + random_below(5);
    if (random_below(2)) machine.images.insert("i" + std::to_string(random_below(2)));
    snapshot.machines.push_back(machine);
  }
  const unsigned jobs = 1 + random_below(10);
  for (unsigned i = 0; i < jobs; ++i) {
    JobView job;
    job.id = "wk-" + std::to_string(100 + i);
    job.team = random_below(2) ? "red" : "blue";
    job.kind = random_below(2) ? wire::JobKind::gang : wire::JobKind::array;
    job.priority = static_cast<wire::Priority>(random_below(4));
    job.fair_share_rank = random_below(4) == 0 ? 1 + random_below(2) : 0;
    job.created_ms = random_below(4);
    job.request = {1.0 + random_below(5), random_below(2) * 1.0, 8.0 * random_below(4)};
    job.types = random_below(3) == 0 ? &kBigTypeOnly : &kAnyType;
    if (random_below(5) == 0) job.zone = "b";
    job.one_zone = random_below(2);
    job.spread = !job.one_zone && random_below(3) == 0;
    job.spot = random_below(2);
    job.image = "i" + std::to_string(random_below(2));
    job.task_count = 1 + random_below(6);
    job.pending = TaskRanges::up_to(job.task_count);
    if (job.kind == wire::JobKind::array && random_below(2) && job.task_count > 1) {
      job.pending.remove({0});
      job.placed[std::string(1, static_cast<char>('a' + random_below(3)))] = 1;
    }
    job.blocked = random_below(8) == 0;
    job.all_or_nothing = random_below(4) == 0;
    if (job.one_zone && random_below(6) == 0) job.reserved_zone = "c";
    snapshot.jobs.push_back(job);
  }
  return snapshot;
}

}  // namespace seampass::sched
