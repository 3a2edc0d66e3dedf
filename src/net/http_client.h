// HTTP/1.1 caller over libuv with keep-alive connections, one request at a time on each.
#pragma once

#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/loop.h"

namespace seampass::net {

class HttpClient : public HttpCaller {
 public:
  // max_idle: connections kept open while nothing is asked of them; beyond it the one that has been
  // idle for longest is closed.
  HttpClient(Loop& loop, std::size_t max_idle);
  ~HttpClient() override;
  void call(Call call, ReplyFn done) override;

 private:
  struct Conn;
  void release(Conn* conn);
  void forget(Conn* conn);

  Loop& loop_;
  std::size_t max_idle_;
  std::unordered_map<std::string, std::vector<Conn*>> idle_;
  std::list<Conn*> idle_order_;  // longest idle first
  std::unordered_set<Conn*> all_;
};

}  // namespace seampass::net
