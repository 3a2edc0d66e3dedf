// What actors may use of the outside: a clock, timers and an HTTP caller. Tests inject simulated
// ones; the real ones are in loop.h and http_client.h.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace seampass::net {

using Ms = std::int64_t;
using TimerId = std::uint64_t;

inline Ms ms(double seconds) { return static_cast<Ms>(seconds * 1000.0); }

class Runtime {
 public:
  virtual ~Runtime() = default;
  // Steady, and exact at the moment of asking: a process may stand still for seconds in the middle
  // of handling something, and leases run on meanwhile. No rule may rest on a time read earlier.
  virtual Ms now() const = 0;
  virtual Ms wall() const = 0;  // time of day
  virtual TimerId after(Ms delay, std::function<void()> then) = 0;
  virtual void cancel(TimerId id) = 0;
};

struct Reply {
  // not_sent: certainly never executed. unknown: may have been executed, or may still be.
  enum class Fate { answered, not_sent, unknown };
  Fate fate = Fate::unknown;
  int status = 0;
  std::string body;

  bool is(int code) const { return fate == Fate::answered && status == code; }
};

using ReplyFn = std::function<void(const Reply&)>;

struct Call {
  std::string endpoint;  // ADDRESS:PORT
  const char* method = "GET";
  std::string path;
  std::string body;
  Ms timeout = 1000;
};

class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  virtual void call(Call call, ReplyFn done) = 0;
};

}  // namespace seampass::net
