#include "leader/records/read_back.h"

#include <utility>

#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;

namespace {

// Returns true if the outcome of a read shows whether the key exists.
bool shows_existence(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::missing;
}

}  // namespace

template <typename Read>
void ReadBack::schedule_retry(const std::string& job, Read read) {
  runtime_.after(retry_pause_, scope_.wrap([this, job, read = std::move(read)] {
    if (listener_.tracks(job)) read();
  }));
}

void ReadBack::read_final_status_and_records(const std::string& job, std::vector<RecordId> ids) {
  auto on_answer = [this, job, ids = std::move(ids)](const state::GetResult& result) {
    if (!listener_.tracks(job)) return;
    const auto read_again = [this, job, ids] { read_final_status_and_records(job, ids); };
    if (!shows_existence(result.outcome)) return schedule_retry(job, read_again);
    const auto term = scope_.period();
    if (result.outcome == Outcome::ok &&
        listener_.on_final_status_read(job, result.item) == Listener::Readable::no)
      return schedule_retry(job, read_again);
    // The callbacks that ran for the final status may have ended the term or forgotten the job.
    if (term.current() && listener_.tracks(job)) read_records(job, ids);
  };
  state_.get(final_status_key(job), scope_.wrap(std::move(on_answer)));
}

void ReadBack::read_records(const std::string& job, std::vector<RecordId> ids) {
  if (ids.empty()) return listener_.on_read_back(job);
  const RecordId id = ids.back();
  auto on_answer = [this, job, id, ids = std::move(ids)](const state::GetResult& result) {
    if (!listener_.tracks(job)) return;
    if (!shows_existence(result.outcome))
      return schedule_retry(job, [this, job, ids] { read_records(job, ids); });
    listener_.on_record_read(job, id, result.outcome == Outcome::ok ? result.item.version : 0);
    read_records(job, {ids.begin(), ids.end() - 1});
  };
  state_.get(work_key(job, id), scope_.wrap(std::move(on_answer)));
}

}  // namespace seampass::leader
