// The machine types as last published; kept, since the cloud can be down.
#pragma once

#include <map>
#include <string>

#include "cloud/client.h"

namespace seampass::cloud {

class MachineCatalog {
 public:
  // refresh: between two good answers (spot prices move); retry: after a bad one.
  MachineCatalog(net::Runtime& runtime, Client& cloud, net::Ms refresh, net::Ms retry)
      : runtime_(runtime), cloud_(cloud), refresh_(refresh), retry_(retry) {}

  void start() {
    cloud_.catalog([this](bool good, std::vector<wire::MachineType> types) {
      if (good) {
        types_.clear();
        for (auto& t : types) {
          std::string name = t.name;
          types_[std::move(name)] = std::move(t);
        }
      }
      runtime_.after(good ? refresh_ : retry_, [this] { start(); });
    });
  }

  bool known() const { return !types_.empty(); }
  const std::map<std::string, wire::MachineType>& types() const { return types_; }
  const wire::MachineType* find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }

 private:
  net::Runtime& runtime_;
  Client& cloud_;
  net::Ms refresh_, retry_;
  std::map<std::string, wire::MachineType> types_;
};

}  // namespace seampass::cloud
