#include "net/http_server.h"

#include <http_parser.h>

#include <climits>
#include <stdexcept>
#include <utility>

namespace seampass::net {

struct HttpServer::Conn {
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
  std::list<Conn*>::iterator place;  // in idle_[idle]
  Ms since = 0;
  std::string left;  // bytes after a complete request

  void close() {
    if (closing) return;
    closing = true;
    owner->park(this, busy);
    owner->conns_.erase(id);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp),
             [](uv_handle_t* h) { delete static_cast<Conn*>(h->data); });
  }
};

struct ServerParser {
  using Conn = HttpServer::Conn;
  static Conn* conn(http_parser* p) { return static_cast<Conn*>(p->data); }

  static int on_url(http_parser* p, const char* at, std::size_t n) {
    conn(p)->request.path.append(at, n);
    return conn(p)->request.path.size() > 2048 ? 1 : 0;
  }
  static int on_body(http_parser* p, const char* at, std::size_t n) {
    if (conn(p)->request.body.size() + n > kMaxBody) {
      conn(p)->too_big = true;
      return 1;
    }
    conn(p)->request.body.append(at, n);
    return 0;
  }
  static int on_headers(http_parser* p) {
    if (p->content_length != ULLONG_MAX && p->content_length > kMaxBody) {
      conn(p)->too_big = true;
      return -1;
    }
    return 0;
  }
  static int on_complete(http_parser* p) {
    Conn* c = conn(p);
    c->request.method = http_method_str(static_cast<http_method>(p->method));
    c->keep = http_should_keep_alive(p) != 0;
    c->waiting = true;
    http_parser_pause(p, 1);
    return 0;
  }

  static http_parser_settings settings() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = on_url;
    s.on_body = on_body;
    s.on_headers_complete = on_headers;
    s.on_message_complete = on_complete;
    return s;
  }

  static void feed(Conn* c, const char* data, std::size_t n) {
    if (!c->in_request) {
      c->in_request = true;
      c->since = c->owner->loop_.now();
      c->owner->park(c, HttpServer::busy);
    }
    const http_parser_settings s = settings();
    const std::size_t used = http_parser_execute(&c->parser, &s, data, n);
    HttpServer* server = c->owner;
    const std::uint64_t id = c->id;
    if (c->waiting) {
      if (used < n) c->left.assign(data + used, n - used);
      c->in_request = false;
      c->lasting = c->request.path == server->limits_.lasting_path;
      server->handler_(c->request, [server, id](const Response& r) { server->answer(id, r); });
      return;
    }
    if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
      c->keep = false;
      c->waiting = true;
      server->answer(id, c->too_big ? Response{413, R"({"error":"body too large"})"}
                                    : Response{400, R"({"error":"malformed request"})"});
    }
  }
};

HttpServer::HttpServer(Loop& loop, ServerLimits limits, Handler handler)
    : loop_(loop),
      limits_(std::move(limits)),
      handler_(std::move(handler)),
      listener_(new uv_tcp_t) {
  http_parser_set_max_header_size(16U << 10);
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
  loop_.after(limits_.slow / 2, [this] { sweep(); });
}

HttpServer::~HttpServer() {
  while (!conns_.empty()) conns_.begin()->second->close();
  uv_close(reinterpret_cast<uv_handle_t*>(listener_),
           [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
}

void HttpServer::listen(const std::string& endpoint) {
  const sockaddr_in addr = parse_endpoint(endpoint);
  int rc = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&addr), 0);
  if (rc == 0)
    rc = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), SOMAXCONN,
                   [](uv_stream_t* s, int status) {
                     if (status == 0) static_cast<HttpServer*>(s->data)->accept();
                   });
  if (rc != 0) throw std::runtime_error("cannot listen on " + endpoint + ": " + uv_strerror(rc));
}

