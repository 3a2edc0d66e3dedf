#include "leader/scheduling/headroom_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace seampass::leader {

using net::Ms;

namespace {

// Arrivals of a class that are remembered.
constexpr std::size_t kMaxArrivals = 500;
// Arrivals are counted over this many boot times.
constexpr double kArrivalWindow = 6;
// Of the tasks that should end while a machine boots, this share is counted on: estimates err.
constexpr double kEndsCounted = 0.5;
// A spare is kept on no type that costs more than this many times the cheapest that would do.
constexpr double kMaxHeadroomPrice = 3;

double hourly_price(const sched::ClusterSnapshot& snapshot) {
  double price = 0;
  for (const sched::MachineView& machine : snapshot.machines) price += machine.price;
  for (const sched::MachineView& machine : snapshot.pending_scale_out) price += machine.price;
  return price;
}

// A job of low priority, so that room is kept for it only where nothing else wants it.
sched::JobView expected_job(const wire::Job& spec, std::uint32_t tasks) {
  sched::JobView view;
  view.kind = wire::JobKind::array;
  view.priority = wire::Priority::low;
  view.request = sched::request_of(spec);
  view.types = &spec.types;
  view.zone = spec.zone;
  view.spot = spec.spot;
  view.tasks = tasks;
  for (std::uint32_t task = 0; task < tasks; ++task) view.pending.push_back(task);
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

// Jobs recovered together came at their own times.
void HeadroomEstimator::record_arrival(const JobRecord& job) {
  const auto arrivals = arrivals_.find(job.spec.job_class);
  if (arrivals == arrivals_.end()) return;
  const Ms age = std::max<Ms>(0, sources_.runtime.wall() - job.ready_ms);
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
        ends += kEndsCounted;
  }
  return ends;
}

// Tasks of a job come together, so that their number spreads by the square of a job's size.
// Meanwhile tasks of the class end as well, and leave their room.
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
  const double spent = hourly_price(snapshot);
  for (const auto& [job_class, arrivals] : arrivals_) {
    if (arrivals.recent.empty()) continue;
    const Offers offers = offers_for(arrivals.latest);
    // A class whose aim leaves time to boot needs no spare.
    if (offers.boot_s <= 0 || arrivals.within_s > 2 * offers.boot_s) continue;
    sched::Headroom headroom;
    headroom.budget = sources_.operator_settings.headroom_share * spent;
    headroom.max_price = kMaxHeadroomPrice * offers.cheapest;
    headroom.job =
        expected_job(arrivals.latest, expected_tasks(job_class, arrivals, offers.boot_s));
    list.push_back(std::move(headroom));
  }
  return list;
}

}  // namespace seampass::leader
