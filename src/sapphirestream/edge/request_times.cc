#include "sapphirestream/edge/request_times.h"

#include <algorithm>

namespace sapphirestream {
namespace {

constexpr double kRecentWeight = 1.0 / 64;
// The usual time falls fast and rises slowly: a route's times are shortest
// without load, and a lasting change, as by a new release, is learned within
// some hundred requests.
constexpr double kFasterWeight = 1.0 / 256;
constexpr double kSlowerWeight = 1.0 / 1024;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RequestTimes::Smoothed::Add(double sample, double initial, TimePoint now) {
  if (!IsFresh(now)) value = initial;
  value += (std::min(sample, kMaxRatio) - value) * kRecentWeight;
  at = now;
}

bool RequestTimes::Smoothed::IsFresh(TimePoint now) const {
  return now - at < kExpiry;
}

void RequestTimes::SetObjective(V4Endpoint route, Duration objective) {
  const auto it = routes_.find(route);
  if (it != routes_.end()) {
    it->second.objective = objective;
  } else if (routes_.size() < kMaxRoutes) {
    routes_[route].objective = objective;
  }
}

void RequestTimes::Add(ServiceNumber service, TargetGroup group,
                       V4Endpoint route, Duration took, bool is_calm,
                       TimePoint now) {
  const auto it = routes_.find(route);
  if (it == routes_.end() || took <= Duration::zero()) return;
  const auto index = static_cast<std::size_t>(group);
  const double took_s = Seconds(took);
  const double usual_s = UpdateUsual(it->second, index, took_s, is_calm);
  ServiceState& state = services_[service];
  state.stretch.at(index).Add(took_s / usual_s, 1, now);
  state.lateness.Add(took_s / Seconds(it->second.objective), 0, now);
}

double RequestTimes::UpdateUsual(RouteState& route, std::size_t group,
                                 double took_s, bool is_calm) {
  double& recent = route.recent_s.at(group);
  double& usual = route.usual_s.at(group);
  if (recent == 0) {
    recent = took_s;
    // The first flows to other domains may arrive there under load.
    const double other = route.usual_s.at(1 - group);
    usual = other > 0 ? other : took_s;
  }
  recent += (took_s - recent) * kRecentWeight;
  if (recent < usual) {
    usual += (recent - usual) * kFasterWeight;
  } else if (is_calm) {
    usual += (recent - usual) * kSlowerWeight;
  }
  return usual;
}

double RequestTimes::StretchOf(ServiceNumber service, TargetGroup group,
                               TimePoint now) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return 1;
  const Smoothed& stretch =
      it->second.stretch.at(static_cast<std::size_t>(group));
  return stretch.IsFresh(now) ? stretch.value : 1;
}

double RequestTimes::LatenessOf(ServiceNumber service, TimePoint now) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.lateness.IsFresh(now)
             ? it->second.lateness.value
             : 0;
}

}  // namespace sapphirestream
