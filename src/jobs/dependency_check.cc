#include "jobs/dependency_check.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace seampass::jobs {

namespace {

struct DependencyCheck {
  std::size_t unanswered = 0;
  DependencyState worst = DependencyState::accepted;
  std::function<void(DependencyState)> on_checked;
};

DependencyState state_of(const rpc::JobReply& reply) {
  if (reply.lookup == rpc::Lookup::unavailable) return DependencyState::undecided;
  // Only a read of the store finds that there is no such job.
  if (reply.lookup == rpc::Lookup::not_found) return DependencyState::never_accepted;
  return reply.status.stage == wire::Stage::cancelled ? DependencyState::cancelled
                                                      : DependencyState::accepted;
}

}  // namespace

void check_dependencies(JobStatusFinder& finder, const std::vector<std::string>& dependencies,
                        std::function<void(DependencyState)> on_checked) {
  const auto check = std::make_shared<DependencyCheck>();
  check->unanswered = dependencies.size();
  check->on_checked = std::move(on_checked);
  for (const std::string& job : dependencies) {
    finder.find(job, JobStatusFinder::Purpose::acceptance, [check](const rpc::JobReply& reply) {
      check->worst = std::max(check->worst, state_of(reply));
      if (--check->unanswered == 0) check->on_checked(check->worst);
    });
  }
}

}  // namespace seampass::jobs
