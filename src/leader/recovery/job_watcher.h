// How the leader learns of open jobs: it lists them when its term begins, then watches for those
// that are accepted later. News from the node that accepted a job comes sooner than the watch.
//
// Owns the revisions up to which jobs were listed and watched. Called on the loop's thread, between
// the term's start and its end.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "leader/leader_context.h"
#include "leader/recovery/prefix_listing.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

class JobWatcher {
 public:
  struct Hooks {
    // An open job, which may be known already.
    std::function<void(const std::string& id, const wire::Json& record, state::Version version)>
        found_open;
    // All open jobs are listed, for the first time in the term.
    std::function<void()> listed;
  };

  JobWatcher(const LeaderContext& context, state::Client& state, Hooks hooks);

  void end_term() { first_listed_.reset(); }
  // Lists the open jobs; `listed` follows.
  void list() { listing_.start(); }
  // From then on, jobs come by the watch.
  void watch();
  // News that a job was accepted, from this node or another.
  void on_job_accepted(const std::string& id, const wire::Json& record, state::Version version);

  // The revision as of which open jobs were first listed in this term; 0: not yet.
  [[nodiscard]] state::Version first_listed() const { return first_listed_.value_or(0); }

 private:
  void on_page(const state::ListResult& page, PrefixListing::PagePosition position);
  void on_listed();
  void on_events(const state::WatchResult& result);

  LeaderContext context_;
  state::Client& state_;
  Hooks hooks_;
  PrefixListing listing_;
  std::optional<state::Version> first_listed_;
  state::Version watched_ = 0;  // events up to this revision have come
};

}  // namespace seampass::leader
