#include "test/edge/load_instance.h"

#include <algorithm>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"
#include "test/edge/sample.h"

namespace sapphirestream::load {
namespace {

constexpr std::uint32_t kAnswerBytes = 2000;
constexpr std::uint32_t kRejectionBytes = 100;

}  // namespace

SimulatedInstance::SimulatedInstance(PeerId id, Policy policy,
                                     const std::vector<TargetRecord>& records,
                                     const std::string& domain)
    : id_(id), policy_(policy), targets_(routes_, domain) {
  routes_.Apply(sample::Routes(1));
  for (const TargetRecord& record : records) {
    targets_.Upsert(record, {StoreEra{1}, 1}, /*propagated=*/true, TimePoint{});
  }
  all_ = &targets_.OfService(routes_.Number("desk"));
  if (policy != Policy::kSubsets) return;
  for (EdgeTarget* const target : *all_) {
    if (target->is_local) subset_.push_back(target);
  }
  const auto rank = [id](const EdgeTarget* target) {
    return HashPair(Value(id), Value(target->record.key));
  };
  std::sort(subset_.begin(), subset_.end(),
            [&](const EdgeTarget* a, const EdgeTarget* b) {
              return rank(a) < rank(b);
            });
  subset_.resize(std::min(subset_.size(), kSubsetSize));
}

EdgeTarget* SimulatedInstance::PlainHash(std::uint64_t flow_hash) const {
  const auto rank = [flow_hash](const EdgeTarget* target) {
    return HashPair(flow_hash, Value(target->record.key));
  };
  return *std::min_element(all_->begin(), all_->end(),
                           [&](const EdgeTarget* a, const EdgeTarget* b) {
                             return rank(a) < rank(b);
                           });
}

EdgeTarget* SimulatedInstance::Choose(std::uint64_t flow_hash, TimePoint now) {
  const PlacementQuery query{
      .kind = RequestKind::kIdempotent, .flow_hash = flow_hash, .now = now};
  switch (policy_) {
    case Policy::kPlainHash:
      return PlainHash(flow_hash);
    case Policy::kPlaceFlow:
      return PlaceFlow(*all_, query).target;
    case Policy::kSubsets:
      return PlaceFlow(subset_, query).target;
    case Policy::kBalanced:
      break;
  }
  return balanced_.Place(*all_, query).target;
}

void SimulatedInstance::OnFinished(TargetKey key, Duration took, bool accepted,
                                   TimePoint now) {
  EdgeTarget& target = *targets_.Find(key);
  --target.outstanding;
  if (policy_ != Policy::kBalanced) return;
  table_.OnRequest({.target = key,
                    .incarnation = target.record.incarnation,
                    .route = sample::kFeed,
                    .took = took,
                    .answer_bytes = accepted ? kAnswerBytes : kRejectionBytes,
                    .at = now});
}

}  // namespace sapphirestream::load
