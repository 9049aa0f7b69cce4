// Distributes configuration versions among the instances and decides when each
// becomes active on this one. Rules are in docs/design.md, sections 4.2 and 5.
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
    // How long a superseded version is kept: the idle timeout of flows.
    Duration retention = std::chrono::seconds(900);
    // Rate limit for snapshots and for deltas longer than one datagram.
    std::uint32_t chunk_bytes_per_second = 64 * 1'024;
  };

  // `format` and `sink` must outlive this object.
  Dissemination(const Options& options, const ConfigBody& format,
                DomainSink& sink, Random& random, TimePoint now);

  // Updates the relay tree; call after each change of the membership view.
  void OnView(const MemberView& view, TimePoint now);
  // Handles a configuration read from the store: by a reader's watch, at the
  // start, or after a change made by this instance was accepted.
  void OnStoreConfiguration(ConfigVersion version, std::string body,
                            TimePoint now);
  // Handles configuration messages and the versions in heartbeats.
  void OnMessage(InstanceId from, const DomainMessage& message, TimePoint now);
  // Runs timeouts, retries and rate-limited sends; call at least every 50 ms.
  void OnTimer(TimePoint now);

  // Whether this instance should watch the store.
  [[nodiscard]] bool IsReader() const noexcept { return tree_.is_reader; }
  // Whether any configuration has been received.
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
  // Incremented when versions() or a state in it changes.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  // False if no peer has reported the active version or a higher one for 2 s,
  // or if a higher version known at peers could not be obtained for 2 s.
  [[nodiscard]] bool IsConfirmed(TimePoint now) const noexcept;
  // See ConfigHistory::IsComplete.
  [[nodiscard]] bool IsHistoryComplete(TimePoint now) const noexcept {
    return history_.IsComplete(now);
  }
  // Returns the counts of the domain at the root of its relay tree, elsewhere
  // those of the subtree.
  [[nodiscard]] ConfigConfirm status() const { return confirmations_.Count(); }

 private:
  void OnDelta(InstanceId from, const ConfigDelta& message, TimePoint now);
  void OnChunk(InstanceId from, const ConfigChunk& message, TimePoint now);
  void OnPull(InstanceId from, const ConfigPull& message, TimePoint now);
  // Records that `peer` has prepared `version`.
  void OnPeerVersion(InstanceId peer, ConfigVersion version, TimePoint now);
  void TryDelta(InstanceId from, ConfigVersion base, ConfigVersion version,
                const std::string& delta, TimePoint now);
  // Prepares a higher version and forwards it along the relay tree.
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
  // Versions reported by peers. Includes peers that are dead in the view, so
  // that an instance can catch up before the view has converged.
  std::map<InstanceId, Peer> peers_;
  // Highest version reported by any peer.
  ConfigVersion highest_known_{};
  TimePoint behind_since_;
  TimePoint next_pull_;
  std::uint32_t pull_attempts_ = 0;
  // Set when a delta did not apply; the next pull requests a snapshot.
  bool needs_snapshot_ = false;
  // Deltas received before their base version, keyed by base.
  std::map<ConfigVersion, ConfigDelta> pending_;
  TimePoint confirmed_at_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_DISSEMINATION_H_
