// Routes of the configuration: the services that serve each virtual address.
#ifndef SAPPHIRESTREAM_EDGE_ROUTE_TABLE_H_
#define SAPPHIRESTREAM_EDGE_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// Retry safety and transfer cost of a route's requests.
enum class RequestKind : std::uint8_t {
  kIdempotent,     // may be retried; includes downloads
  kNonIdempotent,  // must not run twice
  kUpload,         // must not run twice; has a large body
};

struct WeightedService {
  std::string name;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// What callers expect of a route's requests. A time of zero is not configured.
struct RouteObjective {
  // Time after which callers give up.
  Duration timeout{};
  // Time within which most requests should be answered.
  Duration target_latency{};
  // Zero is the most urgent.
  std::uint32_t priority = 0;

  bool operator==(const RouteObjective&) const = default;
};

// A route as configured.
struct RouteSpec {
  V4Endpoint address;
  RequestKind kind = RequestKind::kNonIdempotent;
  // Not empty; new flows are distributed by weight.
  std::vector<WeightedService> services;
  RouteObjective objective{};

  bool operator==(const RouteSpec&) const = default;
};

struct ServiceSpec {
  std::string name;
  // Health check path of the service's targets.
  std::string health_path{};
  // Open flows that a target of the service can hold; zero if not configured.
  std::uint32_t max_flows = 0;
  // Time for which a target is cold after its start.
  Duration cold_start{};
  // New flows that a cold target handles per second; nothing if there is no
  // limit.
  std::optional<double> cold_flows_per_s{};

  bool operator==(const ServiceSpec&) const = default;
};

struct RouteConfig {
  std::uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  // Number of routes that cannot be used, and that are not in `routes`.
  std::size_t ignored_routes = 0;
};

// A route with its services resolved to indexes.
struct Route {
  struct Share {
    ServiceNumber service{};
    std::uint32_t weight = 1;
  };

  RequestKind kind = RequestKind::kNonIdempotent;
  RouteObjective objective{};
  // Services of new flows.
  std::vector<Share> shares;
  // Services of this route in any version applied here. Open flows stay with
  // their target when the route changes.
  std::vector<ServiceNumber> allowed;

  [[nodiscard]] bool Allows(ServiceNumber service) const noexcept;
  // Selects a service by weight; the same hash always selects the same one.
  [[nodiscard]] ServiceNumber Pick(std::uint64_t flow_hash) const noexcept;
};

class RouteTable {
 public:
  // Replaces the routes. Returns false, without any change, unless the version
  // is higher than the current one.
  bool Apply(const RouteConfig& config);

  // Returns the route of an address, or null.
  [[nodiscard]] const Route* Find(V4Endpoint address) const noexcept;
  // Returns the index of a service; adds the service if it is unknown.
  [[nodiscard]] ServiceNumber Number(std::string_view service);
  // Whether the current version names the service, itself or in a route.
  [[nodiscard]] bool IsConfigured(ServiceNumber service) const noexcept;
  [[nodiscard]] std::string_view NameOf(ServiceNumber service) const noexcept {
    return SpecOf(service).name;
  }
  // Returns the configuration of a service; all its fields but the name are
  // unset if it is not configured.
  [[nodiscard]] const ServiceSpec& SpecOf(ServiceNumber service) const noexcept;

  // Zero before the first configuration.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] std::size_t size() const noexcept { return routes_.size(); }

 private:
  struct Service {
    ServiceSpec spec;
    // Last version that named the service; zero if there was none.
    std::uint64_t version = 0;
  };

  std::uint64_t version_ = 0;
  // Indexed by ServiceNumber; entries are never removed.
  std::vector<Service> services_;
  std::unordered_map<std::string, ServiceNumber> numbers_;
  std::unordered_map<V4Endpoint, Route, V4EndpointHash> routes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_ROUTE_TABLE_H_
