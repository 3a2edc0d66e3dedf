// The leader's durable writes: work/<id>/<chunk> records and ends/<id> verdicts.
//
// One transaction of a job is on its way at a time, and every one compares the version of each
// record that it replaces: a late copy of an earlier write can't undo a newer one. Outcomes that
// are not known are read back, never assumed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

std::string open_key(const std::string& job);
std::string ends_key(const std::string& job);
std::string work_key(const std::string& job, std::uint32_t chunk);

class RecordStore {
 public:
  // What a record should hold now; none: it should not exist.
  using Render = std::function<std::optional<wire::Json>(const std::string& job, std::uint32_t)>;

  struct Hooks {
    Render render;
    std::function<void()> fenced;  // another leads
    // A verdict that this store did not write was found.
    std::function<void(const std::string& job, wire::Stage)> ended;
  };

  RecordStore(net::Runtime& runtime, state::Client& state, int txn_ops, Hooks hooks);

  // Starts a term; everything of the one before is forgotten.
  void begin(std::uint64_t warrant);
  void stop() { begin(0); }

  // A record as found when the term began.
  void found(const std::string& job, std::uint32_t chunk, state::Version version);

  // The record changed: write it; `durable` runs once what it held by now is in the store.
  void changed(const std::string& job, std::uint32_t chunk, state::Urgency urgency,
               std::function<void()> durable = nullptr);
  // Writes the verdict, and answers with the one that stands.
  void end(const std::string& job, state::Version open_version, wire::Stage stage,
           std::uint64_t done, std::function<void(wire::Stage)> durable);

  // A verdict of this job may be in the store, or may come to be, and is not known here yet.
  bool outcome_unknown(const std::string& job) const;
  // Nothing of this record waits or is on its way.
  bool settled(const std::string& job, std::uint32_t chunk) const;
  bool settled(const std::string& job) const;
  // The records that are or may be in the store.
  std::vector<std::uint32_t> chunks(const std::string& job) const;
  void forget(const std::string& job) { jobs_.erase(job); }

 private:
  struct Record {
    state::Version version = 0;
    bool dirty = false, sending = false;
    state::Urgency urgency = state::Urgency::progress;
    std::vector<std::function<void()>> waiters;
  };
  struct Ending {
    state::Version open_version = 0;
    wire::Stage stage = wire::Stage::done;
    std::uint64_t done = 0;
    std::function<void(wire::Stage)> durable;
  };
  struct Entry {
    std::map<std::uint32_t, Record> records;
    std::optional<Ending> ending;
    bool ended = false;  // the verdict is in the store
    bool doubt = false;  // a transaction with the verdict is out, or its outcome is not known
    bool busy = false;
  };

  void flush(const std::string& job);
  void later(const std::string& job);
  void applied(const std::string& job, const std::vector<std::uint32_t>& chunks,
               const std::vector<bool>& present, state::Version version, bool with_verdict);
  void read_back(const std::string& job, std::vector<std::uint32_t> chunks, bool verdict);

  net::Runtime& runtime_;
  state::Client& state_;
  int txn_ops_;
  Hooks hooks_;
  std::uint64_t warrant_ = 0;
  std::uint64_t term_ = 0;
  std::map<std::string, Entry> jobs_;
};

}  // namespace seampass::leader
