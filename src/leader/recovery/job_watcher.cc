#include "leader/recovery/job_watcher.h"

#include <utility>

#include "leader/records/keys.h"

namespace seampass::leader {

using PagePosition = PrefixListing::PagePosition;

JobWatcher::JobWatcher(const LeaderContext& context, state::Client& state, Hooks hooks)
    : context_(context),
      state_(state),
      hooks_(std::move(hooks)),
      listing_(context, state, kOpenPrefix,
               {[this](const state::ListResult& page, PagePosition position) {
                  on_page(page, position);
                },
                [this] { on_listed(); }}) {}

void JobWatcher::on_page(const state::ListResult& page, PagePosition position) {
  // Jobs accepted from here on come by the watch.
  if (position == PagePosition::first) {
    watched_ = page.revision;
    if (!first_listed_) first_listed_ = page.revision;
  }
  for (const state::Item& item : page.items)
    if (const auto job = job_from_open_key(item.key))
      hooks_.found_open(*job, item.value, item.version);
}

void JobWatcher::on_listed() {
  // Listed once more after the watch had fallen behind.
  if (context_.term.recovered()) return watch();
  hooks_.listed();
}

void JobWatcher::watch() {
  state_.watch(kOpenPrefix, watched_, net::ms(context_.settings.lease_s),
               context_.term.callbacks().wrap(
                   [this](const state::WatchResult& result) { on_events(result); }));
}

void JobWatcher::on_events(const state::WatchResult& result) {
  // Too far behind: list again. Jobs known already are not touched.
  if (result.outcome == state::Outcome::missing) return list();
  if (result.outcome != state::Outcome::ok) {
    context_.runtime.after(net::ms(context_.settings.heartbeat_interval_s / 10),
                           context_.term.callbacks().wrap([this] { watch(); }));
    return;
  }
  watched_ = result.revision;
  for (const state::Event& event : result.events) {
    const auto job = job_from_open_key(event.key);
    if (job && event.value) hooks_.found_open(*job, *event.value, event.version);
  }
  watch();
}

// A job that was accepted before the listing is in it, or has ended under a former leader: news of
// it is a late copy, and would bring it back. (Without the news the watch tells of it.)
void JobWatcher::on_job_accepted(const std::string& id, const wire::Json& record,
                                 state::Version version) {
  if (first_listed_ && version > *first_listed_) hooks_.found_open(id, record, version);
}

}  // namespace seampass::leader
