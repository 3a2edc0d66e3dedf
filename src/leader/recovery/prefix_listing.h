// Lists all that the store holds under a prefix, page by page, and asks again for what is not
// answered.
//
// Owns no state: a listing lives in the callbacks of its requests, and ends with the term.
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
    std::function<void()> complete;
  };

  PrefixListing(const LeaderContext& context, state::Client& state, std::string prefix,
                Hooks hooks);

  // Lists from the first key.
  void start() { list("", PagePosition::first); }

 private:
  // From the first key after this one.
  void list(const std::string& after, PagePosition position);
  void on_answer(const std::string& after, PagePosition position, const state::ListResult& page);

  LeaderContext context_;
  state::Client& state_;
  std::string prefix_;
  Hooks hooks_;
};

}  // namespace seampass::leader
