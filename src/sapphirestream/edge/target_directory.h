// Targets that are, or recently were, listed by service discovery, with look-up
// by token.
#ifndef SAPPHIRESTREAM_EDGE_TARGET_DIRECTORY_H_
#define SAPPHIRESTREAM_EDGE_TARGET_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/store_revision.h"
#include "sapphirestream/edge/address_claim.h"
#include "sapphirestream/edge/flow_token.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_health.h"
#include "sapphirestream/edge/target_record.h"

namespace sapphirestream {

enum class TargetPresence : std::uint8_t {
  kListed,   // listed by service discovery
  kMissing,  // its entry expired during a store outage; may be written again
  kGone,     // gets no new flows; packets of its flows are still forwarded
};

[[nodiscard]] std::string_view Name(TargetPresence presence) noexcept;

// Result of passing an entry, or the removal of one, to the directory.
enum class EntryOutcome : std::uint8_t {
  kApplied,    // a field that affects flows has changed
  kUnchanged,  // nothing that affects flows has changed
  kOutdated,   // ignored, since a later revision is known
  kOldCopy,    // ignored, since the copy of a restored store is older
};

[[nodiscard]] std::string_view Name(EntryOutcome outcome) noexcept;

enum class NameCheck : std::uint8_t {
  kNotNeeded,  // no other entry has the key
  kPending,    // a probe has to tell which entry is the target's own
  kConfirmed,  // the target has answered by the name of its entry
};

struct EdgeTarget {
  TargetRecord record;
  ServiceNumber service{};
  // As service discovery has it.
  TargetPresence listing = TargetPresence::kListed;
  // The same, but kGone while another target has its address, or may have it.
  TargetPresence presence = TargetPresence::kListed;
  // Store revision of the entry. Entries with an earlier one are ignored.
  StoreRevision revision;
  bool is_local = false;
  // Whether its failure domain is evacuated: it gets no new flows.
  bool evacuated = false;
  // Until then its failure domain seems to be cut off from this instance.
  TimePoint cut_off_until{};
  // When the other instances have read the entry as well.
  TimePoint usable_from{};
  TimePoint cold_until{};
  // When the entry was removed, or the target was given up; unset while it is
  // listed.
  TimePoint unlisted_at{};
  // A missing target is given up if a read that began then does not list it.
  TimePoint returns_by{};
  // Requests forwarded by this instance that are still in progress.
  std::uint32_t outstanding = 0;
  AddressClaim claim;
  ClaimStatus claim_status = ClaimStatus::kHeld;
  // Whether what answers at its address can change a claim.
  bool is_contested = false;
  // Whether a probe of the address was answered, but not by an identity.
  bool is_anonymous = false;
  // Whether the entry is the target's own, although others have the same key.
  NameCheck name_check = NameCheck::kNotNeeded;
  // Whether a request that may be reset waits for a probe of this target.
  bool has_waiting_request = false;
  TargetHealth health;
};

// A target gained or lost its address.
struct ClaimChange {
  TargetKey target{};
  V4Endpoint address;
  ClaimStatus status = ClaimStatus::kHeld;
};

class TargetDirectory {
 public:
  // Delay before a new target gets flows: the packets of a flow may arrive at
  // an instance that has not polled service discovery yet.
  static constexpr Duration kPropagationDelay = std::chrono::milliseconds(1800);
  // Targets whose entry expired during a store outage register again within
  // about 2 s after the store has returned.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(2500);
  // Packets to a removed target are forwarded for the maximum lifetime of a
  // flow.
  static constexpr Duration kGoneRetention = std::chrono::seconds(60);

  // Default time after which the entry of a target that has stopped expires.
  static constexpr Duration kDefaultEntryLifetime =
      std::chrono::milliseconds(3600);

  // Heartbeats that a target must miss until its entry expires.
  static constexpr int kHeartbeatsPerLifetime = 3;

  // `domain` is the failure domain of this instance. `address_reuse_delay`: see
  // StatusOf; zero if it is not known.
  TargetDirectory(RouteTable& routes, std::string_view domain,
                  Duration entry_lifetime = kDefaultEntryLifetime,
                  Duration address_reuse_delay = Duration::zero())
      : routes_(routes),
        domain_(domain),
        entry_lifetime_(entry_lifetime),
        address_reuse_delay_(address_reuse_delay) {}

