#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace seampass::net {

namespace {
constexpr std::size_t kMaxResponse = 8U << 20;  // no honest answer is near this
// The least that is not due in the turn of the loop in which it is set.
constexpr Ms kNextTurn = 1;
constexpr std::size_t kReadBytes = 8192;
constexpr std::size_t kHeadBytes = 160;  // of a request, as a rule: reserved at once

std::string request_text(const Call& call) {
  std::string text;
  text.reserve(kHeadBytes + call.body.size());
  text.append(call.method).append(" ").append(call.path).append(" HTTP/1.1\r\nHost: ");
  text.append(call.endpoint).append("\r\n");
  if (!call.body.empty() || std::strcmp(call.method, "POST") == 0) {
    text.append("Content-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(call.body.size())).append("\r\n");
  }
  return text.append("\r\n").append(call.body);
}
}  // namespace

struct HttpClient::Connection {
  HttpClient* owner;
  std::string endpoint;
  uv_tcp_t tcp;
  uv_connect_t connect_request;
  uv_write_t write_request;
  http_parser parser;
  std::string request;  // until it is written
  std::string body;     // of the reply, as far as it has arrived
  ReplyFn done;
  TimerId timer = 0;
  bool connected = false, closing = false, writing = false;
  bool idle = false;
  std::list<Connection*>::iterator place;  // in idle_order_, while idle
  std::array<char, kReadBytes> buffer;

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }

  void start_request() {
    body.clear();
    http_parser_init(&parser, HTTP_RESPONSE);
    const uv_buf_t bytes = uv_buf_init(request.data(), static_cast<unsigned>(request.size()));
    write_request.data = this;
    writing = true;
    const int error =
        uv_write(&write_request, stream(), &bytes, 1, [](uv_write_t* written, int status) {
          auto* connection = static_cast<Connection*>(written->data);
          connection->writing = false;
          if (status != 0) connection->fail(Reply::Fate::unknown);
        });
    if (error != 0) {
      writing = false;
      fail(Reply::Fate::unknown);
    }
  }

  // The request's callback, of which this connection lets go together with its timeout.
  [[nodiscard]] ReplyFn end_request() {
    if (timer != 0) owner->loop_.cancel(timer);
    timer = 0;
    return std::exchange(done, nullptr);
  }

  void fail(Reply::Fate fate) {
    close();
    const ReplyFn reply_to = end_request();
    if (reply_to) reply_to(Reply{fate, 0, {}});
  }

  // Timers run before sockets are read. In a process that is behind, a turn of the loop takes a
  // good part of the timeout, and the answer is likely to be there, unread: it is overdue only if
  // the turn that begins now does not bring it either. (Without this every request of a busy leader
  // counts as unanswered, its connection is closed, and the next one takes two turns longer.)
  void wait_for_last_turn() {
    timer = owner->loop_.after(kNextTurn, [this] {
      timer = 0;
      // A connection attempt that is abandoned does not complete later, so nothing was sent.
      fail(connected ? Reply::Fate::unknown : Reply::Fate::not_sent);
    });
  }

  void close() {
    if (closing) return;
    closing = true;
    owner->forget(this);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* handle) { delete static_cast<Connection*>(handle->data); });
  }

  void on_connected(int status);
  void start_reading();
  void on_read(ssize_t size, const char* bytes);
  void on_reply(bool keep_alive);
};

namespace {

// What one run of the parser over new bytes gives.
struct Parsed {
  std::string body;
  bool complete = false;
};

int on_body(http_parser* parser, const char* at, std::size_t size) {
  auto* parsed = static_cast<Parsed*>(parser->data);
  if (parsed->body.size() + size > kMaxResponse) return 1;
  parsed->body.append(at, size);
  return 0;
}

int on_complete(http_parser* parser) {
  static_cast<Parsed*>(parser->data)->complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

http_parser_settings response_settings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_body = on_body;
  settings.on_message_complete = on_complete;
  return settings;
}

}  // namespace

void HttpClient::Connection::on_connected(int status) {
  if (closing) return;
  if (status != 0) return fail(Reply::Fate::not_sent);
  connected = true;
  start_reading();
  start_request();
}

