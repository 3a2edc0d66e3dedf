#include "leader/recovery/prefix_listing.h"

#include <utility>

namespace seampass::leader {

PrefixListing::PrefixListing(const LeaderContext& context, state::Client& state, std::string prefix,
                             Hooks hooks)
    : context_(context), state_(state), prefix_(std::move(prefix)), hooks_(std::move(hooks)) {}

void PrefixListing::list(const std::string& after, PagePosition position) {
  state_.list(
      prefix_, after,
      context_.term.callbacks().wrap([this, after, position](const state::ListResult& page) {
        on_answer(after, position, page);
      }));
}

void PrefixListing::on_answer(const std::string& after, PagePosition position,
                              const state::ListResult& page) {
  if (page.outcome != state::Outcome::ok) {
    context_.runtime.after(
        net::ms(context_.settings.heartbeat_interval_s / 10),
        context_.term.callbacks().wrap([this, after, position] { list(after, position); }));
    return;
  }
  hooks_.on_page(page, position);
  if (page.more && !page.items.empty()) return list(page.items.back().key, PagePosition::later);
  hooks_.complete();
}

}  // namespace seampass::leader
