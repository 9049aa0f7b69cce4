#include "sapphirestream/edge/overload_admission.h"

#include <algorithm>

#include "sapphirestream/edge/flow_share.h"

namespace sapphirestream {
namespace {

// AdmittedShare falls no faster above this pressure.
constexpr double kMaxPressure = 2;
// Pressure while full targets reject requests: their queues are full, so that
// counts of requests no longer show the excess.
constexpr double kRejectingPressure = 1.5;

Duration ObjectiveOf(const RouteObjective& objective) {
  return objective.target_latency > Duration::zero() ? objective.target_latency
                                                     : objective.timeout;
}

AdmissionVerdict VerdictOf(const AdmissionQuery& query, double share) {
  const double position =
      FlowPosition(query.flow_hash, FlowShare::kAdmission) * 0x1.0p-32;
  return position < share ? AdmissionVerdict::kAdmit
                          : AdmissionVerdict::kRefuse;
}

// Pressure below which request times are those without load.
constexpr double kLightLoadPressure = 0.5;

// Whether the slots of at least half of the targets are in use, so that
// failures and late answers may be due to load.
bool IsBusy(const ServiceLoad& load) {
  return load.median_requests_per_slot >= 1;
}

// Whether busy targets reject requests because they are full.
bool IsRejecting(const ServiceLoad& load) {
  return IsBusy(load) &&
         load.median_failure_share >= OverloadAdmission::kRejectingShare;
}

}  // namespace

AdmissionVerdict OverloadAdmission::Admit(
    const std::vector<EdgeTarget*>& targets, const AdmissionQuery& query) {
  const Duration objective = ObjectiveOf(query.objective);
  if (query.opening_copies > 0 || objective <= Duration::zero()) {
    return AdmissionVerdict::kAdmit;
  }
  times_.SetObjective(query.route, objective);
  ServiceState& state = services_[query.service];
  if (query.now - state.refreshed >= kRefreshInterval) {
    Refresh(query.service, state, targets, query.now);
  }
  const std::size_t priority =
      PriorityShares::ClassOf(query.objective.priority);
  const double client_part =
      state.clients == nullptr
          ? 1
          : state.clients->OnOpening(query.client.address, query.now);
  state.priorities.AddDemand(priority, client_part);
  if (state.admitted.value() >= 1) return AdmissionVerdict::kAdmit;
  return VerdictOf(query, state.priorities.Of(priority) * client_part);
}

AdmissionVerdict OverloadAdmission::Preview(const AdmissionQuery& query) const {
  const auto it = services_.find(query.service);
  if (query.opening_copies > 0 || it == services_.end() ||
      ObjectiveOf(query.objective) <= Duration::zero()) {
    return AdmissionVerdict::kAdmit;
  }
  const ServiceState& state = it->second;
  // The next opening would end the refusals.
  if (state.admitted.value() >= 1 ||
      query.now - state.refreshed >= AdmittedShare::kExpiry) {
    return AdmissionVerdict::kAdmit;
  }
  const double client_part = state.clients == nullptr
                                 ? 1
                                 : state.clients->PartOf(query.client.address);
  const std::size_t priority =
      PriorityShares::ClassOf(query.objective.priority);
  return VerdictOf(query, state.priorities.Of(priority) * client_part);
}

void OverloadAdmission::OnRequest(const RequestObservation& observation) {
  if (observation.answer_bytes == 0) return;
  const EdgeTarget* const target = targets_.Find(observation.target);
  if (target == nullptr) return;
  const auto state = services_.find(target->service);
  if (state == services_.end()) return;
  times_.Add(target->service,
             target->is_local ? TargetGroup::kLocal : TargetGroup::kRemote,
             observation.route, observation.took,
             state->second.pressure < kLightLoadPressure, observation.at);
}

double OverloadAdmission::AdmittedShareOf(ServiceNumber service) const {
  const auto state = services_.find(service);
  return state == services_.end() ? 1 : state->second.admitted.value();
}

void OverloadAdmission::Refresh(ServiceNumber service, ServiceState& state,
                                const std::vector<EdgeTarget*>& targets,
                                TimePoint now) const {
  const ServiceLoad load =
      LoadOf(targets, source_,
             {.local = times_.SlowdownOf(service, TargetGroup::kLocal, now),
              .remote = times_.SlowdownOf(service, TargetGroup::kRemote, now)},
             now);
  const double pressure = PressureOf(service, load, now);
  state.pressure = pressure;
  state.refreshed = now;
  if (pressure < 1) state.pressure_since.reset();
  if (pressure >= 1 && !state.pressure_since) state.pressure_since = now;
  // Full queues do not absorb a burst any more.
  const bool is_sustained =
      state.pressure_since &&
      (IsRejecting(load) || now - *state.pressure_since >= kMaxQueueTime);
  state.admitted.Update(
      is_sustained || state.admitted.value() < 1 ? pressure : 0, now);
  state.priorities.Update(state.admitted.value(), now);
  if (state.admitted.value() >= 1) {
    state.clients.reset();
  } else if (state.clients == nullptr) {
    state.clients = std::make_unique<ClientShares>();
  }
}

double OverloadAdmission::PressureOf(ServiceNumber service,
                                     const ServiceLoad& load,
                                     TimePoint now) const {
  double pressure = load.requests_per_slot / kFullLoad;
  if (!IsBusy(load)) return std::min(pressure, kLightLoadPressure);
  if (IsRejecting(load)) pressure = std::max(pressure, kRejectingPressure);
  pressure = std::max(pressure, times_.ObjectiveRatio(service, now));
  return std::min(pressure, kMaxPressure);
}

}  // namespace sapphirestream
