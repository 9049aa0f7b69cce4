#include "sapphirestream/edge_io/load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace sapphirestream {
namespace {

constexpr double kPermille = 1000;

std::int64_t Permille(double share) { return std::llround(share * kPermille); }

}  // namespace

LoadReport::LoadReport(LoadDecisions& load, TargetDirectory& targets,
                       const RouteTable& routes, EventLog& log,
                       CounterSet& counters)
    : load_(load),
      targets_(targets),
      routes_(routes),
      log_(log),
      penalised_(counters.Emplace("targets_penalised")) {}

void LoadReport::Report(TimePoint now) {
  load_.performance().Refresh(now);
  ReportTargets(now);
  ReportServices();
}

void LoadReport::ReportTargets(TimePoint now) {
  std::set<TargetKey> current;
  targets_.ForEach([&](const EdgeTarget& target) {
    if (target.presence == TargetPresence::kGone) return;
    const TargetEstimate estimate = load_.performance().Estimate(target, now);
    const bool is_penalised =
        estimate.weight < PerformanceTable::kPenalisedBelow;
    if (is_penalised) current.insert(target.record.key);
    if (is_penalised == penalised_targets_.contains(target.record.key)) return;
    log_.Write(LogLevel::kInfo,
               is_penalised ? "target_penalised" : "target_restored",
               {{"target", ToString(target.record.key)},
                {"weight_permille", Permille(estimate.weight)},
                {"time_permille", Permille(estimate.relative_time)},
                {"failures_permille", Permille(estimate.failure_share)},
                {"outstanding", estimate.outstanding}});
  });
  penalised_.Set(current.size());
  penalised_targets_ = std::move(current);
}

void LoadReport::ReportServices() {
  std::set<ServiceNumber> services;
  targets_.ForEach(
      [&](const EdgeTarget& target) { services.insert(target.service); });
  for (const ServiceNumber service : services) {
    const double spilled =
        std::max(load_.placer().SpillShare(service, RequestKind::kIdempotent),
                 load_.placer().SpillShare(service, RequestKind::kUpload));
    ReportShare(spilling_, service, spilled, "service_spills");
    ReportShare(refusing_, service,
                1 - load_.admission().AdmittedShareOf(service),
                "service_refuses");
  }
}

void LoadReport::ReportShare(std::set<ServiceNumber>& reported,
                             ServiceNumber service, double share,
                             std::string_view event) {
  const bool is_reported = share >= kReportedShare;
  if (is_reported == reported.contains(service)) return;
  if (is_reported) {
    reported.insert(service);
  } else {
    reported.erase(service);
  }
  log_.Write(LogLevel::kInfo, event,
             {{"service", routes_.NameOf(service)},
              {"active", is_reported ? 1 : 0},
              {"share_permille", Permille(share)}});
}

}  // namespace sapphirestream
