// Lists all keys and values that the store holds under a prefix, page by page. A request that fails
// is repeated until it succeeds or the term ends.
//
// PrefixListing owns no state that changes: the progress of a listing is kept in its request
// callbacks, which are dropped when the term ends. JobWatcher and Recovery call it on the loop's
// thread.
#pragma once

#include <functional>
#include <string>

#include "leader/leader_context.h"
#include "state/client.h"

namespace seampass::leader {

class PrefixListing {
 public:
  enum class PagePosition { first, later };
  struct Hooks {
    std::function<void(const state::ListResult& page, PagePosition position)> on_page;
    std::function<void()> on_complete;
  };

  PrefixListing(const LeaderContext& context, state::Client& state, std::string prefix,
                Hooks hooks);

  // Starts a listing with the first key of the prefix.
  void start() { request_page("", PagePosition::first); }

 private:
  // Requests the page that starts with the first key greater than `after_key`.
  void request_page(const std::string& after_key, PagePosition position);
  void on_page_answered(const std::string& after_key, PagePosition position,
                        const state::ListResult& page);

  LeaderContext context_;
  state::Client& state_;
  std::string prefix_;
  Hooks hooks_;
};

}  // namespace seampass::leader
