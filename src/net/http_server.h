// HTTP/1.1 server over libuv. It limits the number of connections, the size of request bodies, and
// the time that a client may take to send a request or may stay idle.
//
// HttpServer owns its connections. The loop, which must outlive the server, calls back into them,
// and the server passes each complete request to its handler. It answers malformed and too large
// requests itself, with status 400 or 413.
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
  int retry_after_s = 0;  // value of the Retry-After header; 0 omits the header
  // Says that the client gains little from a connection that stays open. The flag has an effect
  // only on requests for ServerLimits::worker_path: when few free connections are left, the server
  // closes connections with this flag earlier than those without it.
  bool may_close = false;
};

// Answers one request. The call does nothing if the connection has been closed in the meantime.
using Answer = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Answer)>;

inline constexpr std::size_t kMaxBody = 64U << 10;  // bytes of a request's body

struct ServerLimits {
  std::size_t max_connections = 1000;
  // The path to which workers send heartbeats. A connection whose last request was for this path
  // counts as a worker's connection. While it is idle, it is evicted only if there is no idle user
  // connection. When the number of connections is near max_connections, it is closed together with
  // its answer, so that other workers find a free connection for their heartbeats.
  std::string worker_path;
  Ms idle_timeout = 60000;     // maximum time between two requests
  Ms request_timeout = 10000;  // maximum time from a request's first byte to its last
};

class HttpServer {
 public:
  HttpServer(Loop& loop, ServerLimits limits, Handler handler);
  ~HttpServer();
  // Throws std::runtime_error if the server cannot listen on the address, and std::invalid_argument
  // if `endpoint` is not of the form ADDRESS:PORT.
  void listen(const std::string& endpoint);
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  friend struct ServerParser;
  void accept();
  // Closes the connections that have been idle for longer than ServerLimits::idle_timeout or whose
  // request takes longer than ServerLimits::request_timeout. Schedules its next run.
  void close_timed_out();
  void answer(std::uint64_t id, const Response& response);
  // Starts to send the response. Returns false if the connection is broken.
  [[nodiscard]] bool write(Connection& connection, const Response& response);
  void await_next_request(Connection* connection);

  // The list of idle connections to which a connection belongs. `user` and `worker` say who sent
  // its last request, `unused` means that no byte of a request has arrived on it, and `none` means
  // that the server is receiving or answering a request on it. In each list the connection that has
  // been idle for the longest time comes first.
  enum IdleList { user, worker, unused, none };
  void set_idle_list(Connection* connection, IdleList list);
  // Closes one idle connection to make room for a new one. Returns false if none can be closed.
  [[nodiscard]] bool evict_idle();
  // Returns true if so few free connections are left that a worker's connection must be closed
  // together with this response.
  [[nodiscard]] bool near_limit(const Response& response) const;

  Loop& loop_;
  ServerLimits limits_;
  Handler handler_;
  uv_tcp_t* listener_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Connection*> connections_;
  std::array<std::list<Connection*>, 3> idle_;
  // All connections read into this one buffer, because the bytes of each read are consumed before
  // the next read.
  std::array<char, 32U << 10> buffer_;
};

}  // namespace seampass::net
