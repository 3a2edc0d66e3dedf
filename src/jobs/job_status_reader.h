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
  enum class Lookup { ended, open, not_found, unavailable };

  JobStatusReader(state::Client& state, std::size_t most) : state_(state), most_(most) {}

  // Whether the job's own end is known to be in the store, or only that of a job which it depends
  // on, from which its own follows.
  enum class Source { written, derived };

  // The final status, if it is in the cache.
  std::optional<wire::JobStatus> final_status(const std::string& job);
  // Whether it is there, and known to be written.
  bool written(const std::string& job) const;
  void remember(const wire::JobStatus& status, Source source);

  using Done = std::function<void(Lookup, const wire::JobStatus&, const state::Item& open)>;

  // For a status query: `cannot` at once if the state service has nothing left for it.
  void query(const std::string& job, const Done& done);
  void read(const std::string& job, const Done& done);
  // For a job that has probably ended: one request if it has.
  void read_ended(const std::string& job, Done done);

 private:
  enum class Purpose { query, other };
  struct UpstreamWalk;

  using OnOpen = std::function<void(const state::Item& open, const std::vector<std::string>&)>;

  void read_open(const std::string& job, Purpose purpose, const Done& done);
  // Looks under both keys: `on_open` gets an open job with its dependencies, `otherwise` the rest.
  void read_record(const std::string& job, OnOpen on_open, Done otherwise);
  void read_final(const std::string& job, Done done);
  void walk_upstream(const std::shared_ptr<UpstreamWalk>& walk);

  state::Client& state_;
  std::size_t most_;
  struct Entry {
    wire::JobStatus status;
    Source source = Source::written;
  };
  std::list<Entry> order_;  // the least recently used last
  std::unordered_map<std::string, std::list<Entry>::iterator> cache_;
};

}  // namespace seampass::jobs
