#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace seampass::net {

namespace {
constexpr std::size_t kMaxResponse = 8U << 20;  // far above the size of any correct reply
// The shortest delay with which a timer expires in the next loop iteration, not in the current one.
constexpr Ms kNextIteration = 1;
constexpr std::size_t kReadBufferBytes = 8192;
// The request line and headers are usually shorter than this many bytes. request_text reserves them
// in advance to avoid reallocation.
constexpr std::size_t kTypicalHeadBytes = 160;

std::string request_text(const Call& call) {
  std::string text;
  text.reserve(kTypicalHeadBytes + call.body.size());
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
  std::string request;  // must stay unchanged until it is written
  std::string body;     // the part of the reply's body that has arrived
  ReplyFn done;
  TimerId timer = 0;
  bool connected = false, closing = false, writing = false;
  bool idle = false;
  std::list<Connection*>::iterator idle_position;  // in idle_order_; valid only while idle
  std::array<char, kReadBufferBytes> buffer;

  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }

  void send_request() {
    body.clear();
    http_parser_init(&parser, HTTP_RESPONSE);
    const uv_buf_t bytes = uv_buf_init(request.data(), static_cast<unsigned>(request.size()));
    write_request.data = this;
    writing = true;
    const int error =
        uv_write(&write_request, stream(), &bytes, 1, [](uv_write_t* written, int status) {
          auto* connection = static_cast<Connection*>(written->data);
          connection->writing = false;
          if (status != 0) connection->fail(Reply::Result::unknown);
        });
    if (error != 0) {
      writing = false;
      fail(Reply::Result::unknown);
    }
  }

  // Cancels the request's timeout and returns its callback, which this connection no longer holds.
  [[nodiscard]] ReplyFn end_request() {
    if (timer != 0) owner->loop_.cancel(timer);
    timer = 0;
    return std::exchange(done, nullptr);
  }

  void fail(Reply::Result result) {
    close();
    const ReplyFn callback = end_request();
    if (callback) callback(Reply{result, 0, {}});
  }

  // Called when the request's timeout expires. Fails the request after one more loop
  // iteration, unless that iteration reads the reply. libuv runs timers before it reads sockets,
  // and in an overloaded process one loop iteration can take a large part of the timeout, so the
  // reply has often arrived but has not been read. Without this delay every request of an
  // overloaded leader would time out, its connection would be closed, and the next request would
  // need two more loop iterations to open a new one.
  void fail_after_next_iteration() {
    timer = owner->loop_.after(kNextIteration, [this] {
      timer = 0;
      // fail() closes the socket. A connection attempt that is closed cannot complete later, so a
      // request on a connection that is not yet open was never sent.
      fail(connected ? Reply::Result::unknown : Reply::Result::not_sent);
    });
  }

  void close() {
    if (closing) return;
    closing = true;
    owner->unregister(this);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* handle) { delete static_cast<Connection*>(handle->data); });
  }

  void on_connected(int status);
  void start_reading();
  void on_read(ssize_t size, const char* bytes);
  void on_reply(bool keep_alive);
};

namespace {

// What the parser has read of the reply after one call with new bytes.
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
  if (status != 0) return fail(Reply::Result::not_sent);
  connected = true;
  start_reading();
  send_request();
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

// A negative size means that the server closed the connection or that reading failed.
void HttpClient::Connection::on_read(ssize_t size, const char* bytes) {
  if (!done) return close();  // the server sent bytes or closed while idle
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
  if (size < 0 || HTTP_PARSER_ERRNO(&parser) != HPE_OK) fail(Reply::Result::unknown);
}

void HttpClient::Connection::on_reply(bool keep_alive) {
  const Reply reply{Reply::Result::answered, static_cast<int>(parser.status_code), std::move(body)};
  const ReplyFn callback = end_request();
  // The connection is released before the callback runs, so that the callback can send its next
  // request on it.
  if (keep_alive)
    owner->release(this);
  else
    close();
  callback(reply);
}

HttpClient::HttpClient(Loop& loop, std::size_t max_idle) : loop_(loop), max_idle_(max_idle) {}

HttpClient::~HttpClient() {
  while (!connections_.empty()) {
    Connection* connection = *connections_.begin();
    connection->done = nullptr;
    if (connection->timer != 0) loop_.cancel(connection->timer);
    connection->close();
  }
}

void HttpClient::release(Connection* connection) {
  if (connection->writing) return connection->close();
  idle_by_endpoint_[connection->endpoint].push_back(connection);
  connection->idle_position = idle_order_.insert(idle_order_.end(), connection);
  connection->idle = true;
  if (idle_order_.size() > max_idle_) idle_order_.front()->close();
}

void HttpClient::unregister(Connection* connection) {
  connections_.erase(connection);
  if (!connection->idle) return;
  idle_order_.erase(connection->idle_position);
  const auto it = idle_by_endpoint_.find(connection->endpoint);
  std::erase(it->second, connection);
  if (it->second.empty()) idle_by_endpoint_.erase(it);
}

HttpClient::Connection* HttpClient::take_idle(const std::string& endpoint) {
  const auto it = idle_by_endpoint_.find(endpoint);
  if (it == idle_by_endpoint_.end()) return nullptr;
  Connection* connection = it->second.back();
  it->second.pop_back();
  if (it->second.empty()) idle_by_endpoint_.erase(it);
  idle_order_.erase(connection->idle_position);
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
  connections_.insert(connection);
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
  if (connection == nullptr) return done(Reply{Reply::Result::not_sent, 0, {}});
  connection->request = request_text(call);
  connection->done = std::move(done);
  connection->timer =
      loop_.after(call.timeout, [connection] { connection->fail_after_next_iteration(); });
  if (connection->connected) connection->send_request();
}

}  // namespace seampass::net
