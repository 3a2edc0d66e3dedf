// Whether this leader is cut off from its workers, though not from the state service: each worker
// is then sent back to it by all other nodes until its lease is over, so that it should make way
// for another leader.
#pragma once

#include "config/settings.h"
#include "leader/fleet/fleet.h"
#include "net/runtime.h"

namespace seampass::leader {

class IsolationDetector {
 public:
  IsolationDetector(const net::Runtime& runtime, const config::Settings& settings,
                    const Fleet& fleet)
      : runtime_(runtime), settings_(settings), fleet_(fleet) {}

  void start_term(net::Ms began);
  // To be called at every tick. Reports isolation at the second tick in a row that finds it: after
  // a pause of this process everything looks silent until the sockets have been read.
  [[nodiscard]] bool check();

 private:
  [[nodiscard]] bool most_are_silent() const;

  const net::Runtime& runtime_;
  const config::Settings& settings_;
  const Fleet& fleet_;
  net::Ms last_check_at_ = 0;
  int isolated_checks_ = 0;  // in a row
};

}  // namespace seampass::leader
