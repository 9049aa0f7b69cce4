#include "sapphirestream/edge/domain_reachability.h"

#include <algorithm>

namespace sapphirestream {

void DomainReachability::OnUnreachable(const std::string& domain,
                                       TargetKey target, TimePoint begun) {
  Domain& state = domains_[domain];
  if (begun < state.last_answer) return;
  std::erase_if(state.unreachable, [begun](const auto& entry) {
    return begun - entry.second > kMaxEvidenceAge;
  });
  state.unreachable.insert_or_assign(target, begun);
}

void DomainReachability::OnAnswer(const std::string& domain, TimePoint now) {
  Domain& state = domains_[domain];
  state.last_answer = now;
  state.unreachable.clear();
}

bool DomainReachability::IsCutOff(const std::string& domain,
                                  TimePoint now) const {
  const auto it = domains_.find(domain);
  if (it == domains_.end()) return false;
  const auto& unreachable = it->second.unreachable;
  const auto recent = std::count_if(
      unreachable.begin(), unreachable.end(), [now](const auto& entry) {
        return now - entry.second <= kMaxEvidenceAge;
      });
  return static_cast<std::size_t>(recent) >= kMinUnreachableTargets;
}

}  // namespace sapphirestream
