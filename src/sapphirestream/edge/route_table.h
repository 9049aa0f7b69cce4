// Routes of the desired state: which services the flows to an address may go
// to.
#ifndef SAPPHIRESTREAM_EDGE_ROUTE_TABLE_H_
#define SAPPHIRESTREAM_EDGE_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// What a request of a route may suffer, and what carrying it costs.
enum class RequestKind : std::uint8_t {
  kIdempotent,  // may be repeated
  kOnce,        // must not run twice
  kUpload,      // must not run twice, and carries many bytes
};

struct WeightedService {
  std::string name;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// A route as configured.
struct RouteSpec {
  V4Endpoint address;
  RequestKind kind = RequestKind::kOnce;
  // Not empty; new flows are spread over it by weight.
  std::vector<WeightedService> services;

  bool operator==(const RouteSpec&) const = default;
};

struct ServiceSpec {
  std::string name;
  // Path of the targets' health check.
  std::string health_path;

  bool operator==(const ServiceSpec&) const = default;
};

struct RouteConfig {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
};

// A route with its services as numbers.
struct Route {
  struct Share {
    ServiceNumber service{};
    std::uint32_t weight = 1;
  };

  RequestKind kind = RequestKind::kOnce;
  // Where new flows go.
  std::vector<Share> shares;
  // Every service that a version seen here allowed.
  std::vector<ServiceNumber> allowed;

  [[nodiscard]] bool Allows(ServiceNumber service) const noexcept;
  // Picks a service by weight; equal hashes get the same one.
  [[nodiscard]] ServiceNumber Pick(std::uint64_t flow_hash) const noexcept;
};

class RouteTable {
 public:
  // Addresses of removed routes that are remembered.
  static constexpr std::size_t kMaxRemoved = 1024;

  // Replaces the routes. Returns false, and changes nothing, if the version is
  // not higher than the one in force.
  bool Apply(const RouteConfig& config);

  // Returns the route of an address, or null.
  [[nodiscard]] const Route* Find(V4Endpoint address) const noexcept;
  // Whether an earlier version had a route of this address and the one in force
  // has none.
  [[nodiscard]] bool WasRemoved(V4Endpoint address) const noexcept;
  // Returns the number of a service's name, new if it was unknown.
  [[nodiscard]] ServiceNumber Number(std::string_view service);
  [[nodiscard]] std::string_view NameOf(ServiceNumber service) const noexcept;
  // Empty if the configuration names none.
  [[nodiscard]] std::string_view HealthPathOf(
      ServiceNumber service) const noexcept;

  // Zero before the first configuration.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] std::size_t size() const noexcept { return routes_.size(); }

 private:
  std::uint64_t version_ = 0;
  // Number = position; names are never removed.
  std::vector<ServiceSpec> services_;
  std::unordered_map<std::string, ServiceNumber> numbers_;
  std::unordered_map<V4Endpoint, Route, V4EndpointHash> routes_;
  // Addresses of removed routes; bounded, the oldest one gives way.
  std::deque<V4Endpoint> removed_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ROUTE_TABLE_H_
