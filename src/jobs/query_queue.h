// QueryQueue decides in which order users' status queries read the state service, and bounds how
// long a query waits for its turn.
//
// The state service grants status queries a limited rate (state::Client::admit_query). A query that
// is not admitted at once waits, but only if it can have a turn in time; any other is refused at
// once. The job that a query first asked about the longest ago has the next turn, and a job keeps
// its place after its queries were refused. So every job that users keep asking about has its turn
// in the end, although they may ask about more jobs than the rate allows.
//
// Each node has one queue, used on the node's event loop. Times are in milliseconds of the steady
// clock.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "net/runtime.h"
#include "state/client.h"

namespace seampass::jobs {

class QueryQueue {
 public:
  // The end of a query's wait: its reads may be sent now, or it gets no turn in time.
  enum class Turn { granted, refused };
  using OnTurn = std::function<void(Turn)>;

  // `max_wait`: the longest time that a query waits.
  QueryQueue(net::Runtime& runtime, state::Client& state, net::Ms max_wait);

  // Waits for a turn of this job, which must not wait already. Calls `on_turn` exactly once,
  // possibly before it returns.
  void add(const std::string& job, OnTurn on_turn);
  // Returns true if a query may send its reads without waiting. Never true while others wait.
  [[nodiscard]] bool admit_at_once();

 private:
  struct Place {
    net::Ms first_asked_at = 0;
    net::Ms last_asked_at = 0;
    OnTurn on_turn;  // empty while the job only keeps its place
  };
  using Places = std::map<std::string, Place>;

  // Returns the job's place, which may be a new one; the end iterator if there are too many.
  [[nodiscard]] Places::iterator place_of(const std::string& job);
  // Ends the wait of this job, which keeps its place, and returns its callback.
  [[nodiscard]] OnTurn end_wait(const std::string& job);
  void schedule_turns();
  void grant_turns();
  void refuse_overdue_queries();
  void forget_abandoned_places();

  net::Runtime& runtime_;
  state::Client& state_;
  net::Ms max_wait_;
  std::size_t max_waiting_jobs_;
  Places places_;  // by job
  // The jobs that wait, in the order of their turns: by Place::first_asked_at.
  std::set<std::pair<net::Ms, std::string>> waiting_jobs_;
  bool turns_scheduled_ = false;
};

}  // namespace seampass::jobs