void HttpServer::accept() {
  auto* c = new Conn{};
  c->owner = this;
  c->id = next_++;
  c->since = loop_.now();
  uv_tcp_init(loop_.raw(), &c->tcp);
  c->tcp.data = c;
  http_parser_init(&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  conns_[c->id] = c;
  park(c, fresh);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_), reinterpret_cast<uv_stream_t*>(&c->tcp)))
    return c->close();
  // A new one beyond the bound displaces one that asks for nothing; if all ask, it is closed at
  // once, and the load balancer, or the worker, tries another node.
  if (conns_.size() > limits_.max_connections && !make_room()) return c->close();
  uv_tcp_nodelay(&c->tcp, 1);
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&c->tcp),
      [](uv_handle_t* h, std::size_t, uv_buf_t* buf) {
        auto& shared = static_cast<Conn*>(h->data)->owner->buffer_;
        *buf = uv_buf_init(shared.data(), static_cast<unsigned>(shared.size()));
      },
      [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
        auto* conn = static_cast<Conn*>(s->data);
        if (n < 0) return conn->close();
        if (n == 0) return;
        if (!conn->waiting) return ServerParser::feed(conn, buf->base, static_cast<std::size_t>(n));
        // Nobody pipelines; a little is kept, a flood is not.
        if (conn->left.size() + static_cast<std::size_t>(n) > kMaxBody) return conn->close();
        conn->left.append(buf->base, static_cast<std::size_t>(n));
      });
}

void HttpServer::park(Conn* c, Idle where) {
  if (c->idle != busy) idle_[c->idle].erase(c->place);
  c->idle = where;
  if (where != busy) c->place = idle_[where].insert(idle_[where].end(), c);
}

bool HttpServer::make_room() {
  for (const Idle kind : {user, lasting}) {
    if (idle_[kind].empty()) continue;
    idle_[kind].front()->close();
    return true;
  }
  // Whoever has just connected is about to ask. (The newest is the one that room is made for.)
  Conn* oldest = idle_[fresh].front();
  if (oldest->id + 1 == next_ || loop_.now() - oldest->since < limits_.slow / 8) return false;
  oldest->close();
  return true;
}

// Room is left for those who come: a machine that has a connection closed comes back with its next
// report, as one in 16 (or, with nothing to do, in 8) of the bound must.
bool HttpServer::crowded(const Response& r) const {
  const std::size_t most = limits_.max_connections;
  return conns_.size() > most - most / (r.may_close ? 8 : 16);
}

void HttpServer::answer(std::uint64_t id, const Response& r) {
  const auto it = conns_.find(id);
  if (it == conns_.end()) return;
  Conn* c = it->second;
  if (!c->waiting) return;
  if (c->lasting && crowded(r)) c->keep = false;
  struct Write {
    uv_write_t req;
    std::string data;
    HttpServer* server;
    std::uint64_t conn;
    bool keep;
  };
  auto* w = new Write{{}, {}, this, id, c->keep};
  const char* reason = http_status_str(static_cast<http_status>(r.status));
  w->data.reserve(128 + r.body.size());
  w->data.append("HTTP/1.1 ").append(std::to_string(r.status)).append(" ").append(reason);
  w->data.append("\r\nContent-Type: application/json\r\nContent-Length: ");
  w->data.append(std::to_string(r.body.size())).append("\r\n");
  if (r.retry_after_s > 0)
    w->data.append("Retry-After: ").append(std::to_string(r.retry_after_s)).append("\r\n");
  if (!c->keep) w->data.append("Connection: close\r\n");
  w->data.append("\r\n").append(r.body);
  w->req.data = w;
  uv_buf_t buf = uv_buf_init(w->data.data(), static_cast<unsigned>(w->data.size()));
  const int rc = uv_write(
      &w->req, reinterpret_cast<uv_stream_t*>(&c->tcp), &buf, 1, [](uv_write_t* req, int status) {
        auto* write = static_cast<Write*>(req->data);
        const auto found = write->server->conns_.find(write->conn);
        if (found != write->server->conns_.end() && (status != 0 || !write->keep))
          found->second->close();
        delete write;
      });
  if (rc != 0) {
    delete w;
    return c->close();
  }
  if (!c->keep) return;
  c->waiting = false;
  c->request = Request{};
  c->since = loop_.now();
  park(c, c->lasting ? lasting : user);
  http_parser_init(&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  if (!c->left.empty()) {
    const std::string left = std::move(c->left);
    c->left.clear();
    ServerParser::feed(c, left.data(), left.size());
  }
}

void HttpServer::sweep() {
  const Ms now = loop_.now();
  std::vector<Conn*> late;
  for (const auto& [id, c] : conns_) {
    if (c->waiting && c->keep) continue;
    if (now - c->since > (c->in_request ? limits_.slow : limits_.idle)) late.push_back(c);
  }
  for (Conn* c : late) c->close();
  loop_.after(limits_.slow / 2, [this] { sweep(); });
}

}  // namespace seampass::net
