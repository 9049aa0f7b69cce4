#include "sapphirestream/edge/flow_cache.h"

#include <algorithm>
#include <bit>
#include <span>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {

std::uint64_t FlowHash(V4Endpoint client, V4Endpoint service) noexcept {
  return HashPair(Value(client), Value(service));
}

bool IsOtherFlow(const EdgePacket& packet, const CachedFlow& flow) noexcept {
  constexpr std::uint32_t max_missed_bytes = 1U << 20U;
  return packet.sequence - flow.sequence_end + max_missed_bytes >
         2 * max_missed_bytes;
}

bool IsOpeningOf(const EdgePacket& packet, const CachedFlow& flow,
                 TimePoint now) noexcept {
  // A copy may be late, but not by more than a client waits for an answer.
  constexpr Duration max_delay = std::chrono::seconds(2);
  if (flow.phase == FlowPhase::kOpening) {
    return packet.sequence == flow.sequence_end;
  }
  return flow.phase == FlowPhase::kOpen && !IsOtherFlow(packet, flow) &&
         now - flow.open_since < max_delay;
}

FlowCache::FlowCache(std::size_t capacity)
    : flows_(std::bit_ceil(std::max(capacity, kWays))) {}

CachedFlow* FlowCache::SetOf(V4Endpoint client, V4Endpoint service) noexcept {
  const std::size_t sets = flows_.size() / kWays;
  return &flows_[(FlowHash(client, service) & (sets - 1)) * kWays];
}

CachedFlow* FlowCache::Find(V4Endpoint client, V4Endpoint service) noexcept {
  CachedFlow* const set = SetOf(client, service);
  CachedFlow* const end = set + kWays;
  CachedFlow* const it = std::find_if(set, end, [&](const CachedFlow& flow) {
    return flow.phase != FlowPhase::kNone && flow.client == client &&
           flow.service == service;
  });
  return it == end ? nullptr : it;
}

CachedFlow& FlowCache::Emplace(V4Endpoint client, V4Endpoint service,
                               CachedFlow& evicted) noexcept {
  CachedFlow* const set = SetOf(client, service);
  CachedFlow* const oldest = std::min_element(
      set, set + kWays, [](const CachedFlow& a, const CachedFlow& b) {
        const bool a_used = a.phase != FlowPhase::kNone;
        const bool b_used = b.phase != FlowPhase::kNone;
        return a_used != b_used ? !a_used : a.last_seen < b.last_seen;
      });
  evicted = *oldest;
  *oldest = {};
  oldest->client = client;
  oldest->service = service;
  return *oldest;
}

}  // namespace sapphirestream
