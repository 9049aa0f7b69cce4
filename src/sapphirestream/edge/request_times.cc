#include "sapphirestream/edge/request_times.h"

#include <algorithm>

#include "sapphirestream/base/duration.h"

namespace sapphirestream {
namespace {

// A mean of as many requests varies by about a tenth, if single times vary by
// as much as their mean.
constexpr double kRecentCount = 64;
constexpr double kRecentWeight = 1 / kRecentCount;
// The usual time falls fast and rises slowly: a route's times are shortest
// without load, and a lasting change, as by a new release, is learned within
// some hundred requests.
constexpr double kFasterWeight = 1.0 / 256;
constexpr double kSlowerWeight = 1.0 / 1024;

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
                       V4Endpoint route, Duration took, bool is_lightly_loaded,
                       TimePoint now) {
  const auto it = routes_.find(route);
  if (it == routes_.end() || took <= Duration::zero()) return;
  const auto index = static_cast<std::size_t>(group);
  const double took_s = Seconds(took);
  const double usual_s =
      UpdateUsual(it->second, index, took_s, is_lightly_loaded);
  ServiceState& state = services_[service];
  state.slowdown.at(index).Add(took_s / usual_s, 1, now);
  state.lateness.Add(took_s / Seconds(it->second.objective), 0, now);
}

double RequestTimes::UpdateUsual(RouteState& route, std::size_t group,
                                 double took_s, bool is_lightly_loaded) {
  GroupTimes& times = route.groups.at(group);
  times.count = std::min(times.count + 1, kRecentCount);
  times.recent_s += (took_s - times.recent_s) / times.count;
  // The first flows to other domains may arrive there under load.
  const double other_s = route.groups.at(1 - group).usual_s;
  if (times.usual_s == 0 && other_s > 0) times.usual_s = other_s;
  if (times.count < kRecentCount && other_s == 0) {
    times.usual_s = times.recent_s;
  } else if (times.recent_s < times.usual_s) {
    times.usual_s += (times.recent_s - times.usual_s) * kFasterWeight;
  } else if (is_lightly_loaded) {
    times.usual_s += (times.recent_s - times.usual_s) * kSlowerWeight;
  }
  return times.usual_s;
}

double RequestTimes::SlowdownOf(ServiceNumber service, TargetGroup group,
                                TimePoint now) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return 1;
  const Smoothed& slowdown =
      it->second.slowdown.at(static_cast<std::size_t>(group));
  return slowdown.IsFresh(now) ? slowdown.value : 1;
}

double RequestTimes::ObjectiveRatio(ServiceNumber service,
                                    TimePoint now) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.lateness.IsFresh(now)
             ? it->second.lateness.value
             : 0;
}

}  // namespace sapphirestream
