// Finds the open jobs for the leader. JobWatcher lists all open jobs when a term starts, then
// watches the store for jobs that are accepted later. The node that accepts a job also sends a
// message, which arrives sooner than the event of the watch.
//
// JobWatcher owns the revisions up to which jobs were listed and watched. LeaderTerm and Recovery
// call it on the loop's thread, between the start and the end of a term. Failed requests are
// retried and not reported.
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
    // Passes an open job, which the receiver may already know.
    std::function<void(const std::string& id, const wire::Json& record, state::Version version)>
        on_open_job;
    // Reports that all open jobs have been listed for the first time in the term.
    std::function<void()> on_listed;
  };

  JobWatcher(const LeaderContext& context, state::Client& state, Hooks hooks);

  void end_term() { first_listing_revision_.reset(); }
  // Lists the open jobs. `on_listed` is called when the first listing of the term is complete.
  void list() { listing_.start(); }
  // Starts to watch for jobs that were accepted after the listing.
  void watch();
  // Handles the message, from this node or another, that a job was accepted.
  void on_job_accepted(const std::string& id, const wire::Json& record, state::Version version);

  // The revision of the first listing of open jobs in this term, or 0 before that listing.
  [[nodiscard]] state::Version first_listing_revision() const {
    return first_listing_revision_.value_or(0);
  }

 private:
  void on_page(const state::ListResult& page, PrefixListing::PagePosition position);
  void on_listing_complete();
  void on_events(const state::WatchResult& result);

  LeaderContext context_;
  state::Client& state_;
  Hooks hooks_;
  PrefixListing listing_;
  std::optional<state::Version> first_listing_revision_;
  state::Version watched_revision_ = 0;  // events up to this revision have been received
};

}  // namespace seampass::leader
