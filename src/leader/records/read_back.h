// Reads what the store holds of a job after a transaction whose outcome is not known: the outcome
// is never assumed. Part of the RecordStore, which goes on from what was read.
#pragma once

#include <string>
#include <vector>

#include "leader/records/record_layout.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "state/client.h"

namespace seampass::leader {

class ReadBack {
 public:
  class Listener {
   public:
    enum class Readable { yes, no };

    Listener() = default;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // False: the job was forgotten meanwhile, and the rest of it is not read.
    [[nodiscard]] virtual bool tracks(const std::string& job) const = 0;
    // The job has a final status. One that is not readable is read again, until it is.
    [[nodiscard]] virtual Readable on_final_status_read(const std::string& job,
                                                        const state::Item& item) = 0;
    // 0: the record does not exist.
    virtual void on_record_read(const std::string& job, const RecordId& id,
                                state::Version version) = 0;
    // All was read.
    virtual void on_read_back(const std::string& job) = 0;

   protected:
    ~Listener() = default;
  };

  // `retry`: ms between two tries of a read that failed.
  ReadBack(net::Runtime& runtime, state::Client& state, Listener& listener, net::Ms retry)
      : runtime_(runtime), state_(state), listener_(listener), retry_(retry) {}

  // The final status comes first: what it says decides what becomes of the records.
  void read_final_status_and_records(const std::string& job, std::vector<RecordId> ids);
  // One record at a time, the last first.
  void read_records(const std::string& job, std::vector<RecordId> ids);
  // A term has ended: nothing is read or said any more.
  void cancel() { scope_.renew(); }

 private:
  // `read` again after a pause, if the job is still there.
  template <typename Read>
  void retry(const std::string& job, Read read);

  net::Runtime& runtime_;
  state::Client& state_;
  Listener& listener_;
  net::Ms retry_;
  net::CallbackScope scope_;
};

}  // namespace seampass::leader
