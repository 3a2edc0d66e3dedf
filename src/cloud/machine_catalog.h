// MachineCatalog owns the cloud's machine types and refreshes them periodically. If a refresh
// fails, for example because the cloud is down, it continues to use the last types that it read.
#pragma once

#include <map>
#include <string>

#include "cloud/client.h"

namespace seampass::cloud {

class MachineCatalog {
 public:
  // `refresh_interval` is the time from a successful request to the next one. The catalog is read
  // again because spot prices change. `retry_interval` is the time from a failed request to the
  // next.
  MachineCatalog(net::Runtime& runtime, Client& cloud, net::Ms refresh_interval,
                 net::Ms retry_interval)
      : runtime_(runtime),
        cloud_(cloud),
        refresh_interval_(refresh_interval),
        retry_interval_(retry_interval) {}

  // Requests the catalog now and schedules every later request. Call it once.
  void start() {
    cloud_.catalog([this](bool succeeded, std::vector<wire::MachineType> types) {
      if (succeeded) {
        types_.clear();
        for (auto& type : types) {
          std::string name = type.name;
          types_[std::move(name)] = std::move(type);
        }
      }
      runtime_.after(succeeded ? refresh_interval_ : retry_interval_, [this] { start(); });
    });
  }

  // Returns true once the catalog has been read successfully.
  bool loaded() const { return !types_.empty(); }
  const std::map<std::string, wire::MachineType>& types() const { return types_; }
  // Returns null if the catalog has no machine type of this name.
  const wire::MachineType* find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }

 private:
  net::Runtime& runtime_;
  Client& cloud_;
  net::Ms refresh_interval_, retry_interval_;
  std::map<std::string, wire::MachineType> types_;
};

}  // namespace seampass::cloud
