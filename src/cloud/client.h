// Client sends requests to the cloud's HTTP API, at a limited rate. Requests beyond the rate wait
// in a queue, first in, first out. A malformed answer is treated like a failed request.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::cloud {

// The outcome of rent(). `failed` stands for every failure other than a lack of capacity; the cloud
// may still have rented the machines.
enum class RentalResult { ok, no_capacity, failed };

class Client {
 public:
  Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint, double rps,
         net::Ms timeout);

  // Each method calls `done` when its request has succeeded or failed. After a failure `done`
  // receives false, or a result of rent() other than `ok`, and an empty list. An empty catalog is a
  // failure.
  void catalog(std::function<void(bool, std::vector<wire::MachineType>)> done);
  void rent(const wire::Rental& rental,
            std::function<void(RentalResult, std::vector<std::string>)> done);
  void remove(const std::vector<std::string>& machines, std::function<void(bool)> done);
  void machines(const std::string& after, std::function<void(bool, wire::MachinePage)> done);

 private:
  void enqueue(net::Call call, net::ReplyFn done);
  void send_queued();

  net::Runtime& runtime_;
  net::HttpCaller& http_;
  std::string endpoint_;
  double rps_, tokens_;  // token bucket: a request takes one token, rps_ tokens at most
  net::Ms timeout_, last_refill_ = 0;
  std::deque<std::pair<net::Call, net::ReplyFn>> queue_;
  net::TimerId timer_ = 0;
};

}  // namespace seampass::cloud