  // The first list since the store was restored was read. Entries of its era
  // with a later revision have been written since; the others may be copies.
  void OnFirstListOfEra(StoreRevision revision) noexcept {
    first_list_ = revision;
  }
  // Adds or updates a target, unless a later revision is known. `propagated`:
  // the other instances know the entry as well. The first entry after the store
  // was restored may be a copy from before what is known: it does not bring
  // back a target that has drained or restarted, and a target that was gone
  // gets new flows only if its entry has not expired until then. The health of
  // a target that registers, or registers again, is unknown: what was observed
  // before says nothing about it any more.
  EntryOutcome Upsert(const TargetRecord& record, StoreRevision revision,
                      bool propagated, TimePoint now);
  // Marks a target's entry as removed. `store_returned_at`: end of an outage of
  // the store that may have made the entry expire although the target is alive;
  // unset if there was none. The time to register again counts from there. A
  // missing target gets it anew if it is missing from a restored store.
  // kApplied if the target was listed.
  EntryOutcome Erase(TargetKey key, StoreRevision revision,
                     std::optional<TimePoint> store_returned_at, TimePoint now);
  // The store has returned after an outage. Missing targets get the time to
  // register again anew.
  void OnStoreReturned(TimePoint returned_at) noexcept;
  // Decides the claims of services that were unknown when they were read.
  void OnServicesConfigured();
  // Sets whether a failure domain is evacuated. When an evacuation ends, the
  // domain's targets count as cold: they may have become so without an entry
  // that shows it yet. Returns whether this is a change.
  bool SetEvacuated(const std::string& domain, bool evacuated, TimePoint now);
  // Sets until when a failure domain seems to be cut off from this instance;
  // unset if it does not.
  void SetCutOff(const std::string& domain, TimePoint until);
  // Marks a target as cold for the start time of its service. For a target that
  // may have restarted without a known entry.
  void SetCold(EdgeTarget& target, TimePoint now) const;
  [[nodiscard]] bool IsEvacuated(const std::string& domain) const {
    return evacuated_.contains(domain);
  }
  // The target has answered at its address: it is not another one that has it.
  void OnAnswer(EdgeTarget& target, TimePoint at);
  // Another target has answered a probe of the target's address that began at
  // `begun`. `answered_by`: its key; zero if it is not known.
  void OnOtherAnswer(EdgeTarget& target, TargetKey answered_by,
                     TimePoint begun);
  // Something answers at the target's address, but does not tell which target
  // it is. The target may get new flows if there is no better one.
  void OnAnonymousAnswer(EdgeTarget& target);
  // Another entry has the key of the target.
  void OnOtherName(EdgeTarget& target);
  // The target has answered by the name of its entry.
  void OnOwnName(EdgeTarget& target);
  // Targets that are listed or missing, and for which a probe has to tell
  // whether they have their address, or which of their entries is their own.
  [[nodiscard]] const std::set<TargetKey>& unconfirmed() const noexcept {
    return unconfirmed_;
  }
  // Returns the changes of claims since the last call.
  [[nodiscard]] std::vector<ClaimChange> TakeClaimChanges() {
    return std::exchange(claim_changes_, {});
  }
  // What was observed before a pause of the process does not count any more:
  // its clock may have stood still.
  void ForgetAnswers();
  // Removes a target as if it had never been listed.
  void Remove(TargetKey key);
  // Makes the next entry or removal of each target count, whatever its
  // revision. For use when another store is read, whose revisions are
  // unrelated.
  void ForgetRevisions() noexcept;
  // Whether an outage of the store of this length can make the entry of a
  // target expire that is alive: a shorter one prevents one heartbeat at most.
  [[nodiscard]] bool MayExpireDuring(Duration outage) const noexcept {
    return outage >= entry_lifetime_ / kHeartbeatsPerLifetime;
  }
  // Applies the time limits: missing targets become gone, and gone targets are
  // removed. `confirmed`: when the store last confirmed the listed targets. A
  // missing target that may have registered again since is not given up.
  void Expire(TimePoint now, TimePoint confirmed);
  // Whether a read of the targets that begins now decides about a missing one.
  [[nodiscard]] bool IsReadDue(TimePoint now) const noexcept;

  [[nodiscard]] EdgeTarget* Find(TargetKey key) noexcept;
  // Returns the target that a token identifies among the services allowed by
  // the route, or null.
  [[nodiscard]] EdgeTarget* FindByToken(FlowToken token, const Route& route);
  // Returns the token for new flows of a target: one that no other known target
  // has.
  [[nodiscard]] FlowToken TokenOf(TargetKey key) const noexcept;
  // Returns the targets of a service, including gone ones. Valid until the next
  // change.
  [[nodiscard]] const std::vector<EdgeTarget*>& OfService(
      ServiceNumber service) const noexcept;

  template <typename Visitor>
  void ForEach(Visitor visit) {
    for (auto& [key, target] : targets_) visit(target);
  }
  [[nodiscard]] std::size_t size() const noexcept { return targets_.size(); }
  [[nodiscard]] std::size_t listed() const noexcept;

 private:
  // Sets the fields that follow from the entry and its failure domain.
  void SetEntry(EdgeTarget& target, const TargetRecord& record,
                StoreRevision revision);
  void AddToIndexes(EdgeTarget& target);
  void RemoveFromIndexes(EdgeTarget& target);
  // Whether an entry may be from the copy that the store was restored from.
  [[nodiscard]] bool IsCopy(const EdgeTarget& held,
                            StoreRevision revision) const noexcept;
  // Updates a target's claim of its address after its entry has changed.
  static void UpdateClaim(EdgeTarget& target, StoreRevision revision,
                          bool is_new_claim, bool is_copy, TimePoint now);
  // Decides again which of the targets at an address has it.
  void UpdateClaimsAt(V4Endpoint address);
  void UpdateAllClaims();
  void SetClaimStatus(EdgeTarget& target, ClaimStatus status);
  void UpdateUnconfirmed(const EdgeTarget& target);

  RouteTable& routes_;
  std::string domain_;
  Duration entry_lifetime_;
  Duration address_reuse_delay_;
  std::unordered_set<std::string> evacuated_;
  std::unordered_map<std::string, TimePoint> cut_off_;
  // The indexes point into this node-based map; pointers to its elements stay
  // valid when other elements change.
  std::unordered_map<TargetKey, EdgeTarget> targets_;
  std::unordered_multimap<FlowToken, EdgeTarget*> by_token_;
  std::unordered_map<ServiceNumber, std::vector<EdgeTarget*>> by_service_;
  std::unordered_multimap<V4Endpoint, EdgeTarget*, V4EndpointHash> by_address_;
  StoreRevision first_list_;
  std::set<TargetKey> unconfirmed_;
  std::vector<ClaimChange> claim_changes_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_TARGET_DIRECTORY_H_
