// Delta-coded placement counts.
#include "sapphirestream/flow/count_exchange.h"

#include "sapphirestream/flow/steering.h"

namespace sapphirestream {
namespace {

constexpr Duration kFullInterval = std::chrono::seconds(5);
// Counts that fit one datagram; the rest follows with the next message.
constexpr std::size_t kMaxCounts = 128;

}  // namespace

CountExchange::CountExchange(Duration interval, SteeringSink& sink)
    : interval_(interval), sink_(sink) {}

void CountExchange::OnTimer(const Snapshot& snapshot, const ServiceView& view,
                            const Placer& placer, TimePoint now) {
  State& state = services_[view.service.id];
  if (now < state.next_changes) return;
  state.next_changes = now + interval_;
  const bool is_full = now >= state.next_full;
  if (is_full) {
    state.next_full = now + kFullInterval;
    state.sent.clear();
  }
  PlacementCounts message{.service = view.service.id, .counts = {}};
  for (const PlacementCount& count : placer.OwnCounts()) {
    if (message.counts.size() == kMaxCounts) break;
    const auto [it, is_new] = state.sent.try_emplace(count.target, 0);
    if (!is_new && it->second == count.open) continue;
    if (is_new && count.open == 0 && !is_full) continue;
    it->second = count.open;
    message.counts.push_back(count);
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

void CountExchange::Erase(ServiceId service) { services_.erase(service); }

}  // namespace sapphirestream
