#include "sapphirestream/edge/route_table.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/base/id.h"

namespace sapphirestream {

bool Route::Allows(ServiceNumber service) const noexcept {
  return std::find(allowed.begin(), allowed.end(), service) != allowed.end();
}

ServiceNumber Route::Pick(std::uint64_t flow_hash) const noexcept {
  std::uint64_t total = 0;
  for (const Share& share : shares) total += share.weight;
  if (total == 0) return shares.front().service;
  std::uint64_t rest = flow_hash % total;
  for (const Share& share : shares) {
    if (rest < share.weight) return share.service;
    rest -= share.weight;
  }
  return shares.back().service;
}

bool RouteTable::Apply(const RouteConfig& config) {
  if (config.version <= version_) return false;
  std::unordered_map<V4Endpoint, Route, V4EndpointHash> next;
  next.reserve(config.routes.size());
  for (const RouteSpec& spec : config.routes) {
    Route route;
    route.kind = spec.kind;
    route.objective = spec.objective;
    if (const Route* before = Find(spec.address)) {
      route.allowed = before->allowed;
    }
    for (const WeightedService& service : spec.services) {
      const ServiceNumber number = Number(service.name);
      services_[Value(number)].version = config.version;
      route.shares.push_back({number, service.weight});
      if (!route.Allows(number)) route.allowed.push_back(number);
    }
    next.insert_or_assign(spec.address, std::move(route));
  }
  routes_ = std::move(next);
  for (const ServiceSpec& service : config.services) {
    Service& configured = services_[Value(Number(service.name))];
    configured.spec = service;
    configured.version = config.version;
  }
  version_ = config.version;
  return true;
}

const Route* RouteTable::Find(V4Endpoint address) const noexcept {
  const auto it = routes_.find(address);
  return it == routes_.end() ? nullptr : &it->second;
}

ServiceNumber RouteTable::Number(std::string_view service) {
  const auto next = static_cast<std::uint32_t>(services_.size());
  const auto [it, is_new] =
      numbers_.try_emplace(std::string(service), ServiceNumber{next});
  if (is_new) services_.push_back({{.name = std::string(service)}, 0});
  return it->second;
}

bool RouteTable::IsConfigured(ServiceNumber service) const noexcept {
  return version_ != 0 && services_[Value(service)].version == version_;
}

const ServiceSpec& RouteTable::SpecOf(ServiceNumber service) const noexcept {
  return services_[Value(service)].spec;
}

}  // namespace sapphirestream
