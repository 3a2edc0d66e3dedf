// The actor that speaks to the cloud, within its rate. Malformed answers count as none.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::cloud {

enum class Rented { ok, no_capacity, trouble };

class Client {
 public:
  Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint, double rps,
         net::Ms timeout);

  // Each `done` gets false, or nothing listed, when there was no good answer.
  void catalog(std::function<void(bool, std::vector<wire::MachineType>)> done);
  void rent(const wire::Rental& rental, std::function<void(Rented, std::vector<std::string>)> done);
  void remove(const std::vector<std::string>& machines, std::function<void(bool)> done);
  void machines(const std::string& after, std::function<void(bool, wire::MachinePage)> done);

 private:
  void submit(net::Call call, net::ReplyFn done);
  void pump();

  net::Runtime& runtime_;
  net::HttpCaller& http_;
  std::string endpoint_;
  double rps_, tokens_;
  net::Ms timeout_, refilled_ = 0;
  std::deque<std::pair<net::Call, net::ReplyFn>> queue_;
  net::TimerId timer_ = 0;
};

}  // namespace seampass::cloud
