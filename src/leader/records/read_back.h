// ReadBack reads the stored records of a job after a transaction whose outcome is unknown, because
// the outcome of a transaction must never be assumed. It is a part of the RecordStore, which
// resumes writing from the versions that were read. A read that fails is retried without limit.
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

    // Returns false if the job was forgotten in the meantime. The rest of its records is then not
    // read.
    [[nodiscard]] virtual bool tracks(const std::string& job) const = 0;
    // Called when the job has a stored final status. If the listener returns `no`, the final status
    // is read again after a pause, until the listener can decode it.
    [[nodiscard]] virtual Readable on_final_status_read(const std::string& job,
                                                        const state::Item& item) = 0;
    // `version` is 0 if the record does not exist.
    virtual void on_record_read(const std::string& job, const RecordId& id,
                                state::Version version) = 0;
    // Called once every requested record has been read.
    virtual void on_read_back(const std::string& job) = 0;

   protected:
    ~Listener() = default;
  };

  // `retry_pause` is the time in ms between two attempts of a read that failed.
  ReadBack(net::Runtime& runtime, state::Client& state, Listener& listener, net::Ms retry_pause)
      : runtime_(runtime), state_(state), listener_(listener), retry_pause_(retry_pause) {}

  // Reads the final status before the records, because the final status decides whether the records
  // are still needed.
  void read_final_status_and_records(const std::string& job, std::vector<RecordId> ids);
  // Reads one record at a time, starting with the last id of the list.
  void read_records(const std::string& job, std::vector<RecordId> ids);
  // Ends all reads; the listener is not called again for them. The RecordStore calls this when a
  // term starts or ends.
  void cancel() { scope_.renew(); }

 private:
  // Calls `read` after a pause if the listener still tracks the job then.
  template <typename Read>
  void schedule_retry(const std::string& job, Read read);

  net::Runtime& runtime_;
  state::Client& state_;
  Listener& listener_;
  net::Ms retry_pause_;
  net::CallbackScope scope_;
};

}  // namespace seampass::leader
