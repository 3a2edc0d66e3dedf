#include "leader/scheduling/snapshot_builder.h"

#include <algorithm>
#include <map>
#include <string>

#include "leader/scheduling/zone_reservations.h"

namespace seampass::leader {

SnapshotBuilder::SnapshotBuilder(const SchedulingSources& sources, Fleet& fleet)
    : sources_(sources),
      fleet_(fleet),
      deadlines_(sources),
      machines_(sources, fleet),
      jobs_(sources, fleet, deadlines_) {}

void SnapshotBuilder::end_term() {
  snapshot_ = {};
  machines_.end_term();
}

std::vector<JobRecord*> SnapshotBuilder::update() {
  snapshot_.machine_choice = sources_.operator_settings.machine_choice == "first-fit"
                                 ? sched::MachineChoice::first_fit
                                 : sched::MachineChoice::scored;
  machines_.update(snapshot_);
  update_teams();
  std::vector<JobRecord*> jobs = jobs_.update(snapshot_);
  update_fair_shares(jobs);
  reserve_zones(snapshot_, jobs, sources_.runtime.now(), longest_boot_s(sources_.catalog));
  // The capacity that reservations subtract applies to this pass only, so the views of these
  // machines are rebuilt for the next pass.
  for (const sched::JobView& view : snapshot_.jobs)
    for (const sched::Placement& reserved : view.reservations) invalidate(reserved.machine);
  return jobs;
}

void SnapshotBuilder::update_teams() {
  snapshot_.teams.clear();
  for (const config::Team& team : sources_.settings.teams) {
    sched::TeamView& view = snapshot_.teams[team.name];
    if (team.cpus_max > 0) view.cpus_max = team.cpus_max;
    if (team.gpus_max > 0) view.gpus_max = team.gpus_max;
    const sched::Resources usage = sources_.attempts.usage(team.name);
    view.cpus = usage.cpus;
    view.gpus = usage.gpus;
  }
}

// Ranks the jobs by fair share if demand exceeds the available capacity. The sign of this is a job
// that has been ready for more than twice the longest boot time: new machines would have booted by
// then, but the cloud did not supply them.
void SnapshotBuilder::update_fair_shares(const std::vector<JobRecord*>& jobs) {
  const double max_expected_wait_s = 2 * longest_boot_s(sources_.catalog);
  if (std::none_of(jobs.begin(), jobs.end(), [&](const JobRecord* job) {
        return deadlines_.age_s(*job) > max_expected_wait_s;
      }))
    return;
  std::map<std::string, double> guaranteed;
  for (const config::Team& team : sources_.settings.teams) guaranteed[team.name] = team.gpus;
  sched::set_fair_share_ranks(snapshot_.jobs, snapshot_.teams, guaranteed);
}

void SnapshotBuilder::invalidate(std::size_t slot) {
  if (Machine* machine = machine_at(slot)) machine->view_stale = true;
}

}  // namespace seampass::leader
