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
#include "sapphirestream/edge/request_times.h"
#include "sapphirestream/edge/service_load.h"
#include "sapphirestream/edge/target_estimate.h"

namespace sapphirestream {

// Also observes requests, since the load that other domains cause is known only
// from request times. Without that, it judges by the estimates alone.
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
  // Time between two computations of a service's pressure, which read the
  // estimates of all of its targets: too much for each opening packet.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(20);
  // Pressure that ends before the clients' first retransmission is a peak that
  // the targets' queues absorb.
  static constexpr Duration kMaxQueueTime = std::chrono::milliseconds(200);
  // The references must outlive this object.
  OverloadAdmission(const PerformanceSource& source, TargetDirectory& targets)
      : source_(source), targets_(targets) {}

  // Routes without a latency objective or timeout are always admitted.
  [[nodiscard]] AdmissionVerdict Admit(const std::vector<EdgeTarget*>& targets,
                                       const AdmissionQuery& query) override;
  [[nodiscard]] AdmissionVerdict Preview(
      const AdmissionQuery& query) const override;
  void OnRequest(const RequestObservation& observation) override;

  // Share of the service's new flows that is admitted now, for metrics.
  [[nodiscard]] double AdmittedShareOf(ServiceNumber service) const;

 private:
  struct ServiceState {
    AdmittedShare admitted;
    PriorityShares priorities;
    // Allocated while flows are refused.
    std::unique_ptr<ClientShares> clients;
    TimePoint refreshed{};
    // 1 or more if the service has less capacity than is demanded.
    double pressure = 0;
    // Unset while there is no pressure.
    std::optional<TimePoint> pressure_since;
  };
  void Refresh(ServiceNumber service, ServiceState& state,
               const std::vector<EdgeTarget*>& targets, TimePoint now) const;
  [[nodiscard]] double PressureOf(ServiceNumber service,
                                  const ServiceLoad& load, TimePoint now) const;

  const PerformanceSource& source_;
  TargetDirectory& targets_;
  RequestTimes times_;
  // As many entries as services in the configuration.
  std::unordered_map<ServiceNumber, ServiceState> services_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_OVERLOAD_ADMISSION_H_
