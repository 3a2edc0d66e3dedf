// HTTP/1.1 caller over libuv with keep-alive connections, one request at a time on each.
//
// Owns its connections, on which the loop calls back. A reply's fate says whether the request may
// have been executed.
#pragma once

#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/loop.h"

namespace seampass::net {

class HttpClient : public HttpCaller {
 public:
  // `max_idle`: connections kept open while nothing is asked of them; beyond it the one that has
  // been idle for longest is closed.
  HttpClient(Loop& loop, std::size_t max_idle);
  ~HttpClient() override;
  void call(Call call, ReplyFn done) override;

 private:
  struct Connection;
  // An idle connection to this endpoint, which is idle no more; none if there is none.
  Connection* take_idle(const std::string& endpoint);
  // A new one; none if it can't even be attempted.
  Connection* connect(const std::string& endpoint);
  // A reply has come: the connection waits for the next request.
  void release(Connection* connection);
  void forget(Connection* connection);

  Loop& loop_;
  std::size_t max_idle_;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;
  std::list<Connection*> idle_order_;  // longest idle first
  std::unordered_set<Connection*> all_;
};

}  // namespace seampass::net
