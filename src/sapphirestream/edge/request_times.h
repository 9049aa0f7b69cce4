// Request times that this instance observes, relative to those without load and
// to the routes' objectives. They show the load of targets that serve other
// domains as well, of which only a part is known here.
#ifndef SAPPHIRESTREAM_EDGE_REQUEST_TIMES_H_
#define SAPPHIRESTREAM_EDGE_REQUEST_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

// Targets of a service in this instance's failure domain, or in all others.
enum class TargetGroup : std::uint8_t { kLocal, kRemote };

class RequestTimes {
 public:
  // Observations are used for this time.
  static constexpr Duration kExpiry = std::chrono::milliseconds(500);
  // Bound of the number of routes that are tracked.
  static constexpr std::size_t kMaxRoutes = 1024;
  // A single request counts as at most this multiple.
  static constexpr double kMaxRatio = 8;

  void SetObjective(V4Endpoint route, Duration objective);
  // `is_lightly_loaded`: whether the service is far from overload, so that the
  // time may become the usual one of the route. Requests of routes without
  // objective are ignored.
  void Add(ServiceNumber service, TargetGroup group, V4Endpoint route,
           Duration took, bool is_lightly_loaded, TimePoint now);
  // Returns the recent request time relative to the usual one; 1 if unknown.
  [[nodiscard]] double SlowdownOf(ServiceNumber service, TargetGroup group,
                                  TimePoint now) const;
  // Returns the recent request time relative to the objective; 0 if unknown.
  [[nodiscard]] double ObjectiveRatio(ServiceNumber service,
                                      TimePoint now) const;

 private:
  // Exponentially smoothed ratio.
  struct Smoothed {
    double value = 0;
    TimePoint at{};

    void Add(double sample, double initial, TimePoint now);
    [[nodiscard]] bool IsFresh(TimePoint now) const;
  };
  // Times of one group.
  struct GroupTimes {
    // Number of requests, up to that which `recent_s` averages.
    double count = 0;
    double recent_s = 0;
    // Zero if unknown.
    double usual_s = 0;
  };
  struct RouteState {
    Duration objective{};
    std::array<GroupTimes, 2> groups{};
  };
  struct ServiceState {
    std::array<Smoothed, 2> slowdown;
    Smoothed lateness;
  };

  // Updates the route's times and returns the usual one.
  static double UpdateUsual(RouteState& route, std::size_t group, double took_s,
                            bool is_lightly_loaded);

  std::unordered_map<V4Endpoint, RouteState, V4EndpointHash> routes_;
  // As many entries as services in the configuration.
  std::unordered_map<ServiceNumber, ServiceState> services_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_REQUEST_TIMES_H_
