// Routes that the operator removes and adds again at the same address. Packets
// of a flow that was opened since may reach an instance that has read only the
// removal.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_RETURNING_ROUTES_H_
#define SAPPHIRESTREAM_TESTING_SOAK_RETURNING_ROUTES_H_

#include <array>
#include <cstddef>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream::soak {

struct ReturningRoute {
  V4Endpoint address;
  bool is_present = true;
  // When the last change was accepted.
  TimePoint changed;
  // When the last removal was accepted; unset before.
  TimePoint removed;

  // Whether the latest version lacked the route at `time` or at any time since.
  [[nodiscard]] bool WasMissingSince(TimePoint time) const noexcept {
    return !is_present || (removed != TimePoint{} && time <= changed);
  }
};

class ReturningRoutes {
 public:
  static constexpr std::size_t kCount = 3;
  // Their addresses follow this one.
  static constexpr V4Endpoint kFirst{0xc6140000, 80};

  ReturningRoutes() {
    for (std::size_t i = 0; i < kCount; ++i) {
      routes_.at(i).address = {kFirst.address + static_cast<std::uint32_t>(i),
                               kFirst.port};
    }
  }
  // Removes the route, or adds it again.
  void Toggle(std::size_t index, TimePoint now) {
    ReturningRoute& route = routes_.at(index);
    route.is_present = !route.is_present;
    route.changed = now;
    if (!route.is_present) route.removed = now;
  }
  // Returns null if no such route has the address.
  [[nodiscard]] const ReturningRoute* Find(V4Endpoint address) const noexcept {
    for (const ReturningRoute& route : routes_) {
      if (route.address == address) return &route;
    }
    return nullptr;
  }
  [[nodiscard]] const ReturningRoute& at(std::size_t index) const {
    return routes_.at(index);
  }

 private:
  std::array<ReturningRoute, kCount> routes_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_RETURNING_ROUTES_H_
