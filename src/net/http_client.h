// HTTP/1.1 client over libuv. It reuses keep-alive connections and sends one request at a time on
// each of them.
//
// HttpClient owns its connections. The loop calls back into them, so the loop must outlive the
// client. Errors are reported in Reply::result, which says whether the server may have executed the
// request.
#pragma once

#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/loop.h"

namespace seampass::net {

class HttpClient : public HttpCaller {
 public:
  // `max_idle` is the maximum number of idle connections, over all endpoints together. When it is
  // exceeded, the connection that has been idle for the longest time is closed.
  HttpClient(Loop& loop, std::size_t max_idle);
  ~HttpClient() override;
  void call(Call call, ReplyFn done) override;

 private:
  struct Connection;
  // Removes an idle connection to `endpoint` from the idle lists and returns it. Returns null if
  // there is none.
  Connection* take_idle(const std::string& endpoint);
  // Starts to open a new connection to `endpoint`. Returns null if the endpoint cannot be parsed or
  // the connection attempt cannot be started.
  Connection* connect(const std::string& endpoint);
  // Makes a connection idle after a complete reply, so that a later request can reuse it.
  void release(Connection* connection);
  // Removes a connection that is being closed from all lists.
  void unregister(Connection* connection);

  Loop& loop_;
  std::size_t max_idle_;
  std::unordered_map<std::string, std::vector<Connection*>> idle_by_endpoint_;
  std::list<Connection*> idle_order_;  // the connection idle for the longest time comes first
  std::unordered_set<Connection*> connections_;
};

}  // namespace seampass::net
