#include "jobs/dependency_check.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace seampass::jobs {

namespace {

struct DependencyCheck {
  std::size_t pending_lookups = 0;
  DependencyState worst_state = DependencyState::accepted;
  std::function<void(DependencyState)> on_checked;
};

DependencyState dependency_state_of(const rpc::JobReply& reply) {
  if (reply.lookup == rpc::Lookup::unavailable) return DependencyState::unknown;
  // `not_found` can be trusted: it always comes from a read of the state service.
  if (reply.lookup == rpc::Lookup::not_found) return DependencyState::never_accepted;
  return reply.status.stage == wire::Stage::cancelled ? DependencyState::cancelled
                                                      : DependencyState::accepted;
}

}  // namespace

void check_dependencies(JobStatusFinder& finder, const std::vector<std::string>& dependencies,
                        std::function<void(DependencyState)> on_checked) {
  const auto check = std::make_shared<DependencyCheck>();
  check->pending_lookups = dependencies.size();
  check->on_checked = std::move(on_checked);
  for (const std::string& job : dependencies) {
    finder.find(job, JobStatusFinder::Purpose::acceptance, [check](const rpc::JobReply& reply) {
      check->worst_state = std::max(check->worst_state, dependency_state_of(reply));
      if (--check->pending_lookups == 0) check->on_checked(check->worst_state);
    });
  }
}

}  // namespace seampass::jobs
