// Failure domains that operators evacuate: their targets get no new flows.
#ifndef SAPPHIRESTREAM_EDGE_EVACUATIONS_H_
#define SAPPHIRESTREAM_EDGE_EVACUATIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

// Entry that requests the evacuation of the failure domain that it is named
// after.
struct Evacuation {
  bool operator==(const Evacuation&) const = default;
};

class Evacuations {
 public:
  // After the store was restored from an older copy, operators write their
  // entries again within this time. Until then a missing one stays in force.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2500);

  // A domain whose evacuation began or ended.
  struct Change {
    std::string domain;
    bool evacuated = false;
  };
  using Changes = std::vector<Change>;

  // `targets` must outlive this object.
  explicit Evacuations(TargetDirectory& targets) : targets_(targets) {}

  // Applies an entry or its removal.
  Changes Set(const std::string& domain, bool evacuated, TimePoint now);
  // Applies a complete list. `is_restored`: it is the first one since the store
  // was restored, and may lack entries that were written after the copy.
  Changes Replace(const std::set<std::string>& domains, bool is_restored,
                  TimePoint now);
  // Ends evacuations whose entry was not written again. `complete_until`: the
  // view contains every change acknowledged before.
  Changes Expire(TimePoint complete_until, TimePoint now);

  // The evacuated domains, in order.
  [[nodiscard]] const std::set<std::string>& domains() const noexcept {
    return domains_;
  }

 private:
  TargetDirectory& targets_;
  std::set<std::string> domains_;
  // Domains whose entry was missing from a restored store, and since when. All
  // are in domains_.
  std::map<std::string, TimePoint> missing_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EVACUATIONS_H_
