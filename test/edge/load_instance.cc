#include "test/edge/load_instance.h"

#include <algorithm>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"
#include "test/edge/sample.h"

namespace sapphirestream::load {
namespace {

// Requests that count as much as what was known before.
constexpr double kPriorRequests = 3;
// Factor of the sums at each call of TakeSamples, or at each own request if
// nothing is exchanged.
constexpr double kDecay = 0.93;
constexpr double kBaselineDecay = 0.98;

}  // namespace

TargetEstimate SimpleTable::Estimate(const EdgeTarget& target,
                                     TimePoint /*now*/) const {
  TargetEstimate estimate{.outstanding = target.outstanding};
  const auto it = entries_.find(target.record.key);
  if (it == entries_.end()) return estimate;
  const Entry& entry = it->second;
  estimate.relative_time =
      (entry.time + kPriorRequests) / (entry.count + kPriorRequests);
  estimate.failure_share =
      entry.failures / (entry.count + entry.failures + kPriorRequests);
  estimate.outstanding += entry.peer_outstanding;
  estimate.weight = 1 / estimate.relative_time;
  return estimate;
}

void SimpleTable::OnRequest(const RequestObservation& observation) {
  const double ms =
      std::chrono::duration<double, std::milli>(observation.took).count();
  Entry& entry = entries_[observation.target];
  TargetSamples samples{.target = observation.target};
  if (observation.answer_bytes < kAnswerBytes) {
    samples.failures = samples.count = 1;
  } else {
    baseline_ms_ = baseline_ms_ == 0 ? ms
                                     : kBaselineDecay * baseline_ms_ +
                                           (1 - kBaselineDecay) * ms;
    samples.count = 1;
    samples.relative_time_permille =
        static_cast<std::uint64_t>(1000 * ms / baseline_ms_);
  }
  entry.fresh.count += samples.count;
  entry.fresh.failures += samples.failures;
  entry.fresh.relative_time_permille += samples.relative_time_permille;
  Add(entry, samples);
}

void SimpleTable::Add(Entry& entry, const TargetSamples& samples) {
  entry.count += samples.count - samples.failures;
  entry.failures += samples.failures;
  entry.time += static_cast<double>(samples.relative_time_permille) / 1000;
}

std::vector<TargetSamples> SimpleTable::TakeSamples(TimePoint /*now*/) {
  std::vector<TargetSamples> taken;
  targets_.ForEach([&](EdgeTarget& target) {
    if (target.outstanding == 0 && !entries_.contains(target.record.key)) {
      return;
    }
    Entry& entry = entries_[target.record.key];
    if (entry.fresh.count > 0 || entry.sent_outstanding != target.outstanding) {
      TargetSamples& samples = taken.emplace_back(entry.fresh);
      samples.target = target.record.key;
      samples.outstanding = target.outstanding;
      entry.sent_outstanding = target.outstanding;
      entry.fresh = {};
    }
    entry.count *= kDecay;
    entry.failures *= kDecay;
    entry.time *= kDecay;
  });
  return taken;
}

void SimpleTable::OnPeerSamples(PeerId peer,
                                const std::vector<TargetSamples>& samples,
                                TimePoint /*now*/) {
  for (const TargetSamples& sample : samples) {
    Entry& entry = entries_[sample.target];
    std::uint32_t& outstanding = entry.peers[peer];
    entry.peer_outstanding += sample.outstanding - outstanding;
    outstanding = sample.outstanding;
    Add(entry, sample);
  }
}

void SimpleTable::ErasePeer(PeerId peer) {
  for (auto& [key, entry] : entries_) {
    if (const auto it = entry.peers.find(peer); it != entry.peers.end()) {
      entry.peer_outstanding -= it->second;
      entry.peers.erase(it);
    }
  }
}

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
                    .answer_bytes = accepted ? SimpleTable::kAnswerBytes : 100,
                    .at = now});
}

}  // namespace sapphirestream::load
