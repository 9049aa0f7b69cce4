// Spreads configuration versions over the instances and decides when each
// becomes active here. Rules are in docs/design.md, sections 4.2 and 5.
#ifndef SAPPHIRESTREAM_DOMAIN_DISSEMINATION_H_
#define SAPPHIRESTREAM_DOMAIN_DISSEMINATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/domain/chunk_assembly.h"
#include "sapphirestream/domain/chunk_sender.h"
#include "sapphirestream/domain/config_body.h"
#include "sapphirestream/domain/config_history.h"
#include "sapphirestream/domain/confirmations.h"
#include "sapphirestream/domain/member_view.h"
#include "sapphirestream/domain/message.h"
#include "sapphirestream/domain/message_sink.h"
#include "sapphirestream/domain/relay_tree.h"

namespace sapphirestream {

class Dissemination {
 public:
  struct Options {
    InstanceId self = kNoInstance;
    DomainId domain{};
    // How long a replaced version may be needed: the idle timeout of flows.
    Duration retention = std::chrono::seconds(900);
    // Budget for long deltas and snapshots.
    std::uint32_t chunk_bytes_per_second = 64 * 1'024;
  };

  // `format` and `sink` must outlive this object.
  Dissemination(const Options& options, const ConfigBody& format,
                DomainSink& sink, Random& random, TimePoint now);

  // Takes the view of Membership after each change.
  void OnView(const MemberView& view, TimePoint now);
  // Takes what the store holds: by a reader's watch, at the start, or after
  // this instance's own change was accepted.
  void OnStoreConfiguration(ConfigVersion version, std::string body,
                            TimePoint now);
  // Handles configuration messages and the versions in heartbeats.
  void OnMessage(InstanceId from, const DomainMessage& message, TimePoint now);
  // Does what is due; call at least every 50 ms.
  void OnTimer(TimePoint now);

  // Whether this instance is to watch the store.
  [[nodiscard]] bool IsReader() const noexcept { return tree_.is_reader; }
  // Whether there is any configuration to work with.
  [[nodiscard]] bool is_ready() const noexcept {
    return history_.newest() != ConfigVersion{};
  }
  [[nodiscard]] ConfigVersion prepared() const noexcept {
    return history_.newest();
  }
  [[nodiscard]] ConfigVersion active() const noexcept {
    return history_.active();
  }
  // The newest body; null before the first one.
  [[nodiscard]] const std::shared_ptr<const std::string>& body()
      const noexcept {
    return history_.body();
  }
  // Prepared, active and retained versions, ascending.
  [[nodiscard]] std::vector<HeldVersion> versions() const {
    return history_.versions();
  }
  // Grows when versions() or a state in it changes.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  // False once no peer has confirmed the active configuration for 2 s, or a
  // higher version that peers have was out of reach for 2 s.
  [[nodiscard]] bool IsConfirmed(TimePoint now) const noexcept;
  // See ConfigHistory::IsComplete.
  [[nodiscard]] bool IsHistoryComplete(TimePoint now) const noexcept {
    return history_.IsComplete(now);
  }
  // At the root of the domain's tree the counts of the domain, elsewhere those
  // of the subtree.
  [[nodiscard]] ConfigConfirm status() const { return confirmations_.Count(); }

 private:
  void OnDelta(InstanceId from, const ConfigDelta& message, TimePoint now);
  void OnChunk(InstanceId from, const ConfigChunk& message, TimePoint now);
  void OnPull(InstanceId from, const ConfigPull& message, TimePoint now);
  // Notes that `peer` has `version`.
  void OnPeerVersion(InstanceId peer, ConfigVersion version, TimePoint now);
  void TryDelta(InstanceId from, ConfigVersion base, ConfigVersion version,
                const std::string& delta, TimePoint now);
  // Takes a higher version over and passes it on along the tree.
  void Prepare(InstanceId from, ConfigVersion version, std::string body,
               std::optional<std::string> delta, TimePoint now);
  void Push(InstanceId from, const ConfigStep& step, TimePoint now);
  void SendStep(InstanceId to, const ConfigStep& step, TimePoint now);
  void Pull(TimePoint now);
  void RequestMissing();
  [[nodiscard]] InstanceId ChooseSource(TimePoint now);
  void OnVersionsChanged(TimePoint now);

  const InstanceId self_;
  const DomainId domain_;
  const ConfigBody& format_;
  DomainSink& sink_;
  Random& random_;
  ConfigHistory history_;
  Confirmations confirmations_;
  ChunkSender sender_;
  ChunkAssembly assembly_;
  RelayTree tree_;
  std::uint64_t revision_ = 0;

  struct Peer {
    ConfigVersion version{};
    bool is_own_domain = false;
    TimePoint heard_at;
  };
  // Versions that peers are known to have. A peer counts as soon as it is
  // heard, even while the view has it dead, so that repair does not wait for
  // the view to heal.
  std::map<InstanceId, Peer> peers_;
  // Highest version of any of them.
  ConfigVersion target_{};
  TimePoint behind_since_;
  TimePoint next_pull_;
  std::uint32_t pulls_ = 0;
  // A delta did not apply: only a whole body helps.
  bool needs_snapshot_ = false;
  // Deltas that arrived before their base, by base.
  std::map<ConfigVersion, ConfigDelta> early_;
  TimePoint confirmed_at_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_DISSEMINATION_H_
