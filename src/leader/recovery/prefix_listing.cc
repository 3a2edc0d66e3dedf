#include "leader/recovery/prefix_listing.h"

#include <utility>

namespace seampass::leader {

PrefixListing::PrefixListing(const LeaderContext& context, state::Client& state, std::string prefix,
                             Hooks hooks)
    : context_(context), state_(state), prefix_(std::move(prefix)), hooks_(std::move(hooks)) {}

void PrefixListing::request_page(const std::string& after_key, PagePosition position) {
  state_.list(
      prefix_, after_key,
      context_.term.callbacks().wrap([this, after_key, position](const state::ListResult& page) {
        on_page_answered(after_key, position, page);
      }));
}

void PrefixListing::on_page_answered(const std::string& after_key, PagePosition position,
                                     const state::ListResult& page) {
  if (page.outcome != state::Outcome::ok) {
    context_.runtime.after(net::ms(context_.settings.heartbeat_interval_s / 10),
                           context_.term.callbacks().wrap(
                               [this, after_key, position] { request_page(after_key, position); }));
    return;
  }
  hooks_.on_page(page, position);
  if (page.has_more && !page.items.empty())
    return request_page(page.items.back().key, PagePosition::later);
  hooks_.on_complete();
}

}  // namespace seampass::leader
