// Refuses new flows of a service that has less capacity than its clients
// demand, so that those admitted are answered in time. Addresses sustained
// overload of all targets of a service; single slow or failing targets are
// handled by placement. See docs/design/admission-control.md.
#ifndef SAPPHIRESTREAM_EDGE_OVERLOAD_ADMISSION_H_
#define SAPPHIRESTREAM_EDGE_OVERLOAD_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/admission_control.h"
#include "sapphirestream/edge/admitted_share.h"
#include "sapphirestream/edge/client_shares.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/request_observation.h"
#include "sapphirestream/edge/service_load.h"
#include "sapphirestream/edge/target_estimate.h"

namespace sapphirestream {

// The observed requests are optional: they show late answers of targets in
// other domains, whose load is known only in part.
class OverloadAdmission final : public AdmissionControl,
                                public RequestObserver {
 public:
  // Requests per slot that count as full: a request that is admitted then waits
  // for about as long as it runs. Fewer would leave slots idle between two
  // requests.
  static constexpr double kFullLoad = 2;
  // Median share of failed requests of busy targets that shows that targets
  // reject requests because they are full.
  static constexpr double kRejectingShare = 0.1;
  // Time between two computations of a service's pressure.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(20);
  // Pressure that ends before the clients' first retransmission is a peak that
  // the targets' queues absorb.
  static constexpr Duration kMaxQueueTime = std::chrono::milliseconds(200);
  // Observed request times are used for this time.
  static constexpr Duration kTimesExpiry = std::chrono::milliseconds(500);
  // Bound of the number of routes whose request times are tracked.
  static constexpr std::size_t kMaxRoutes = 1024;

  // `source` must outlive this object.
  explicit OverloadAdmission(const PerformanceSource& source)
      : source_(source) {}

  // Routes without a latency objective or timeout are always admitted.
  [[nodiscard]] AdmissionVerdict Admit(const std::vector<EdgeTarget*>& targets,
                                       const AdmissionQuery& query) override;
  void OnRequest(const RequestObservation& observation) override;

  // Share of the service's new flows that is admitted now, for metrics.
  [[nodiscard]] double AdmittedShareOf(ServiceNumber service) const;

 private:
  struct ServiceState {
    AdmittedShare admitted;
    PriorityShares priorities;
    // Allocated while flows are refused.
    std::unique_ptr<ClientShares> clients;
    // Recent request times relative to their objective; smoothed.
    double lateness = 0;
    TimePoint lateness_at{};
    TimePoint refreshed{};
    // Unset while there is no pressure.
    std::optional<TimePoint> pressed_since;
  };
  struct RouteState {
    ServiceNumber service{};
    Duration objective{};
    // Whether flows of the route go to several services, so that its request
    // times cannot be attributed.
    bool is_shared = false;
  };

  void TrackRoute(const AdmissionQuery& query, Duration objective);
  void Refresh(ServiceState& state, const std::vector<EdgeTarget*>& targets,
               TimePoint now) const;
  // 1 or more if the service has less capacity than is demanded.
  [[nodiscard]] static double PressureOf(const ServiceState& state,
                                         const ServiceLoad& load,
                                         TimePoint now);

  const PerformanceSource& source_;
  // As many entries as services in the configuration.
  std::unordered_map<ServiceNumber, ServiceState> services_;
  std::unordered_map<V4Endpoint, RouteState, V4EndpointHash> routes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_OVERLOAD_ADMISSION_H_
