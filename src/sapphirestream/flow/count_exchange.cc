// Delta-encoded placement counts with periodic full updates.
#include "sapphirestream/flow/count_exchange.h"

#include "sapphirestream/flow/steering.h"

namespace sapphirestream {
namespace {

// Must be shorter than the 3 s after which the counts of a silent peer are
// dropped.
constexpr Duration kFullInterval = std::chrono::seconds(2);
constexpr int kStreamIntervalFactor = 5;
// Counts that fit one datagram; the remainder follows with the next message.
constexpr std::size_t kMaxCounts = 128;

}  // namespace

CountExchange::CountExchange(Duration interval, SteeringSink& sink)
    : interval_(interval), sink_(sink) {}

void CountExchange::OnTimer(const Snapshot& snapshot, const ServiceView& view,
                            const Placer& placer, TimePoint now) {
  State& state = services_[view.service.id];
  if (now < state.next_changes) return;
  // Counts of streams change slowly, so they are sent less often.
  const bool is_stream = view.service.kind == FlowKind::kStream;
  state.next_changes =
      now + interval_ * (is_stream ? kStreamIntervalFactor : 1);
  const bool is_full = now >= state.next_full;
  if (is_full) state.next_full = now + kFullInterval;
  // OwnCounts omits targets without open flows, so a count that has dropped to
  // zero has to be sent explicitly once.
  Counts open;
  for (const PlacementCount& count : placer.OwnCounts()) {
    open[count.target] = count.open;
  }
  for (const auto& [target, count] : state.sent) open.try_emplace(target, 0);
  PlacementCounts message{.service = view.service.id, .counts = {}};
  for (const auto& [target, count] : open) {
    if (message.counts.size() == kMaxCounts) break;
    const auto [it, is_new] = state.sent.try_emplace(target, 0);
    if (!is_full && it->second == count) continue;
    it->second = count;
    message.counts.push_back({target, count});
  }
  if (message.counts.empty()) return;
  for (const DomainSchedulers& schedulers : view.schedulers) {
    if (schedulers.first == kNoInstance) continue;
    if (schedulers.first == snapshot.self) continue;
    sink_.Send(schedulers.first, message);
  }
}

void CountExchange::OnCounts(InstanceId from, const PlacementCounts& message,
                             Placer& placer, TimePoint now) {
  Counts& known = services_[message.service].received[from];
  for (const PlacementCount& count : message.counts) {
    if (count.open == 0) {
      known.erase(count.target);
    } else {
      known[count.target] = count.open;
    }
  }
  std::vector<PlacementCount> all;
  all.reserve(known.size());
  for (const auto& [target, open] : known) all.push_back({target, open});
  placer.SetPeerCounts(from, all, now);
}

void CountExchange::ErasePeer(ServiceId service, InstanceId peer) {
  const auto it = services_.find(service);
  if (it != services_.end()) it->second.received.erase(peer);
}

void CountExchange::Erase(ServiceId service) { services_.erase(service); }

}  // namespace sapphirestream
