#include "sapphirestream/edge/domain_reachability.h"

#include <algorithm>

namespace sapphirestream {

void DomainReachability::OnSilent(const std::string& domain, TargetKey target,
                                  TimePoint begun) {
  Domain& state = domains_[domain];
  if (begun < state.last_answer) return;
  std::erase_if(state.silent, [begun](const auto& entry) {
    return begun - entry.second > kMaxEvidenceAge;
  });
  state.silent.insert_or_assign(target, begun);
}

void DomainReachability::OnAnswer(const std::string& domain, TimePoint now) {
  Domain& state = domains_[domain];
  state.last_answer = now;
  state.silent.clear();
}

bool DomainReachability::IsCutOff(const std::string& domain,
                                  TimePoint now) const {
  const auto it = domains_.find(domain);
  if (it == domains_.end()) return false;
  const auto& silent = it->second.silent;
  const auto recent =
      std::count_if(silent.begin(), silent.end(), [now](const auto& entry) {
        return now - entry.second <= kMaxEvidenceAge;
      });
  return static_cast<std::size_t>(recent) >= kMinSilentTargets;
}

}  // namespace sapphirestream
