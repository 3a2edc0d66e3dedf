// Interfaces through which actors use a clock, timers and HTTP. loop.h and http_client.h contain
// the real implementations, and tests inject simulated ones. All times are in milliseconds.
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
  // Returns the current time of a monotonic clock, read at the moment of the call. The process may
  // be suspended for seconds in the middle of a callback, and leases continue to run out in that
  // time. No rule may depend on a time that was read earlier: code calls now() again at each check
  // (docs/safety.md, "No cached time").
  virtual Ms now() const = 0;
  // Returns the time of day, in milliseconds since the Unix epoch.
  virtual Ms unix_time_ms() const = 0;
  // Runs `callback` once on the loop's thread, when `delay` has passed.
  virtual TimerId after(Ms delay, std::function<void()> callback) = 0;
  // Does nothing if the timer has already fired or been cancelled.
  virtual void cancel(TimerId id) = 0;
};

struct Reply {
  // `answered`: the server replied. `not_sent`: the request never left this process, so the server
  // never executes it. `unknown`: no complete reply arrived, and the server may have executed the
  // request or may still execute it later.
  enum class Result { answered, not_sent, unknown };
  Result result = Result::unknown;
  int status = 0;
  std::string body;

  bool is(int code) const { return result == Result::answered && status == code; }
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
  // Sends one request. `done` is called exactly once, possibly before call() returns. It is not
  // called if this object is destroyed first.
  virtual void call(Call call, ReplyFn done) = 0;
};

}  // namespace seampass::net
