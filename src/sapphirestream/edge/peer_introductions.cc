#include "sapphirestream/edge/peer_introductions.h"

namespace sapphirestream {

void PeerIntroductions::Add(DomainHash domain, V4Endpoint address,
                            TimePoint now) {
  if (domains_.size() >= kMaxDomains && !domains_.contains(domain)) return;
  std::vector<Introduction>& known = domains_[domain];
  std::erase_if(known, [address](const Introduction& introduction) {
    return introduction.address == address;
  });
  if (known.size() >= kMaxAddresses) known.erase(known.begin());
  known.push_back({address, now});
}

void PeerIntroductions::Expire(TimePoint now) {
  for (auto& [domain, known] : domains_) {
    std::erase_if(known, [now](const Introduction& introduction) {
      return now - introduction.at >= kMaxAge;
    });
  }
  std::erase_if(domains_, [](const auto& item) { return item.second.empty(); });
}

std::vector<V4Endpoint> PeerIntroductions::AddressesOf(
    DomainHash domain) const {
  std::vector<V4Endpoint> out;
  const auto it = domains_.find(domain);
  if (it == domains_.end()) return out;
  for (const Introduction& introduction : it->second) {
    out.push_back(introduction.address);
  }
  return out;
}

}  // namespace sapphirestream
