// Makes one scaling plan. Jobs are served in queue order, the cheapest way first: room that is
// nominated for the job, room that comes free in time, machines that are booting, new machines.
// Headroom is found last, on what is left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/scaling_plan.h"

namespace seampass::sched {

// Lives for one plan. It refers to the snapshot and the options, and changes neither.
class Autoscaler {
 public:
  Autoscaler(const ClusterSnapshot& snapshot, const std::vector<ScaleOutOption>& options);

  [[nodiscard]] ScalingPlan plan(const std::vector<Headroom>& headroom);

 private:
  // A machine's free room, less what this plan has promised of it. Below zero where what comes
  // free is promised.
  struct Room {
    const MachineView* machine;
    std::size_t index;  // into ClusterSnapshot::machines; its size for machines that are not there
    Resources free;
  };

  // Tasks of one job that need room.
  struct Demand {
    const JobView& job;
    std::uint32_t missing = 0;
    ZoneCounts in_zone;
    std::string required_zone;  // empty: any zone

    [[nodiscard]] bool fits(const Room& room) const {
      return missing > 0 && job.request.fits_in(room.free) && zone_allowed(room.machine->zone);
    }
    [[nodiscard]] bool zone_allowed(const std::string& zone) const;
    // One task takes its room there.
    void take(Room& room);
  };

  // What may be spent, per hour. Unlimited for jobs: their tasks run in any case.
  struct Budget {
    double left = std::numeric_limits<double>::infinity();
    double max_price = std::numeric_limits<double>::infinity();
  };

  void add(const MachineView& machine, std::size_t index);
  void provide_for(const JobView& job);
  void provide_headroom(const Headroom& headroom);

  // How many tasks need room: 0 too for a gang that the quota does not let start.
  [[nodiscard]] static std::uint32_t missing_tasks(const JobView& job, const TeamView& team);
  [[nodiscard]] std::uint32_t nominated_room(const JobView& job, std::uint32_t missing) const;
  // The zone that all tasks have to be in by what is placed; empty: not decided.
  [[nodiscard]] static std::string required_zone(const JobView& job, const ZoneCounts& in_zone);
  [[nodiscard]] std::string cheapest_zone(const JobView& job, std::uint32_t missing) const;
  [[nodiscard]] ZoneCounts rooms_by_zone(const JobView& job) const;
  [[nodiscard]] double cheapest_price(const JobView& job, const std::string& zone) const;

  void use_releasing_rooms(Demand& demand);
  void use_booting_rooms(Demand& demand);
  void use_headroom_rooms(Demand& demand, Budget& budget);
  [[nodiscard]] std::vector<std::size_t> rooms_by_price() const;
  // Whether a schedulable machine's room is headroom already, or the budget pays for keeping it.
  [[nodiscard]] bool keep_as_headroom(const Room& room, Budget& budget);
  void scale_out(Demand& demand, Budget& budget);
  [[nodiscard]] std::optional<std::size_t> cheapest_option(const Demand& demand,
                                                           const Budget& budget) const;
  Room& add_rented(const ScaleOutOption& option);

  const ClusterSnapshot& snapshot_;
  std::map<std::string, TeamView> teams_;  // with what this plan provides for
  const std::vector<ScaleOutOption>& options_;
  std::vector<int> counts_;  // machines to rent, by option
  std::vector<Room> rooms_;
  std::vector<std::size_t> releasing_, booting_;  // indices into rooms_
  std::deque<MachineView> rented_;                // a deque: rooms_ points to them
  std::map<std::string, std::vector<const MachineView*>> nominated_;  // by job
  ScalingPlan plan_;
};

}  // namespace seampass::sched
