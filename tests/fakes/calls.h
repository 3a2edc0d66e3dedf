// Classifies requests in the simulated network by endpoint, path and body. Tests use these
// functions in the rules that drop, delay and repeat requests. The protocol's paths and field names
// are written here so that tests need not repeat them.
#pragma once

#include <string>

#include "net/runtime.h"

namespace seampass::fakes {

inline bool is_to_store(const net::Call& call) { return call.endpoint == "state:1"; }
inline bool is_transaction(const net::Call& call) { return call.path == "/txn"; }
inline bool is_lease_renewal(const net::Call& call) { return call.path.ends_with("/extend"); }
// Returns whether the call is a transaction that writes the final status of a job.
inline bool writes_final_status(const net::Call& call) {
  return is_transaction(call) && call.body.find("\"write\":\"ends/") != std::string::npos;
}

inline bool is_heartbeat(const net::Call& call) { return call.path == "/checkin"; }
// Returns whether the call carries commands from the leader to a worker.
inline bool is_command(const net::Call& call) { return call.path == "/commands"; }
inline bool is_start_command(const net::Call& call) {
  return is_command(call) && call.body.find("\"run\"") != std::string::npos;
}

inline bool is_to_node(const net::Call& call, const std::string& node) {
  return call.endpoint == node + ":8080";
}
inline bool is_to_machine(const net::Call& call, const std::string& machine) {
  return call.endpoint == machine + ":9000";
}
inline bool is_machine(const std::string& sender) { return sender.starts_with("m-"); }
inline bool is_node(const std::string& sender) { return sender.starts_with("n"); }

}  // namespace seampass::fakes
