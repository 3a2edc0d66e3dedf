#include "net/http_server.h"

#include <http_parser.h>

#include <climits>
#include <memory>
#include <stdexcept>
#include <utility>

namespace seampass::net {

namespace {

constexpr std::size_t kMaxPath = 2048;
constexpr std::uint32_t kMaxHeaderBytes = 16U << 10;
constexpr std::size_t kHeadBytes = 128;  // of a response, as a rule: reserved at once
// Parts of the bound on connections, as divisors, that are left for those who come: beyond the rest
// a lasting connection is closed with the answer.
constexpr std::size_t kRoomPart = 16;
constexpr std::size_t kRoomPartOfIdle = 8;  // where the one who asked has little use for it
// The part of the time for a slow request that a new connection has for its first byte.
constexpr Ms kFirstBytePart = 8;

std::string response_text(const Response& response, bool keep_alive) {
  std::string text;
  text.reserve(kHeadBytes + response.body.size());
  text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  text.append(http_status_str(static_cast<http_status>(response.status)));
  text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
  text.append(std::to_string(response.body.size())).append("\r\n");
  if (response.retry_after_s > 0)
    text.append("Retry-After: ").append(std::to_string(response.retry_after_s)).append("\r\n");
  if (!keep_alive) text.append("Connection: close\r\n");
  return text.append("\r\n").append(response.body);
}

}  // namespace

struct HttpServer::Connection {
  HttpServer* owner = nullptr;
  std::uint64_t id = 0;
  uv_tcp_t tcp;
  http_parser parser;
  Request request;
  bool in_request = false;  // bytes of a request have come, it is not complete
  bool waiting = false;     // a complete request is being answered
  bool keep = true, closing = false, too_big = false;
  bool lasting = false;
  Idle idle = busy;
  std::list<Connection*>::iterator place;  // in idle_[idle]
  Ms since = 0;
  std::string left;  // bytes after a complete request

  void on_read(ssize_t size, const char* bytes);
  void close() {
    if (closing) return;
    closing = true;
    owner->park(this, busy);
    owner->connections_.erase(id);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* handle) { delete static_cast<Connection*>(handle->data); });
  }
};

struct ServerParser {
  using Connection = HttpServer::Connection;
  static Connection* connection_of(http_parser* parser) {
    return static_cast<Connection*>(parser->data);
  }

  static int on_url(http_parser* parser, const char* at, std::size_t size) {
    connection_of(parser)->request.path.append(at, size);
    return connection_of(parser)->request.path.size() > kMaxPath ? 1 : 0;
  }
  static int on_body(http_parser* parser, const char* at, std::size_t size) {
    if (connection_of(parser)->request.body.size() + size > kMaxBody) {
      connection_of(parser)->too_big = true;
      return 1;
    }
    connection_of(parser)->request.body.append(at, size);
    return 0;
  }
  static int on_headers(http_parser* parser) {
    if (parser->content_length != ULLONG_MAX && parser->content_length > kMaxBody) {
      connection_of(parser)->too_big = true;
      return -1;
    }
    return 0;
  }
  static int on_complete(http_parser* parser) {
    Connection* connection = connection_of(parser);
    connection->request.method = http_method_str(static_cast<http_method>(parser->method));
    connection->keep = http_should_keep_alive(parser) != 0;
    connection->waiting = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static http_parser_settings settings() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = on_url;
    settings.on_body = on_body;
    settings.on_headers_complete = on_headers;
    settings.on_message_complete = on_complete;
    return settings;
  }

  static void feed(Connection* connection, const char* data, std::size_t size) {
    HttpServer* server = connection->owner;
    if (!connection->in_request) {
      connection->in_request = true;
      connection->since = server->loop_.now();
      server->park(connection, HttpServer::busy);
    }
    const http_parser_settings callbacks = settings();
    const std::size_t used = http_parser_execute(&connection->parser, &callbacks, data, size);
    const std::uint64_t id = connection->id;
    if (connection->waiting) {
      if (used < size) connection->left.assign(data + used, size - used);
      connection->in_request = false;
      connection->lasting = connection->request.path == server->limits_.lasting_path;
      server->handler_(connection->request,
                       [server, id](const Response& response) { server->answer(id, response); });
      return;
    }
    if (HTTP_PARSER_ERRNO(&connection->parser) == HPE_OK) return;
    connection->keep = false;
    connection->waiting = true;
    server->answer(id,
                   connection->too_big
                       ? Response{HTTP_STATUS_PAYLOAD_TOO_LARGE, R"({"error":"body too large"})"}
                       : Response{HTTP_STATUS_BAD_REQUEST, R"({"error":"malformed request"})"});
  }
};

HttpServer::HttpServer(Loop& loop, ServerLimits limits, Handler handler)
    : loop_(loop),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      listener_(new uv_tcp_t) {
  http_parser_set_max_header_size(kMaxHeaderBytes);
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
  loop_.after(limits_.slow / 2, [this] { sweep(); });
}

