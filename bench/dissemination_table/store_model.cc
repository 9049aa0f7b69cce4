#include "bench/dissemination_table/store_model.h"

namespace sapphirestream::internal {
namespace {

constexpr Duration kWatchTimeout = std::chrono::seconds(30);
// The answer to a watch and the read of a shard take 2 to 6 ms each.
constexpr std::uint64_t kMinReadMs = 4;
constexpr std::uint64_t kReadSpreadMs = 8;
constexpr std::size_t kBodySize = 10'000;
constexpr std::size_t kChangeSize = 300;

}  // namespace

std::string BodyOf(std::uint64_t version) {
  std::string change = std::to_string(version);
  change.resize(kChangeSize, static_cast<char>('b' + version % 20));
  return std::string(kBodySize, 'a')
      .replace(kBodySize / 2, kChangeSize, change);
}

std::uint64_t StoreModel::Accept() { return ++version_; }

void StoreModel::OnTick() {
  const TimePoint now = cluster_.now();
  for (auto& [id, node] : cluster_.nodes()) {
    if (!all_watch_ && !node->dissemination.IsReader()) {
      watches_.erase(id);
      continue;
    }
    auto [it, is_new] = watches_.try_emplace(id);
    Watch& watch = it->second;
    const bool is_waiting = watch.ready_at == TimePoint{};
    if (is_new || (is_waiting && now >= watch.expires)) {
      ++calls_;
      watch.expires = now + kWatchTimeout;
    }
    if (is_waiting && watch.version < version_) {
      ++calls_;
      watch.ready_at = now + std::chrono::milliseconds(
                                 kMinReadMs + random_.Below(kReadSpreadMs));
    }
    if (watch.ready_at == TimePoint{} || now < watch.ready_at) continue;
    watch.version = version_;
    watch.ready_at = {};
    watch.expires = now + kWatchTimeout;
    ++calls_;
    node->dissemination.OnStoreConfiguration(ConfigVersion{version_},
                                             BodyOf(version_), now);
  }
}

}  // namespace sapphirestream::internal
