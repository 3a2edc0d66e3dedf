// HTTP/1.1 server over libuv: bounded connections, bodies and waits.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
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
};

// Answers exactly one request; safe to call after the connection is gone.
using Answer = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Answer)>;

inline constexpr std::size_t kMaxBody = 64u << 10;

struct ServerLimits {
  std::size_t max_connections = 1000;
  // A connection that last asked for this path is never closed to make room for another.
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
  std::size_t connections() const { return conns_.size(); }

 private:
  struct Conn;
  friend struct ServerParser;
  void accept();
  void sweep();
  void answer(std::uint64_t conn, Response response);

  // Closes the connection that has asked for nothing for longest; false if there is none.
  bool make_room();

  Loop& loop_;
  ServerLimits limits_;
  Handler handler_;
  uv_tcp_t* listener_;
  std::uint64_t next_ = 1;
  std::unordered_map<std::uint64_t, Conn*> conns_;
  // Bytes are consumed before the next read, so that all connections share one buffer.
  std::array<char, 32u << 10> buffer_;
};

}  // namespace seampass::net
