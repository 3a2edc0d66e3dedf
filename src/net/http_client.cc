#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <cstring>

namespace seampass::net {

namespace {
constexpr std::size_t kMaxResponse = 8U << 20;  // no honest answer is near this
// The least that is not due in the turn of the loop in which it is set.
constexpr Ms kNextTurn = 1;
}  // namespace

struct HttpClient::Conn {
  HttpClient* owner;
  std::string endpoint;
  uv_tcp_t tcp;
  uv_connect_t connect_req;
  uv_write_t write_req;
  http_parser parser;
  std::string out, body;
  ReplyFn done;
  TimerId timer = 0;
  bool connected = false, closing = false, writing = false;
  bool idle = false;
  std::list<Conn*>::iterator place;  // in idle_order_, while idle
  char buffer[8192];

  void start_request() {
    body.clear();
    http_parser_init(&parser, HTTP_RESPONSE);
    uv_buf_t buf = uv_buf_init(out.data(), static_cast<unsigned>(out.size()));
    write_req.data = this;
    writing = true;
    const int rc = uv_write(&write_req, reinterpret_cast<uv_stream_t*>(&tcp), &buf, 1,
                            [](uv_write_t* req, int status) {
                              auto* c = static_cast<Conn*>(req->data);
                              c->writing = false;
                              if (status != 0) c->fail(Reply::Fate::unknown);
                            });
    if (rc != 0) {
      writing = false;
      fail(Reply::Fate::unknown);
    }
  }

  void finish(const Reply& reply) {
    if (timer != 0) owner->loop_.cancel(timer);
    timer = 0;
    const ReplyFn f = std::move(done);
    done = nullptr;
    if (f) f(reply);
  }

  void fail(Reply::Fate fate) {
    close();
    finish(Reply{fate, 0, {}});
  }

  // Timers run before sockets are read. In a process that is behind, a turn of the loop takes a
  // good part of the timeout, and the answer is likely to be there, unread: it is overdue only if
  // the turn that begins now does not bring it either. (Without this every request of a busy leader
  // counts as on_command_unanswered, its connection is closed, and the next one takes two turns
  // longer.)
  void last_turn() {
    timer = owner->loop_.after(kNextTurn, [this] {
      timer = 0;
      // A connection attempt that is given up does not complete later, so nothing was sent.
      fail(connected ? Reply::Fate::unknown : Reply::Fate::not_sent);
    });
  }

  void close() {
    if (closing) return;
    closing = true;
    owner->forget(this);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* h) { delete static_cast<Conn*>(h->data); });
  }

  void start_reading();
};

namespace {

// What one run of the parser over new bytes gives.
struct Parsed {
  std::string body;
  bool complete = false;
};

int on_body(http_parser* p, const char* at, std::size_t n) {
  auto* parsed = static_cast<Parsed*>(p->data);
  if (parsed->body.size() + n > kMaxResponse) return 1;
  parsed->body.append(at, n);
  return 0;
}

int on_complete(http_parser* p) {
  static_cast<Parsed*>(p->data)->complete = true;
  http_parser_pause(p, 1);
  return 0;
}

http_parser_settings response_settings() {
  http_parser_settings v;
  http_parser_settings_init(&v);
  v.on_body = on_body;
  v.on_message_complete = on_complete;
  return v;
}

}  // namespace

