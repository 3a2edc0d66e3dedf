#include "leader/scheduling/headroom_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace seampass::leader {

using net::Ms;

namespace {

// The maximum number of arrivals that the estimator stores for one job class.
constexpr std::size_t kMaxArrivals = 500;
// The estimator counts arrivals over a window of this many boot times.
constexpr double kArrivalWindow = 6;
// Of the tasks that are due to end while a machine boots, the estimator counts on only this share,
// because run-time estimates are inaccurate.
constexpr double kCountedEndShare = 0.5;
// Headroom never uses a machine type that costs more than this many times the cheapest type that
// fits the class.
constexpr double kMaxHeadroomPrice = 3;

double hourly_price(const sched::ClusterSnapshot& snapshot) {
  double price = 0;
  for (const sched::MachineView& machine : snapshot.machines) price += machine.price;
  for (const sched::MachineView& machine : snapshot.pending_scale_out) price += machine.price;
  return price;
}

// Returns a stand-in for the jobs that are expected to arrive. Its priority is low, so that
// headroom never takes capacity that a real job needs.
sched::JobView expected_job(const wire::Job& spec, std::uint32_t tasks) {
  sched::JobView view;
  view.kind = wire::JobKind::array;
  view.priority = wire::Priority::low;
  view.request = sched::request_of(spec);
  view.types = &spec.types;
  view.zone = spec.zone;
  view.spot = spec.spot;
  view.task_count = tasks;
  view.pending = sched::TaskRanges::up_to(tasks);
  return view;
}

}  // namespace

HeadroomEstimator::HeadroomEstimator(const SchedulingSources& sources) : sources_(sources) {
  for (const config::ServiceLevelObjective& objective : sources.settings.objectives) {
    if (objective.kind != "wait" || objective.job_class.empty()) continue;
    Arrivals& arrivals = arrivals_[objective.job_class];
    arrivals.within_s = arrivals.within_s > 0 ? std::min(arrivals.within_s, objective.within_s)
                                              : objective.within_s;
  }
}

void HeadroomEstimator::end_term() {
  for (auto& [job_class, arrivals] : arrivals_) arrivals.recent.clear();
}

// The arrival time is the time at which the job became ready, not the time of this call: after a
// failover, recovery reports many jobs at once that arrived at different times.
void HeadroomEstimator::record_arrival(const JobRecord& job) {
  const auto arrivals = arrivals_.find(job.spec.job_class);
  if (arrivals == arrivals_.end()) return;
  const Ms age = std::max<Ms>(0, sources_.runtime.unix_time_ms() - job.ready_ms);
  arrivals->second.latest = job.spec;
  arrivals->second.recent.emplace_back(sources_.runtime.now() - age, job.spec.tasks);
}

void HeadroomEstimator::trim_arrivals() {
  for (auto& [job_class, arrivals] : arrivals_)
    while (arrivals.recent.size() > kMaxArrivals) arrivals.recent.pop_front();
}

HeadroomEstimator::Offers HeadroomEstimator::offers_for(const wire::Job& spec) const {
  Offers offers{0, std::numeric_limits<double>::infinity()};
  for (const auto& [name, type] : sources_.catalog.types()) {
    if (!sched::fits_empty(type, spec)) continue;
    offers.boot_s = std::max(offers.boot_s, type.boot_s);
    offers.cheapest = std::min(offers.cheapest, spec.spot ? type.spot_price : type.price);
  }
  return offers;
}

double HeadroomEstimator::expected_ends(const std::string& job_class, double boot_s) const {
  const Ms now = sources_.runtime.now();
  double ends = 0;
  for (const auto& [id, job] : sources_.jobs) {
    if (job->spec.job_class != job_class) continue;
    for (const auto& [task, attempt] : job->attempts)
      if (attempt.running_since != 0 &&
          now - attempt.running_since > net::ms(job->spec.estimate_s - boot_s))
        ends += kCountedEndShare;
  }
  return ends;
}

// The tasks of one job arrive at the same moment, so the variance of the number of arriving tasks
// is the sum of the squared job sizes. The estimate is the expected number of arrivals plus one
// standard deviation. Tasks of the class that end in the meantime free their capacity and are
// subtracted.
std::uint32_t HeadroomEstimator::expected_tasks(const std::string& job_class,
                                                const Arrivals& arrivals, double boot_s) const {
  const Ms now = sources_.runtime.now();
  const Ms window = std::min(now - arrivals.recent.front().first, net::ms(kArrivalWindow * boot_s));
  double tasks = 0;
  double squares = 0;
  for (const auto& [when, count] : arrivals.recent)
    if (now - when <= window) {
      tasks += count;
      squares += static_cast<double>(count) * count;
    }
  const double share = boot_s / std::max(static_cast<double>(window) / 1000, boot_s);
  const double ends = expected_ends(job_class, boot_s);
  const double expected = std::max(0.0, tasks * share - ends) + std::sqrt(squares * share);
  return static_cast<std::uint32_t>(std::ceil(expected));
}

std::vector<sched::Headroom> HeadroomEstimator::estimate(
    const sched::ClusterSnapshot& snapshot) const {
  std::vector<sched::Headroom> list;
  const double hourly_cost = hourly_price(snapshot);
  for (const auto& [job_class, arrivals] : arrivals_) {
    if (arrivals.recent.empty()) continue;
    const Offers offers = offers_for(arrivals.latest);
    // If the start objective of a class leaves time to boot a machine, the class needs no headroom.
    if (offers.boot_s <= 0 || arrivals.within_s > 2 * offers.boot_s) continue;
    sched::Headroom headroom;
    headroom.budget = sources_.operator_settings.headroom_share * hourly_cost;
    headroom.max_price = kMaxHeadroomPrice * offers.cheapest;
    headroom.job =
        expected_job(arrivals.latest, expected_tasks(job_class, arrivals, offers.boot_s));
    list.push_back(std::move(headroom));
  }
  return list;
}

}  // namespace seampass::leader
