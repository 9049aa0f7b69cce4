// Baseline policies.
#include "bench/fleet/baseline.h"

#include <utility>

namespace sapphirestream::fleet {
namespace {

// Approximate size on the wire of a replicated flow, with 24 flows per
// datagram.
constexpr std::uint64_t kReplicaBytes = 30;
constexpr Duration kLeaveTime = std::chrono::seconds(10);

}  // namespace

Baseline::Baseline(Policy policy, const FleetOptions& options,
                   const Configuration& configuration, Observer& observer)
    : policy_(policy),
      options_(options),
      observer_(observer),
      random_(options.seed),
      newest_(std::make_shared<const Configuration>(configuration)) {
  for (std::size_t i = 0; i < options_.instances; ++i) {
    Start(static_cast<InstanceId>(i + 1),
          static_cast<DomainId>(i % options_.domains + 1));
  }
}

void Baseline::Start(InstanceId id, DomainId domain) {
  domains_[id] = domain;
  instances_[id] = Instance{};
  Apply(instances_[id], *newest_);
}

void Baseline::Apply(Instance& instance, const Configuration& configuration) {
  for (const Service& service : configuration.services) {
    ServiceState& state = instance.services[service.id];
    state.table = std::make_shared<const LookupTable>(
        LookupTable::Build(service, configuration.version));
    state.placer = std::make_unique<TwoChoicePlacer>(service);
  }
}

void Baseline::Accept(Configuration configuration) {
  newest_ = std::make_shared<const Configuration>(std::move(configuration));
  for (const auto& [id, instance] : instances_) {
    const Duration received =
        std::chrono::duration_cast<Duration>(options_.spread * random_.Unit());
    queue_.After(received, [this, target = id, accepted = newest_] {
      const auto it = instances_.find(target);
      if (it != instances_.end()) Apply(it->second, *accepted);
    });
  }
}

void Baseline::Kill(InstanceId id) { instances_.erase(id); }

void Baseline::Leave(InstanceId id) {
  queue_.After(kLeaveTime, [this, id] { Kill(id); });
}

void Baseline::Pause(InstanceId id, Duration time) {
  const auto it = instances_.find(id);
  if (it != instances_.end()) it->second.paused_until = queue_.now() + time;
}

void Baseline::Report(const LoadReport& report) {
  for (auto& [id, instance] : instances_) {
    for (auto& [service, state] : instance.services) {
      state.placer->Report(report, queue_.now());
    }
  }
}

std::vector<InstanceId> Baseline::live() const {
  std::vector<InstanceId> ids;
  for (const auto& [id, instance] : instances_) ids.push_back(id);
  return ids;
}

std::size_t Baseline::records() const {
  std::size_t sum = 0;
  for (const auto& [id, instance] : instances_) sum += instance.flows.size();
  return sum;
}

void Baseline::Deliver(InstanceId to, const PacketInFlight& packet) {
  const auto it = instances_.find(to);
  if (it == instances_.end()) return;
  const Duration wait = it->second.paused_until - queue_.now();
  if (wait <= Duration::zero()) {
    Handle(to, packet);
  } else {
    queue_.After(wait, [this, to, packet] { Handle(to, packet); });
  }
}

void Baseline::Handle(InstanceId at, const PacketInFlight& packet) {
  const auto it = instances_.find(at);
  if (it == instances_.end()) return;
  Instance& instance = it->second;
  const FlowKey& key = packet.packet.key;
  const auto known = instance.flows.find(key);
  TargetId target = known != instance.flows.end() ? known->second : kNoTarget;
  if (target == kNoTarget) {
    target = Place(instance, packet.packet);
    if (target == kNoTarget) return;
    if (policy_ != Policy::kHash) instance.flows[key] = target;
    const bool is_first =
        packet.packet.opens() || key.protocol == Protocol::kUdp;
    if (policy_ == Policy::kTwoChoicesReplicated && is_first) {
      Replicate(at, key, target);
    }
  }
  if (packet.packet.fin || packet.packet.rst) {
    instance.services.at(key.service).placer->End(target, queue_.now());
    instance.flows.erase(key);
  }
  observer_.OnForwarded(packet, target, at);
}

TargetId Baseline::Place(Instance& instance, const Packet& packet) {
  ServiceState& state = instance.services.at(packet.key.service);
  const TargetId hash_target = state.table->At(packet.hash);
  const bool is_first = packet.opens() || packet.key.protocol == Protocol::kUdp;
  const bool uses_load = policy_ == Policy::kTwoChoicesLocal ||
                         policy_ == Policy::kTwoChoicesReplicated;
  if (!uses_load || !is_first) return hash_target;
  const Placement placement = state.placer->Place(
      {.flow_hash = packet.hash, .hash_target = hash_target}, queue_.now());
  return placement.kind == PlacementKind::kPlaced ? placement.target
                                                  : hash_target;
}

void Baseline::Replicate(InstanceId from, const FlowKey& key, TargetId target) {
  for (const auto& [id, instance] : instances_) {
    if (id == from) continue;
    control_bytes_ += kReplicaBytes;
    if (IsCut(domains_.at(from), domains_.at(id))) continue;
    if (random_.Unit() < options_.loss) continue;
    const Duration delay = domains_.at(from) == domains_.at(id)
                               ? options_.delay_inside
                               : options_.delay_between;
    queue_.After(delay, [this, to = id, key, target] {
      const auto it = instances_.find(to);
      if (it != instances_.end()) it->second.flows[key] = target;
    });
  }
}

}  // namespace sapphirestream::fleet
