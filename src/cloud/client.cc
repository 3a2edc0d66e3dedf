#include "cloud/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace seampass::cloud {

using net::Call;
using net::Ms;
using net::Reply;

Client::Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint, double rps,
               Ms timeout)
    : runtime_(runtime),
      http_(http),
      endpoint_(std::move(endpoint)),
      rps_(rps),
      tokens_(rps),
      timeout_(timeout),
      last_refill_(runtime.now()) {}

void Client::catalog(std::function<void(bool, std::vector<wire::MachineType>)> done) {
  enqueue(Call{endpoint_, "GET", "/catalog", "", timeout_},
          [done = std::move(done)](const Reply& reply) {
            if (!reply.is(200)) return done(false, {});
            try {
              auto types = wire::catalog_from(reply.body);
              const bool has_types = !types.empty();
              done(has_types, std::move(types));
            } catch (const wire::Malformed& e) {
              spdlog::error("cannot read the machine catalog of the cloud: {}", e.what());
              done(false, {});
            }
          });
}

void Client::rent(const wire::Rental& rental,
                  std::function<void(RentalResult, std::vector<std::string>)> done) {
  enqueue(Call{endpoint_, "POST", "/rentals", wire::rental_body(rental), timeout_},
          [done = std::move(done)](const Reply& reply) {
            if (reply.is(200)) {
              try {
                return done(RentalResult::ok, wire::rented_from(reply.body));
              } catch (const wire::Malformed&) {
                return done(RentalResult::failed, {});
              }
            }
            const bool no_capacity =
                reply.is(503) && reply.body.find("no capacity") != std::string::npos;
            done(no_capacity ? RentalResult::no_capacity : RentalResult::failed, {});
          });
}

void Client::remove(const std::vector<std::string>& machines, std::function<void(bool)> done) {
  enqueue(Call{endpoint_, "POST", "/rentals/delete", wire::delete_body(machines), timeout_},
          [done = std::move(done)](const Reply& reply) { done(reply.is(200)); });
}

void Client::machines(const std::string& after, std::function<void(bool, wire::MachinePage)> done) {
  std::string path = "/rentals?most=500";
  if (!after.empty()) path += "&since=" + after;
  enqueue(Call{endpoint_, "GET", std::move(path), "", timeout_},
          [done = std::move(done)](const Reply& reply) {
            if (!reply.is(200)) return done(false, {});
            try {
              done(true, wire::machines_from(reply.body));
            } catch (const wire::Malformed&) {
              done(false, {});
            }
          });
}

void Client::enqueue(Call call, net::ReplyFn done) {
  queue_.emplace_back(std::move(call), std::move(done));
  send_queued();
}

void Client::send_queued() {
  const Ms now = runtime_.now();
  tokens_ = std::min(rps_, tokens_ + static_cast<double>(now - last_refill_) / 1000.0 * rps_);
  last_refill_ = now;
  while (!queue_.empty() && tokens_ >= 1) {
    tokens_ -= 1;
    auto [call, done] = std::move(queue_.front());
    queue_.pop_front();
    http_.call(std::move(call), std::move(done));
  }
  if (!queue_.empty() && timer_ == 0)
    timer_ = runtime_.after(net::ms(1 / rps_), [this] {
      timer_ = 0;
      send_queued();
    });
}

}  // namespace seampass::cloud
