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
// The status line and headers of a response are usually shorter than this many bytes. response_text
// reserves them in advance to avoid reallocation.
constexpr std::size_t kTypicalHeadBytes = 128;
// The server reserves 1/16 of max_connections for new connections, and 1/8 if the response sets
// may_close. While fewer connections than the reserve are free, a worker's connection is closed
// together with its answer.
constexpr std::size_t kReserveDivisor = 16;
constexpr std::size_t kReserveDivisorIfMayClose = 8;
// A connection that has not sent any byte can be evicted after 1/8 of
// ServerLimits::request_timeout.
constexpr Ms kFirstByteDivisor = 8;

std::string response_text(const Response& response, bool keep_alive) {
  std::string text;
  text.reserve(kTypicalHeadBytes + response.body.size());
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
  bool in_request = false;       // a part of a request has been received, but not all of it
  bool awaiting_answer = false;  // the request is complete and not yet answered
  bool keep_alive = true, closing = false, body_too_large = false;
  bool from_worker = false;
  IdleList idle_list = none;
  std::list<Connection*>::iterator idle_position;  // in idle_[idle_list], unless that is none
  // When the connection was accepted, the current request began, or the last answer was given,
  // whichever is latest.
  Ms state_since = 0;
  std::string pipelined;  // bytes received after a complete request

  void on_read(ssize_t size, const char* bytes);
  void close() {
    if (closing) return;
    closing = true;
    owner->set_idle_list(this, none);
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
      connection_of(parser)->body_too_large = true;
      return 1;
    }
    connection_of(parser)->request.body.append(at, size);
    return 0;
  }
  static int on_headers(http_parser* parser) {
    if (parser->content_length != ULLONG_MAX && parser->content_length > kMaxBody) {
      connection_of(parser)->body_too_large = true;
      return -1;
    }
    return 0;
  }
  static int on_complete(http_parser* parser) {
    Connection* connection = connection_of(parser);
    connection->request.method = http_method_str(static_cast<http_method>(parser->method));
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    connection->awaiting_answer = true;
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

  static void parse(Connection* connection, const char* data, std::size_t size) {
    HttpServer* server = connection->owner;
    if (!connection->in_request) {
      connection->in_request = true;
      connection->state_since = server->loop_.now();
      server->set_idle_list(connection, HttpServer::none);
    }
    const http_parser_settings callbacks = settings();
    const std::size_t consumed = http_parser_execute(&connection->parser, &callbacks, data, size);
    const std::uint64_t id = connection->id;
    if (connection->awaiting_answer) {
      if (consumed < size) connection->pipelined.assign(data + consumed, size - consumed);
      connection->in_request = false;
      connection->from_worker = connection->request.path == server->limits_.worker_path;
      server->handler_(connection->request,
                       [server, id](const Response& response) { server->answer(id, response); });
      return;
    }
    if (HTTP_PARSER_ERRNO(&connection->parser) == HPE_OK) return;
    connection->keep_alive = false;
    connection->awaiting_answer = true;
    server->answer(id,
                   connection->body_too_large
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
  loop_.after(limits_.request_timeout / 2, [this] { close_timed_out(); });
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
  connection->id = next_id_++;
  connection->state_since = loop_.now();
  uv_tcp_init(loop_.raw(), &connection->tcp);
  connection->tcp.data = connection;
  http_parser_init(&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  connections_[connection->id] = connection;
  set_idle_list(connection, unused);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                reinterpret_cast<uv_stream_t*>(&connection->tcp)) != 0)
    return connection->close();
  // If the new connection exceeds max_connections, the server evicts an idle connection. If none
  // can be evicted, the server closes the new connection at once, and the load balancer or the
  // worker tries another node.
  if (connections_.size() > limits_.max_connections && !evict_idle()) return connection->close();
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

// A negative size means that the client closed the connection or that reading failed.
void HttpServer::Connection::on_read(ssize_t size, const char* bytes) {
  if (size < 0) return close();
  if (size == 0) return;
  const auto count = static_cast<std::size_t>(size);
  if (!awaiting_answer) return ServerParser::parse(this, bytes, count);
  // Our clients do not pipeline requests. Bytes that arrive before the answer are stored up to
  // kMaxBody; a client that sends more loses its connection, which bounds the memory it can occupy.
  if (pipelined.size() + count > kMaxBody) return close();
  pipelined.append(bytes, count);
}

void HttpServer::set_idle_list(Connection* connection, IdleList list) {
  if (connection->idle_list != none) idle_[connection->idle_list].erase(connection->idle_position);
  connection->idle_list = list;
  if (list != none) connection->idle_position = idle_[list].insert(idle_[list].end(), connection);
}

bool HttpServer::evict_idle() {
  for (const IdleList list : {user, worker}) {
    if (idle_[list].empty()) continue;
    idle_[list].front()->close();
    return true;
  }
  // A client that has just connected is about to send its request, so an unused connection is
  // evicted only if it is older than 1/8 of ServerLimits::request_timeout. The newest connection is
  // the one that needs the free place, so it is never evicted here.
  Connection* oldest = idle_[unused].front();
  if (oldest->id + 1 == next_id_ ||
      loop_.now() - oldest->state_since < limits_.request_timeout / kFirstByteDivisor)
    return false;
  oldest->close();
  return true;
}

// The free connections in the reserve let workers that have no connection connect and send their
// heartbeats. A worker whose connection is closed because of this check opens a new one for its
// next heartbeat.
bool HttpServer::near_limit(const Response& response) const {
  const std::size_t max_connections = limits_.max_connections;
  const std::size_t reserve =
      max_connections / (response.may_close ? kReserveDivisorIfMayClose : kReserveDivisor);
  return connections_.size() > max_connections - reserve;
}

void HttpServer::answer(std::uint64_t id, const Response& response) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection* connection = it->second;
  if (!connection->awaiting_answer) return;
  if (connection->from_worker && near_limit(response)) connection->keep_alive = false;
  if (!write(*connection, response)) return connection->close();
  if (connection->keep_alive) await_next_request(connection);
}

bool HttpServer::write(Connection& connection, const Response& response) {
  struct Write {
    uv_write_t request;
    std::string data;
    HttpServer* server;
    std::uint64_t connection_id;
    bool keep_alive;
  };
  auto pending = std::make_unique<Write>(Write{{},
                                               response_text(response, connection.keep_alive),
                                               this,
                                               connection.id,
                                               connection.keep_alive});
  pending->request.data = pending.get();
  const uv_buf_t bytes =
      uv_buf_init(pending->data.data(), static_cast<unsigned>(pending->data.size()));
  const int error =
      uv_write(&pending->request, reinterpret_cast<uv_stream_t*>(&connection.tcp), &bytes, 1,
               [](uv_write_t* request, int status) {
                 const std::unique_ptr<Write> written(static_cast<Write*>(request->data));
                 const auto& connections = written->server->connections_;
                 const auto found = connections.find(written->connection_id);
                 if (found != connections.end() && (status != 0 || !written->keep_alive))
                   found->second->close();
               });
  if (error == 0) (void)pending.release();  // the write callback above now owns it
  return error == 0;
}

void HttpServer::await_next_request(Connection* connection) {
  connection->awaiting_answer = false;
  connection->request = Request{};
  connection->state_since = loop_.now();
  set_idle_list(connection, connection->from_worker ? worker : user);
  http_parser_init(&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  if (connection->pipelined.empty()) return;
  const std::string pipelined = std::exchange(connection->pipelined, {});
  ServerParser::parse(connection, pipelined.data(), pipelined.size());
}

void HttpServer::close_timed_out() {
  const Ms now = loop_.now();
  std::vector<Connection*> timed_out;
  for (const auto& [id, connection] : connections_) {
    if (connection->awaiting_answer && connection->keep_alive) continue;
    if (now - connection->state_since >
        (connection->in_request ? limits_.request_timeout : limits_.idle_timeout))
      timed_out.push_back(connection);
  }
  for (Connection* connection : timed_out) connection->close();
  loop_.after(limits_.request_timeout / 2, [this] { close_timed_out(); });
}

}  // namespace seampass::net