HttpServer::~HttpServer() {
  while (!connections_.empty()) connections_.begin()->second->close();
  uv_close(reinterpret_cast<uv_handle_t*>(listener_),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

void HttpServer::listen(const std::string& endpoint) {
  const sockaddr_in address = parse_endpoint(endpoint);
  int error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0);
  if (error == 0)
    error = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), SOMAXCONN,
                      [](uv_stream_t* listener, int status) {
                        if (status == 0) static_cast<HttpServer*>(listener->data)->accept();
                      });
  if (error != 0)
    throw std::runtime_error("cannot listen on " + endpoint + ": " + uv_strerror(error));
}

void HttpServer::accept() {
  auto* connection = new Connection{};
  connection->owner = this;
  connection->id = next_++;
  connection->since = loop_.now();
  uv_tcp_init(loop_.raw(), &connection->tcp);
  connection->tcp.data = connection;
  http_parser_init(&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  connections_[connection->id] = connection;
  park(connection, fresh);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                reinterpret_cast<uv_stream_t*>(&connection->tcp)) != 0)
    return connection->close();
  // A new one beyond the bound displaces one without a request; if all have one, it is closed at
  // once, and the load balancer, or the worker, tries another node.
  if (connections_.size() > limits_.max_connections && !make_room()) return connection->close();
  uv_tcp_nodelay(&connection->tcp, 1);
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&connection->tcp),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* bytes) {
        auto& shared = static_cast<Connection*>(handle->data)->owner->buffer_;
        *bytes = uv_buf_init(shared.data(), static_cast<unsigned>(shared.size()));
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* bytes) {
        static_cast<Connection*>(stream->data)->on_read(size, bytes->base);
      });
}

// A size below 0 is the connection's end or an error.
void HttpServer::Connection::on_read(ssize_t size, const char* bytes) {
  if (size < 0) return close();
  if (size == 0) return;
  const auto count = static_cast<std::size_t>(size);
  if (!waiting) return ServerParser::feed(this, bytes, count);
  // Nobody pipelines; a little is stored, a flood is not.
  if (left.size() + count > kMaxBody) return close();
  left.append(bytes, count);
}

void HttpServer::park(Connection* connection, Idle where) {
  if (connection->idle != busy) idle_[connection->idle].erase(connection->place);
  connection->idle = where;
  if (where != busy) connection->place = idle_[where].insert(idle_[where].end(), connection);
}

bool HttpServer::make_room() {
  for (const Idle kind : {user, lasting}) {
    if (idle_[kind].empty()) continue;
    idle_[kind].front()->close();
    return true;
  }
  // A client that has just connected is about to send its request. (The newest is the one that room
  // is made for.)
  Connection* oldest = idle_[fresh].front();
  if (oldest->id + 1 == next_ || loop_.now() - oldest->since < limits_.slow / kFirstBytePart)
    return false;
  oldest->close();
  return true;
}

// Room is left for those who come: a machine whose connection was closed comes back with its next
// heartbeat.
bool HttpServer::crowded(const Response& response) const {
  const std::size_t most = limits_.max_connections;
  const std::size_t room = most / (response.may_close ? kRoomPartOfIdle : kRoomPart);
  return connections_.size() > most - room;
}

void HttpServer::answer(std::uint64_t id, const Response& response) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection* connection = it->second;
  if (!connection->waiting) return;
  if (connection->lasting && crowded(response)) connection->keep = false;
  if (!write(*connection, response)) return connection->close();
  if (connection->keep) await_next_request(connection);
}

bool HttpServer::write(Connection& connection, const Response& response) {
  struct Write {
    uv_write_t request;
    std::string data;
    HttpServer* server;
    std::uint64_t connection;
    bool keep;
  };
  auto pending = std::make_unique<Write>(
      Write{{}, response_text(response, connection.keep), this, connection.id, connection.keep});
  pending->request.data = pending.get();
  const uv_buf_t bytes =
      uv_buf_init(pending->data.data(), static_cast<unsigned>(pending->data.size()));
  const int error =
      uv_write(&pending->request, reinterpret_cast<uv_stream_t*>(&connection.tcp), &bytes, 1,
               [](uv_write_t* request, int status) {
                 const std::unique_ptr<Write> written(static_cast<Write*>(request->data));
                 const auto& connections = written->server->connections_;
                 const auto found = connections.find(written->connection);
                 if (found != connections.end() && (status != 0 || !written->keep))
                   found->second->close();
               });
  if (error == 0) (void)pending.release();  // the callback above owns it now
  return error == 0;
}

void HttpServer::await_next_request(Connection* connection) {
  connection->waiting = false;
  connection->request = Request{};
  connection->since = loop_.now();
  park(connection, connection->lasting ? lasting : user);
  http_parser_init(&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  if (connection->left.empty()) return;
  const std::string left = std::exchange(connection->left, {});
  ServerParser::feed(connection, left.data(), left.size());
}

void HttpServer::sweep() {
  const Ms now = loop_.now();
  std::vector<Connection*> late;
  for (const auto& [id, connection] : connections_) {
    if (connection->waiting && connection->keep) continue;
    if (now - connection->since > (connection->in_request ? limits_.slow : limits_.idle))
      late.push_back(connection);
  }
  for (Connection* connection : late) connection->close();
  loop_.after(limits_.slow / 2, [this] { sweep(); });
}

}  // namespace seampass::net
