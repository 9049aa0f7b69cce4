// Reports how load is distributed: targets that get less than their share,
// services whose flows leave the failure domain or are refused.
#ifndef SAPPHIRESTREAM_EDGE_IO_LOAD_REPORT_H_
#define SAPPHIRESTREAM_EDGE_IO_LOAD_REPORT_H_

#include <set>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/edge/load_decisions.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_directory.h"

namespace sapphirestream {

class LoadReport {
 public:
  // Share of a service's new flows above which leaving the domain, or being
  // refused, is logged.
  static constexpr double kReportedShare = 0.05;

  // The references must outlive this object.
  LoadReport(LoadDecisions& load, TargetDirectory& targets,
             const RouteTable& routes, EventLog& log, CounterSet& counters);

  // Updates the gauges and logs what has changed since the last call.
  void Report(TimePoint now);

 private:
  void ReportTargets(TimePoint now);
  void ReportServices();
  // Logs when the share reaches kReportedShare, and when it falls below it.
  void ReportShare(std::set<ServiceNumber>& reported, ServiceNumber service,
                   double share, std::string_view event);

  LoadDecisions& load_;
  TargetDirectory& targets_;
  const RouteTable& routes_;
  EventLog& log_;
  Counter& penalised_;
  // As of the last report.
  std::set<TargetKey> penalised_targets_;
  std::set<ServiceNumber> spilling_;
  std::set<ServiceNumber> refusing_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_LOAD_REPORT_H_
