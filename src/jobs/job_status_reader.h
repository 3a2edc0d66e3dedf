// Jobs as the state service knows them, behind a bounded cache of final statuses, which never
// change.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

class JobStatusReader {
 public:
  // `open` is said only of a job none of whose dependencies, direct or not, was read as cancelled:
  // such a job counts as cancelled itself, whether that is written or not.
  enum class Found { verdict, open, none, cannot };

  JobStatusReader(state::Client& state, std::size_t most) : state_(state), most_(most) {}

  // The final status, if it is in the cache.
  std::optional<wire::JobStatus> verdict(const std::string& job);
  void remember(const wire::JobStatus& status);

  using Done = std::function<void(Found, const wire::JobStatus&, const state::Item& open)>;

  // For a status query: `cannot` at once if the state service has nothing left for it.
  void query(const std::string& job, Done done);
  void read(const std::string& job, Done done);
  // For a job that has probably ended: one request if it has.
  void read_ended(const std::string& job, Done done);

 private:
  enum class Purpose { query, other };
  struct UpstreamWalk;

  void read_open(const std::string& job, Purpose purpose, Done done);
  void read_final(const std::string& job, Done done);
  void walk_upstream(const std::shared_ptr<UpstreamWalk>& walk);

  state::Client& state_;
  std::size_t most_;
  std::list<wire::JobStatus> order_;
  std::unordered_map<std::string, std::list<wire::JobStatus>::iterator> cache_;
};

}  // namespace seampass::jobs