void HttpClient::Connection::start_reading() {
  uv_read_start(
      stream(),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* bytes) {
        auto& buffer = static_cast<Connection*>(handle->data)->buffer;
        *bytes = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* bytes) {
        if (size != 0) static_cast<Connection*>(stream->data)->on_read(size, bytes->base);
      });
}

// A size below 0 is the connection's end or an error.
void HttpClient::Connection::on_read(ssize_t size, const char* bytes) {
  if (!done) return close();  // bytes or an end on an idle connection
  Parsed parsed;
  parsed.body = std::move(body);
  parser.data = &parsed;
  const http_parser_settings callbacks = response_settings();
  if (size < 0) {
    http_parser_execute(&parser, &callbacks, nullptr, 0);
  } else {
    http_parser_execute(&parser, &callbacks, bytes, static_cast<std::size_t>(size));
  }
  body = std::move(parsed.body);
  if (parsed.complete) return on_reply(size > 0 && http_should_keep_alive(&parser) != 0);
  if (size < 0 || HTTP_PARSER_ERRNO(&parser) != HPE_OK) fail(Reply::Fate::unknown);
}

void HttpClient::Connection::on_reply(bool keep_alive) {
  const Reply reply{Reply::Fate::answered, static_cast<int>(parser.status_code), std::move(body)};
  const ReplyFn reply_to = end_request();
  // Before the callback, which may send the next request on this connection.
  if (keep_alive)
    owner->release(this);
  else
    close();
  reply_to(reply);
}

HttpClient::HttpClient(Loop& loop, std::size_t max_idle) : loop_(loop), max_idle_(max_idle) {}

HttpClient::~HttpClient() {
  while (!all_.empty()) {
    Connection* connection = *all_.begin();
    connection->done = nullptr;
    if (connection->timer != 0) loop_.cancel(connection->timer);
    connection->close();
  }
}

void HttpClient::release(Connection* connection) {
  if (connection->writing) return connection->close();
  idle_[connection->endpoint].push_back(connection);
  connection->place = idle_order_.insert(idle_order_.end(), connection);
  connection->idle = true;
  if (idle_order_.size() > max_idle_) idle_order_.front()->close();
}

void HttpClient::forget(Connection* connection) {
  all_.erase(connection);
  if (!connection->idle) return;
  idle_order_.erase(connection->place);
  const auto it = idle_.find(connection->endpoint);
  std::erase(it->second, connection);
  if (it->second.empty()) idle_.erase(it);
}

HttpClient::Connection* HttpClient::take_idle(const std::string& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return nullptr;
  Connection* connection = it->second.back();
  it->second.pop_back();
  if (it->second.empty()) idle_.erase(it);
  idle_order_.erase(connection->place);
  connection->idle = false;
  return connection;
}

HttpClient::Connection* HttpClient::connect(const std::string& endpoint) {
  sockaddr_in address{};
  try {
    address = parse_endpoint(endpoint);
  } catch (const std::invalid_argument&) {
    return nullptr;
  }
  auto* connection = new Connection{};
  connection->owner = this;
  connection->endpoint = endpoint;
  uv_tcp_init(loop_.raw(), &connection->tcp);
  uv_tcp_nodelay(&connection->tcp, 1);
  connection->tcp.data = connection;
  all_.insert(connection);
  connection->connect_request.data = connection;
  const int error = uv_tcp_connect(&connection->connect_request, &connection->tcp,
                                   reinterpret_cast<const sockaddr*>(&address),
                                   [](uv_connect_t* request, int status) {
                                     static_cast<Connection*>(request->data)->on_connected(status);
                                   });
  if (error == 0) return connection;
  connection->close();
  return nullptr;
}

void HttpClient::call(Call call, ReplyFn done) {
  Connection* connection = take_idle(call.endpoint);
  if (connection == nullptr) connection = connect(call.endpoint);
  if (connection == nullptr) return done(Reply{Reply::Fate::not_sent, 0, {}});
  connection->request = request_text(call);
  connection->done = std::move(done);
  connection->timer = loop_.after(call.timeout, [connection] { connection->wait_for_last_turn(); });
  if (connection->connected) connection->start_request();
}

}  // namespace seampass::net
