// What users and workers ask of this node over HTTP, whether it leads or not.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "jobs/job_status_reader.h"
#include "leader/election/election.h"
#include "leader/leader_term.h"
#include "leader/records/cluster_version.h"
#include "net/http_server.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"

namespace seampass::jobs {

class ApiHandler {
 public:
  ApiHandler(net::Runtime& runtime, state::Client& state, const cloud::MachineCatalog& catalog,
             leader::Election& election, leader::LeaderTerm& leader_term,
             JobStatusReader& status_reader, leader::ClusterVersion& cluster,
             rpc::PeerTransport& peers, const config::Settings& settings);

  void handle(const net::Request& request, net::Answer answer);
  void receive(const std::string& from, const rpc::Message& message);

 private:
  using Reply = std::function<void(const rpc::JobReply&)>;

  // Submissions: submissions.cc.
  void submit(const net::Request& request, const net::Answer& answer);
  void refuse(const std::string& id, const std::string& why, const net::Answer& answer);
  // `cancelled`: a job that it depends on is.
  void accept_new(const std::string& id, const wire::Json& record, bool cancelled,
                  const net::Answer& answer);
  bool storable(const wire::Json& record) const;
  // What is known of the jobs that one depends on, the worst of them; in this order.
  enum class Dependencies { accepted, cancelled, undecided, never_accepted };
  static Dependencies dependency_state(const rpc::JobReply& answer);
  void check_dependencies(const std::vector<std::string>& jobs,
                          std::function<void(Dependencies)> reply);
  // Writes the job, here or (where the store does not answer this node) through the leader.
  void accept(const std::string& id, const wire::Json& record, bool forward, const Reply& reply);
  // Empty if the job could run; else why it never can.
  std::string impossible(const wire::Job& job) const;
  // Who wants to know: whoever polls can be told to come again, an acceptance waits for its answer.
  enum class Purpose { poll, acceptance };
  // What is known of a job: the cache, else the leader, else the store.
  void status(const std::string& id, Purpose purpose, const Reply& reply);
  void current(const std::string& id, const net::Answer& answer);
  void cancel(const std::string& id, const net::Answer& answer);
  void heartbeat(const net::Request& request, const net::Answer& answer);
  // Asks the leader, this node or another.
  void ask_leader(rpc::JobRequest ask, net::Ms timeout, Reply reply);

  net::Runtime& runtime_;
  state::Client& state_;
  const cloud::MachineCatalog& catalog_;
  leader::Election& election_;
  leader::LeaderTerm& leader_term_;
  JobStatusReader& status_reader_;
  leader::ClusterVersion& cluster_;
  rpc::PeerTransport& peers_;
  const config::Settings& settings_;

  static std::uint64_t first_ask();
  struct Waiting {
    std::string id, node;
    Reply reply;
    net::TimerId timer = 0;
  };
  // Not from 1: late answers to this node's former self must match nothing that is asked now.
  std::uint64_t next_ = first_ask();
  std::map<std::uint64_t, Waiting> asks_;
};

}  // namespace seampass::jobs
