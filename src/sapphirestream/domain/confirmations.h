// Counts the instances that have prepared and activated the newest
// configuration. Counts are aggregated up the relay tree of each domain and
// exchanged between the roots of the domains.
#ifndef SAPPHIRESTREAM_DOMAIN_CONFIRMATIONS_H_
#define SAPPHIRESTREAM_DOMAIN_CONFIRMATIONS_H_

#include <cstdint>
#include <map>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/message.h"
#include "sapphirestream/domain/message_sink.h"
#include "sapphirestream/domain/relay_tree.h"

namespace sapphirestream {

class Confirmations {
 public:
  Confirmations(DomainId domain, DomainSink& sink)
      : domain_(domain), sink_(sink) {}

  void SetTree(const RelayTree& tree);
  // Sets the versions that this instance itself has prepared and activated.
  void SetOwnVersions(ConfigVersion prepared, ConfigVersion active,
                      TimePoint now);
  // Handles a count from a child or from another domain, or the overall result
  // from the parent.
  void OnConfirm(InstanceId from, const ConfigConfirm& message, TimePoint now);
  // Sends changed counts and resends those that may have been lost.
  void OnTimer(TimePoint now);

  // The highest version that all live instances of the reachable domains have
  // prepared.
  [[nodiscard]] ConfigVersion fully_prepared() const noexcept {
    return fully_prepared_;
  }
  // Returns the counts of this instance's subtree for its newest version; at
  // the root, those of the domain. `lagging` lists instances that have not
  // prepared it.
  [[nodiscard]] ConfigConfirm Count() const;

 private:
  void SendToParent(const ConfigConfirm& count);
  void SendToOtherRoots(const ConfigConfirm& count);
  void SendResult(InstanceId child);
  void SetFullyPrepared(ConfigVersion version);
  [[nodiscard]] bool IsEveryDomainPrepared(const ConfigConfirm& own) const;

  const DomainId domain_;
  DomainSink& sink_;
  RelayTree tree_;
  ConfigVersion prepared_{};
  ConfigVersion active_{};
  TimePoint prepared_at_;
  // Set by SetTree until the next timer call, which knows the time.
  bool is_tree_new_ = false;
  TimePoint tree_changed_at_;
  ConfigVersion fully_prepared_{};
  std::map<InstanceId, ConfigConfirm> children_;
  std::map<DomainId, ConfigConfirm> domains_;
  ConfigConfirm last_sent_;
  TimePoint last_sent_at_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CONFIRMATIONS_H_
