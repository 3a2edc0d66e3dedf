// A small blocking HTTP/1.1 server and client for the stand-ins: one thread a connection, loopback
// only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <functional>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>

namespace standin {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

inline Time now() { return Clock::now(); }
inline double seconds_since(Time t) { return std::chrono::duration<double>(now() - t).count(); }
inline Clock::duration secs(double s) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(s));
}
inline void sleep_s(double s) { std::this_thread::sleep_for(secs(s)); }

struct Request {
  std::string method, path, body;
};
struct Response {
  int status = 200;
  std::string body = "{}";
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Binds a listening socket to a free port of 127.0.0.1.
inline int listen_on_free_port(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 256) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("no free port");
  *port = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, for a process that binds it itself. It is below those that the system gives
// to outgoing connections, so that none of these takes it meanwhile.
inline int free_port() {
  static std::mt19937 random(std::random_device{}());
  for (;;) {
    const int port = std::uniform_int_distribution<>(10000, 31000)(random);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (is_free) return port;
  }
}

inline bool send_all(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::size_t content_length(const std::string& head) {
  std::string lower = head;
  for (char& c : lower) c = static_cast<char>(tolower(c));
  const auto at = lower.find("content-length:");
  return at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
}

// Reads until `buffer` holds one whole message. Returns the length of its head, or 0 at the end of
// the connection or the deadline.
inline std::size_t read_message(int fd, std::string& buffer, Time deadline) {
  for (;;) {
    const auto end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t head = end + 4;
      if (buffer.size() >= head + content_length(buffer.substr(0, head))) return head;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now());
    pollfd p{fd, POLLIN, 0};
    if (left.count() <= 0 || poll(&p, 1, static_cast<int>(left.count())) <= 0) return 0;
    char chunk[16384];
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return 0;
    buffer.append(chunk, static_cast<std::size_t>(n));
  }
}

// Answers requests on a port of its own. A handler that returns nothing drops the connection
// without an answer.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = listen_on_free_port(&port_);
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }

 private:
  void accept_all() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }
  void serve(int fd) {
    std::string buffer;
    for (;;) {
      const std::size_t head = read_message(fd, buffer, now() + std::chrono::hours(1));
      if (head == 0) return;
      const std::string header = buffer.substr(0, head);
      const std::size_t body = content_length(header);
      Request request;
      const auto space = header.find(' ');
      request.method = header.substr(0, space);
      request.path = header.substr(space + 1, header.find(' ', space + 1) - space - 1);
      request.body = buffer.substr(head, body);
      buffer.erase(0, head + body);
      const std::optional<Response> response = handler_(request);
      if (!response) return;
      if (!send_all(fd, "HTTP/1.1 " + std::to_string(response->status) +
                            " X\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(response->body.size()) + "\r\n\r\n" + response->body))
        return;
    }
  }
  Handler handler_;
  int fd_ = -1, port_ = 0;
};

// One request on a new connection. No value: refused, closed or no answer in time.
inline std::optional<Response> call(int port, const std::string& method, const std::string& path,
                                    const std::string& body, double timeout_s) {
  const Time deadline = now() + secs(timeout_s);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  timeval limit{static_cast<time_t>(timeout_s) + 1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  std::optional<Response> result;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
                       "Content-Length: " + std::to_string(body.size()) +
                       "\r\nConnection: close\r\n\r\n" + body)) {
    std::string buffer;
    const std::size_t head = read_message(fd, buffer, deadline);
    if (head != 0)
      result = Response{std::atoi(buffer.c_str() + buffer.find(' ') + 1),
                        buffer.substr(head, content_length(buffer.substr(0, head)))};
  }
  close(fd);
  return result;
}

// A connection that stays open, as a user's does. Opened again if it was closed.
class KeptConnection {
 public:
  explicit KeptConnection(int port) : port_(port) {}
  ~KeptConnection() { drop(); }
  std::optional<Response> get(const std::string& path, double timeout_s) {
    if (fd_ < 0) {
      fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      ++opened;
      const sockaddr_in address = loopback(port_);
      if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return drop();
    }
    std::string buffer;
    if (!send_all(fd_, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")) return drop();
    const std::size_t head = read_message(fd_, buffer, now() + secs(timeout_s));
    if (head == 0) return drop();
    return Response{std::atoi(buffer.c_str() + buffer.find(' ') + 1), buffer.substr(head)};
  }
  int opened = 0;  // how often it was opened

 private:
  std::optional<Response> drop() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    return std::nullopt;
  }
  int port_, fd_ = -1;
};

}  // namespace standin
