#include "sapphirestream/target/lookup_table.h"

#include "sapphirestream/target/bounded_rendezvous.h"

namespace sapphirestream {

namespace {

constexpr std::size_t kMaxNarrow = 256;

}  // namespace

LookupTable LookupTable::Build(const Service& service, ConfigVersion version) {
  std::vector<internal::WeightedTarget> targets;
  targets.reserve(service.targets.size());
  for (const Target& target : service.targets) {
    if (!target.IsInTableOf(version)) continue;
    targets.push_back({target.id, target.weight});
  }
  LookupTable table;
  if (targets.empty()) return table;
  const std::vector<std::uint16_t> owners =
      internal::BoundedRendezvous().Assign(targets);
  table.targets_.reserve(targets.size());
  for (const auto& target : targets) table.targets_.push_back(target.id);
  if (targets.size() <= kMaxNarrow) {
    table.narrow_.assign(owners.begin(), owners.end());
  } else {
    table.wide_ = owners;
  }
  return table;
}

std::vector<TargetId> LookupTable::buckets() const {
  std::vector<TargetId> buckets(size());
  for (std::size_t b = 0; b < buckets.size(); ++b) buckets[b] = TargetOf(b);
  return buckets;
}

}  // namespace sapphirestream
