#include "sapphirestream/target/lookup_table.h"

#include "sapphirestream/target/bounded_rendezvous.h"

namespace sapphirestream {

LookupTable LookupTable::Build(const Service& service, ConfigVersion version) {
  std::vector<internal::WeightedTarget> targets;
  targets.reserve(service.targets.size());
  for (const Target& target : service.targets) {
    if (target.IsInTableOf(version))
      targets.push_back({target.id, target.weight});
  }
  LookupTable table;
  if (!targets.empty()) {
    table.buckets_ = internal::BoundedRendezvous().Assign(targets);
  }
  return table;
}

}  // namespace sapphirestream
