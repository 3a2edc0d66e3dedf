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
  snapshot_.choice = sources_.operator_settings.machine_choice == "first-fit"
                         ? sched::MachineChoice::first_fit
                         : sched::MachineChoice::scored;
  machines_.update(snapshot_);
  update_teams();
  std::vector<JobRecord*> jobs = jobs_.update(snapshot_);
  update_fair_shares(jobs);
  reserve_zones(snapshot_, jobs, sources_.runtime.now(), longest_boot_s(sources_.catalog));
  // Room that is held is taken in the snapshot only until the pass is over.
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

// Where machines have had time to come, twice over, and did not, more is asked than there is.
void SnapshotBuilder::update_fair_shares(const std::vector<JobRecord*>& jobs) {
  const double patience_s = 2 * longest_boot_s(sources_.catalog);
  if (std::none_of(jobs.begin(), jobs.end(),
                   [&](const JobRecord* job) { return deadlines_.age_s(*job) > patience_s; }))
    return;
  std::map<std::string, double> guaranteed;
  for (const config::Team& team : sources_.settings.teams) guaranteed[team.name] = team.gpus;
  sched::set_fair_share_ranks(snapshot_.jobs, snapshot_.teams, guaranteed);
}

void SnapshotBuilder::invalidate(std::size_t slot) {
  if (Machine* machine = machine_at(slot)) machine->stale = true;
}

}  // namespace seampass::leader
