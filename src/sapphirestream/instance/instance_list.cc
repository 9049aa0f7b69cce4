// Discovery of the other instances.
#include "sapphirestream/instance/instance_list.h"

#include <utility>

namespace sapphirestream {

void InstanceList::Start(std::span<const KnownPeer> peers) {
  if (peers.empty()) return;
  std::vector<InstanceListing> instances;
  Addresses addresses;
  for (const KnownPeer& peer : peers) {
    instances.push_back({peer.id, peer.domain});
    addresses[peer.id] = peer.endpoint;
  }
  handler_(instances, addresses);
}

void InstanceList::OnTimer(TimePoint now) {
  if (is_reading_ || now < next_read_) return;
  is_reading_ = true;
  // Random jitter spreads the reads of instances that were started together.
  next_read_ = now + kInterval / 2 +
               Duration(random_.Below(
                   static_cast<std::uint64_t>(Duration(kInterval).count())));
  store_.ListInstances(
      kDeadline,
      [this](const StoreResult<std::vector<ListedInstance>>& answer) {
        is_reading_ = false;
        if (answer.error == ErrorKind::kNone) {
          OnListed(answer.value);
        } else {
          log_.Write(LogLevel::kWarn, "instance_list_unavailable",
                     {{"error", AnswerFor(answer.error).name}});
        }
      });
}

void InstanceList::OnListed(const std::vector<ListedInstance>& listed) {
  std::vector<InstanceListing> instances;
  Addresses addresses;
  for (const ListedInstance& entry : listed) {
    const auto endpoint = ParseEndpoint(entry.peer_endpoint);
    if (entry.id == kNoInstance || !endpoint) {
      log_.Write(
          LogLevel::kWarn, "instance_list_entry_invalid",
          {{"instance", Value(entry.id)}, {"endpoint", entry.peer_endpoint}});
      continue;
    }
    instances.push_back({entry.id, entry.domain});
    addresses[entry.id] = *endpoint;
  }
  handler_(instances, addresses);
}

}  // namespace sapphirestream
