// Commands sent straight to workers.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::workers {

enum class Sent {
  executed,  // 200
  rejected,  // 409: nothing executed, and a copy would be rejected as well
  not_sent,
  unknown,  // may be executed late, while token and session still match
};

class Client {
 public:
  Client(net::HttpCaller& http, net::Ms timeout) : http_(http), timeout_(timeout) {}

  void send(const std::string& addr, std::uint64_t token, std::uint64_t session,
            const std::vector<wire::Command>& commands,
            std::function<void(Sent, std::optional<wire::WorkerReport>)> done);

 private:
  net::HttpCaller& http_;
  net::Ms timeout_;
};

}  // namespace seampass::workers
