#include "sapphirestream/edge/overload_admission.h"

#include <algorithm>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {
namespace {

// Smoothing of the observed request times.
constexpr double kLatenessWeight = 1.0 / 16;
constexpr double kMaxPressure = 2;
// Pressure while full targets reject requests.
constexpr double kRejectingPressure = 1.5;
// Makes the decision independent of the placement, which uses the same hash.
constexpr std::uint64_t kAdmissionSalt = 0x61646d6974;

Duration ObjectiveOf(const RouteObjective& objective) {
  return objective.target_latency > Duration::zero() ? objective.target_latency
                                                     : objective.timeout;
}

// Returns a number in [0, 1) that all instances derive from the flow.
double PositionOf(std::uint64_t flow_hash) {
  return static_cast<double>(HashPair(flow_hash, kAdmissionSalt) >> 11) *
         0x1.0p-53;
}

// Whether busy targets reject requests because they are full.
bool IsRejecting(const ServiceLoad& load) {
  return load.is_busy &&
         load.failure_share >= OverloadAdmission::kRejectingShare;
}

}  // namespace

AdmissionVerdict OverloadAdmission::Admit(
    const std::vector<EdgeTarget*>& targets, const AdmissionQuery& query) {
  const Duration objective = ObjectiveOf(query.objective);
  if (query.copies > 0 || objective <= Duration::zero()) {
    return AdmissionVerdict::kAdmit;
  }
  TrackRoute(query, objective);
  ServiceState& state = services_[query.service];
  if (query.now - state.refreshed >= kRefreshInterval) {
    Refresh(state, targets, query.now);
  }
  const std::size_t priority =
      PriorityShares::ClassOf(query.objective.priority);
  const double client_part =
      state.clients == nullptr
          ? 1
          : state.clients->OnOpening(query.client.address, query.now);
  state.priorities.AddDemand(priority, client_part);
  if (state.admitted.value() >= 1) return AdmissionVerdict::kAdmit;
  return PositionOf(query.flow_hash) <
                 state.priorities.Of(priority) * client_part
             ? AdmissionVerdict::kAdmit
             : AdmissionVerdict::kRefuse;
}

void OverloadAdmission::OnRequest(const RequestObservation& observation) {
  const auto route = routes_.find(observation.route);
  if (route == routes_.end() || route->second.is_shared) return;
  if (observation.answer_bytes == 0) return;
  ServiceState& state = services_[route->second.service];
  const double lateness =
      std::min(std::chrono::duration<double>(observation.took) /
                   std::chrono::duration<double>(route->second.objective),
               kMaxPressure);
  if (observation.at - state.lateness_at >= kTimesExpiry) state.lateness = 0;
  state.lateness += (lateness - state.lateness) * kLatenessWeight;
  state.lateness_at = observation.at;
}

double OverloadAdmission::AdmittedShareOf(ServiceNumber service) const {
  const auto state = services_.find(service);
  return state == services_.end() ? 1 : state->second.admitted.value();
}

void OverloadAdmission::TrackRoute(const AdmissionQuery& query,
                                   Duration objective) {
  auto route = routes_.find(query.route);
  if (route == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) return;
    route =
        routes_.emplace(query.route, RouteState{query.service, {}, {}}).first;
  }
  route->second.objective = objective;
  if (route->second.service != query.service) route->second.is_shared = true;
}

void OverloadAdmission::Refresh(ServiceState& state,
                                const std::vector<EdgeTarget*>& targets,
                                TimePoint now) const {
  const ServiceLoad load = LoadOf(targets, source_, now);
  const double pressure = PressureOf(state, load, now);
  state.refreshed = now;
  if (pressure < 1) state.pressed_since.reset();
  if (pressure >= 1 && !state.pressed_since) state.pressed_since = now;
  // Full queues do not absorb a burst any more.
  const bool is_sustained =
      state.pressed_since &&
      (IsRejecting(load) || now - *state.pressed_since >= kMaxQueueTime);
  state.admitted.Update(
      is_sustained || state.admitted.value() < 1 ? pressure : 0, now);
  state.priorities.Update(state.admitted.value(), now);
  if (state.admitted.value() >= 1) {
    state.clients.reset();
  } else if (state.clients == nullptr) {
    state.clients = std::make_unique<ClientShares>();
  }
}

double OverloadAdmission::PressureOf(const ServiceState& state,
                                     const ServiceLoad& load, TimePoint now) {
  double pressure = load.requests_per_slot / kFullLoad;
  if (IsRejecting(load)) {
    pressure = std::max(pressure, kRejectingPressure);
  }
  if (load.is_busy && now - state.lateness_at < kTimesExpiry) {
    pressure = std::max(pressure, state.lateness);
  }
  return std::min(pressure, kMaxPressure);
}

}  // namespace sapphirestream
