// Counts which instances have prepared and activated the newest configuration:
// up the relay tree of the domain, and between the roots of the domains.
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
  // Takes this instance's own versions.
  void SetOwn(ConfigVersion prepared, ConfigVersion active, TimePoint now);
  // Takes a count from a child, from another domain, or the overall result
  // from the parent.
  void OnConfirm(InstanceId from, const ConfigConfirm& message, TimePoint now);
  // Sends what changed, and repeats what may have been lost.
  void OnTimer(TimePoint now);

  // The highest version that all live instances of the reachable domains have
  // prepared.
  [[nodiscard]] ConfigVersion complete() const noexcept { return complete_; }
  // Counts of this instance's subtree for its newest version; at the root
  // those of the domain. `lagging` names instances that have not prepared it.
  [[nodiscard]] ConfigConfirm Count() const;

 private:
  void SendUp(const ConfigConfirm& count);
  void SendAcross(const ConfigConfirm& count);
  void SendDown(InstanceId child);
  void SetComplete(ConfigVersion version);
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
  ConfigVersion complete_{};
  std::map<InstanceId, ConfigConfirm> children_;
  std::map<DomainId, ConfigConfirm> domains_;
  ConfigConfirm last_sent_;
  TimePoint last_sent_at_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CONFIRMATIONS_H_
