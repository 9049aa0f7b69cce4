// The decisions that are based on the observed performance of targets, as one
// unit for EdgeSteering.
#ifndef SAPPHIRESTREAM_EDGE_LOAD_DECISIONS_H_
#define SAPPHIRESTREAM_EDGE_LOAD_DECISIONS_H_

#include "sapphirestream/edge/balanced_placement.h"
#include "sapphirestream/edge/edge_steering.h"
#include "sapphirestream/edge/overload_admission.h"
#include "sapphirestream/edge/performance_table.h"
#include "sapphirestream/edge/request_observation.h"

namespace sapphirestream {

class LoadDecisions final : private RequestObserver {
 public:
  // `targets` must outlive this object.
  explicit LoadDecisions(TargetDirectory& targets)
      : performance_(targets),
        placer_(performance_),
        admission_(performance_, targets) {}
  LoadDecisions(const LoadDecisions&) = delete;
  LoadDecisions& operator=(const LoadDecisions&) = delete;

  // Refers to this object.
  [[nodiscard]] SteeringDecisions decisions() noexcept {
    return {.placer = placer_, .observer = this, .admission = &admission_};
  }
  [[nodiscard]] PerformanceTable& performance() noexcept {
    return performance_;
  }
  [[nodiscard]] const BalancedPlacer& placer() const noexcept {
    return placer_;
  }
  [[nodiscard]] const OverloadAdmission& admission() const noexcept {
    return admission_;
  }

 private:
  void OnRequest(const RequestObservation& observation) override {
    performance_.OnRequest(observation);
    admission_.OnRequest(observation);
  }

  PerformanceTable performance_;
  BalancedPlacer placer_;
  OverloadAdmission admission_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_LOAD_DECISIONS_H_
