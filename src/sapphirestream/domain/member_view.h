// An immutable snapshot of the instances as seen by one of them.
#ifndef SAPPHIRESTREAM_DOMAIN_MEMBER_VIEW_H_
#define SAPPHIRESTREAM_DOMAIN_MEMBER_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

enum class MemberState : std::uint8_t {
  kJoining,
  kAlive,
  kSuspect,
  kDead,
  kLeaving,
  kLeft,
};

inline constexpr std::string_view kMemberStateNames[] = {
    "joining", "alive", "suspect", "dead", "leaving", "left"};

[[nodiscard]] constexpr std::string_view Name(MemberState state) noexcept {
  return kMemberStateNames[static_cast<std::size_t>(state)];
}

struct Member {
  InstanceId id = kNoInstance;
  DomainId domain{};
  MemberState state = MemberState::kAlive;
  Incarnation incarnation{};

  bool operator==(const Member&) const = default;
};

class MemberView {
 public:
  MemberView() = default;
  explicit MemberView(std::vector<Member> members)
      : members_(std::move(members)) {
    std::sort(members_.begin(), members_.end(),
              [](const Member& a, const Member& b) { return a.id < b.id; });
  }

  // Returns all members, sorted by id.
  [[nodiscard]] std::span<const Member> members() const noexcept {
    return members_;
  }
  // Returns the member or null.
  [[nodiscard]] const Member* Find(InstanceId id) const noexcept {
    const auto it = std::lower_bound(
        members_.begin(), members_.end(), id,
        [](const Member& m, InstanceId wanted) { return m.id < wanted; });
    return it != members_.end() && it->id == id ? &*it : nullptr;
  }
  // Whether the member may own flows: alive, or suspected but not yet dead.
  [[nodiscard]] static bool IsEligible(const Member& member) noexcept {
    return member.state == MemberState::kAlive ||
           member.state == MemberState::kSuspect;
  }

 private:
  std::vector<Member> members_;
};

// Rendezvous weight of a candidate for a key; the highest weight ranks first.
template <typename Id>
[[nodiscard]] constexpr std::uint64_t RankWeight(std::uint64_t key,
                                                 Id candidate) noexcept {
  return HashPair(key, Value(candidate) + 1);
}

// Returns the eligible instance of a domain that ranks first for a key,
// excluding `except`; kNoInstance if there is none.
[[nodiscard]] inline InstanceId HighestRankedInstance(
    const MemberView& view, DomainId domain, std::uint64_t key,
    InstanceId except = kNoInstance) noexcept {
  InstanceId best = kNoInstance;
  std::uint64_t best_weight = 0;
  for (const Member& member : view.members()) {
    if (member.domain != domain || member.id == except) continue;
    if (!MemberView::IsEligible(member)) continue;
    const std::uint64_t weight = RankWeight(key, member.id);
    if (best == kNoInstance || weight > best_weight) {
      best = member.id;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_MEMBER_VIEW_H_
