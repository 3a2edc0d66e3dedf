// HTTP/1.1 server over libuv: bounded connections, bodies and waits.
//
// Owns its connections, on which the loop calls back, and passes each complete request to its
// handler.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/loop.h"

namespace seampass::net {

struct Request {
  std::string method, path, body;
};

struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  // 0: no such header
  // The client has little use for the connection: where they are scarce it is closed first.
  bool may_close = false;
};

// Answers exactly one request; safe to call after the connection is gone.
using Answer = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Answer)>;

inline constexpr std::size_t kMaxBody = 64U << 10;

struct ServerLimits {
  std::size_t max_connections = 1000;
  // Connections that last asked for this path are kept longest. Near the bound they are closed with
  // the answer, so that there are never too few for all who report; idle, they go after all others.
  std::string lasting_path;
  Ms idle = 60000;  // between requests
  Ms slow = 10000;  // from a request's first byte to its last
};

class HttpServer {
 public:
  HttpServer(Loop& loop, ServerLimits limits, Handler handler);
  ~HttpServer();
  // Throws std::runtime_error when the address can't be had.
  void listen(const std::string& endpoint);
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  friend struct ServerParser;
  void accept();
  void sweep();
  void answer(std::uint64_t id, const Response& response);
  // False if the connection is broken.
  [[nodiscard]] bool write(Connection& connection, const Response& response);
  void await_next_request(Connection* connection);

  // Connections without a request on its way, longest idle first. A fresh one has not asked yet.
  enum Idle { user, lasting, fresh, busy };
  void park(Connection* connection, Idle where);
  // Closes one of them for a newcomer; false if there is none.
  [[nodiscard]] bool make_room();
  // So near the bound that a lasting connection is closed with this answer.
  [[nodiscard]] bool crowded(const Response& response) const;

  Loop& loop_;
  ServerLimits limits_;
  Handler handler_;
  uv_tcp_t* listener_;
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  std::array<std::list<Connection*>, 3> idle_;
  // Bytes are consumed before the next read, so that all connections share one buffer.
  std::array<char, 32U << 10> buffer_;
};

}  // namespace seampass::net