void HttpClient::Conn::start_reading() {
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&tcp),
      [](uv_handle_t* h, std::size_t, uv_buf_t* buf) {
        auto* c = static_cast<Conn*>(h->data);
        *buf = uv_buf_init(c->buffer, sizeof c->buffer);
      },
      [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
        auto* c = static_cast<Conn*>(s->data);
        if (n == 0) return;
        if (!c->done) return c->close();  // bytes or an end on an idle connection
        Parsed parsed;
        parsed.body = std::move(c->body);
        c->parser.data = &parsed;
        const http_parser_settings callbacks = response_settings();
        if (n < 0) {
          http_parser_execute(&c->parser, &callbacks, nullptr, 0);
        } else {
          http_parser_execute(&c->parser, &callbacks, buf->base, static_cast<std::size_t>(n));
        }
        c->body = std::move(parsed.body);
        if (parsed.complete) {
          const bool keep = n > 0 && http_should_keep_alive(&c->parser) != 0;
          Reply reply{Reply::Fate::answered, static_cast<int>(c->parser.status_code),
                      std::move(c->body)};
          const ReplyFn f = std::move(c->done);
          c->done = nullptr;
          if (c->timer != 0) c->owner->loop_.cancel(c->timer);
          c->timer = 0;
          if (keep)
            c->owner->release(c);
          else
            c->close();
          f(reply);
          return;
        }
        const auto err = HTTP_PARSER_ERRNO(&c->parser);
        if (n < 0 || err != HPE_OK) c->fail(Reply::Fate::unknown);
      });
}

HttpClient::HttpClient(Loop& loop, std::size_t max_idle) : loop_(loop), max_idle_(max_idle) {}

HttpClient::~HttpClient() {
  while (!all_.empty()) {
    Conn* conn = *all_.begin();
    conn->done = nullptr;
    if (conn->timer != 0) loop_.cancel(conn->timer);
    conn->close();
  }
}

void HttpClient::release(Conn* conn) {
  if (conn->writing) return conn->close();
  idle_[conn->endpoint].push_back(conn);
  conn->place = idle_order_.insert(idle_order_.end(), conn);
  conn->idle = true;
  if (idle_order_.size() > max_idle_) idle_order_.front()->close();
}

void HttpClient::forget(Conn* conn) {
  all_.erase(conn);
  if (!conn->idle) return;
  idle_order_.erase(conn->place);
  const auto it = idle_.find(conn->endpoint);
  std::erase(it->second, conn);
  if (it->second.empty()) idle_.erase(it);
}

void HttpClient::call(Call call, ReplyFn done) {
  std::string out;
  out.reserve(160 + call.body.size());
  out.append(call.method).append(" ").append(call.path).append(" HTTP/1.1\r\nHost: ");
  out.append(call.endpoint).append("\r\n");
  if (!call.body.empty() || std::strcmp(call.method, "POST") == 0) {
    out.append("Content-Type: application/json\r\nContent-Length: ");
    out.append(std::to_string(call.body.size())).append("\r\n");
  }
  out.append("\r\n").append(call.body);

  Conn* conn = nullptr;
  const auto it = idle_.find(call.endpoint);
  if (it != idle_.end()) {
    conn = it->second.back();
    it->second.pop_back();
    if (it->second.empty()) idle_.erase(it);
    idle_order_.erase(conn->place);
    conn->idle = false;
  } else {
    sockaddr_in addr{};
    try {
      addr = parse_endpoint(call.endpoint);
    } catch (const std::invalid_argument&) {
      return done(Reply{Reply::Fate::not_sent, 0, {}});
    }
    conn = new Conn{};
    conn->owner = this;
    conn->endpoint = call.endpoint;
    uv_tcp_init(loop_.raw(), &conn->tcp);
    uv_tcp_nodelay(&conn->tcp, 1);
    conn->tcp.data = conn;
    all_.insert(conn);
    conn->connect_req.data = conn;
    const int rc =
        uv_tcp_connect(&conn->connect_req, &conn->tcp, reinterpret_cast<sockaddr*>(&addr),
                       [](uv_connect_t* req, int status) {
                         auto* c = static_cast<Conn*>(req->data);
                         if (c->closing) return;
                         if (status != 0) return c->fail(Reply::Fate::not_sent);
                         c->connected = true;
                         c->start_reading();
                         c->start_request();
                       });
    if (rc != 0) {
      conn->close();
      return done(Reply{Reply::Fate::not_sent, 0, {}});
    }
  }
  conn->out = std::move(out);
  conn->done = std::move(done);
  conn->timer = loop_.after(call.timeout, [conn] { conn->last_turn(); });
  if (conn->connected) conn->start_request();
}

}  // namespace seampass::net
