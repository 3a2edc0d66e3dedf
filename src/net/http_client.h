// HTTP/1.1 caller over libuv with keep-alive connections, one request at a time on each.
#pragma once

#include <unordered_map>
#include <vector>

#include "net/loop.h"

namespace seampass::net {

class HttpClient : public HttpCaller {
 public:
  // max_idle: connections kept open for each endpoint while nothing is asked of it.
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
  std::vector<Conn*> all_;
};

}  // namespace seampass::net
