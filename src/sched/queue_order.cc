#include "sched/queue_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace seampass::sched {

std::vector<std::size_t> queue_order(const std::vector<JobView>& jobs) {
  std::vector<std::size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    const JobView& first = jobs[left];
    const JobView& second = jobs[right];
    return std::tie(first.priority, first.fair_share_rank, first.created_ms, first.id) <
           std::tie(second.priority, second.fair_share_rank, second.created_ms, second.id);
  });
  return order;
}

void set_fair_share_ranks(std::vector<JobView>& jobs, const std::map<std::string, TeamView>& teams,
                          const std::map<std::string, double>& guaranteed_gpus) {
  struct Requested {
    double gpus = 0, cpus = 0;
  };
  for (JobView& job : jobs) job.fair_share_rank = 0;
  std::map<std::string, Requested> requested_by_team;
  for (const auto& [name, team] : teams) requested_by_team[name] = {team.gpus, team.cpus};
  for (const std::size_t index : queue_order(jobs)) {
    JobView& job = jobs[index];
    Requested& requested = requested_by_team[job.team];
    const auto tasks = static_cast<double>(job.unreserved_tasks());
    requested.gpus += tasks * job.request.gpus;
    requested.cpus += tasks * job.request.cpus;
    const auto guaranteed = guaranteed_gpus.find(job.team);
    if (job.request.gpus > 0 && guaranteed != guaranteed_gpus.end() && guaranteed->second > 0) {
      const double share = requested.gpus / guaranteed->second;
      // A team within its guarantee has the first rank, so that no other team's excess delays it.
      job.fair_share_rank = share <= 1 ? 0 : share;
    } else {
      job.fair_share_rank = requested.cpus;
    }
  }
}

}  // namespace seampass::sched
