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
                [this] { on_listing_complete(); }}) {}

void JobWatcher::on_page(const state::ListResult& page, PagePosition position) {
  // The watch will report jobs that were accepted after this revision.
  if (position == PagePosition::first) {
    watched_revision_ = page.revision;
    if (!first_listing_revision_) first_listing_revision_ = page.revision;
  }
  for (const state::Item& item : page.items)
    if (const auto job = job_from_open_key(item.key))
      hooks_.on_open_job(*job, item.value, item.version);
}

void JobWatcher::on_listing_complete() {
  // A listing after recovery is made only because the watch had fallen too far behind. The watch
  // starts again from the new revision.
  if (context_.term.recovered()) return watch();
  hooks_.on_listed();
}

void JobWatcher::watch() {
  state_.watch(kOpenPrefix, watched_revision_, net::ms(context_.settings.lease_s),
               context_.term.callbacks().wrap(
                   [this](const state::WatchResult& result) { on_events(result); }));
}

void JobWatcher::on_events(const state::WatchResult& result) {
  // The watch is too far behind: the store no longer has the events. The open jobs are listed
  // again; jobs that are already known stay unchanged.
  if (result.outcome == state::Outcome::missing) return list();
  if (result.outcome != state::Outcome::ok) {
    context_.runtime.after(net::ms(context_.settings.heartbeat_interval_s / 10),
                           context_.term.callbacks().wrap([this] { watch(); }));
    return;
  }
  watched_revision_ = result.revision;
  for (const state::Event& event : result.events) {
    const auto job = job_from_open_key(event.key);
    if (job && event.value) hooks_.on_open_job(*job, *event.value, event.version);
  }
  watch();
}

// Ignores the message if the job was accepted before the first listing. Such a job either is in
// that listing or has ended under a former leader. If it has ended, the message is a late copy and
// would make the leader run the job again. Ignoring a message loses no job, because the watch
// reports each job that was accepted after the listing.
void JobWatcher::on_job_accepted(const std::string& id, const wire::Json& record,
                                 state::Version version) {
  if (first_listing_revision_ && version > *first_listing_revision_)
    hooks_.on_open_job(id, record, version);
}

}  // namespace seampass::leader
