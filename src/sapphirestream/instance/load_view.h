// Load reported by targets, summed by service. Configuration changes are
// checked against it.
#ifndef SAPPHIRESTREAM_INSTANCE_LOAD_VIEW_H_
#define SAPPHIRESTREAM_INSTANCE_LOAD_VIEW_H_

#include <unordered_map>
#include <vector>

#include "sapphirestream/contract/capacity.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/target/placer.h"

namespace sapphirestream {

class LoadView {
 public:
  // Older reports do not reflect the current load.
  static constexpr Duration kReportLifetime = std::chrono::seconds(30);

  void OnReport(const LoadReport& report) { reports_[report.target] = report; }

  // Returns the load of each service from reports that have not expired.
  [[nodiscard]] std::vector<ServiceLoad> Loads(
      const Configuration& configuration, TimePoint now) const {
    std::vector<ServiceLoad> loads;
    for (const Service& service : configuration.services) {
      ServiceLoad load{.service = service.id};
      for (const Target& target : service.targets) {
        const auto it = reports_.find(target.id);
        if (it == reports_.end() || now - it->second.taken > kReportLifetime) {
          continue;
        }
        load.busy_slots += it->second.busy_slots;
        load.open_connections += it->second.open_connections;
      }
      loads.push_back(load);
    }
    return loads;
  }

  // Drops reports of targets that are not in the configuration.
  void Prune(const Configuration& configuration) {
    std::unordered_map<TargetId, LoadReport> kept;
    for (const Service& service : configuration.services) {
      for (const Target& target : service.targets) {
        const auto it = reports_.find(target.id);
        if (it != reports_.end()) kept.insert(*it);
      }
    }
    reports_ = std::move(kept);
  }

 private:
  std::unordered_map<TargetId, LoadReport> reports_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_LOAD_VIEW_H_
