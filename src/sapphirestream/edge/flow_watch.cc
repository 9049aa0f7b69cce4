#include "sapphirestream/edge/flow_watch.h"

#include <algorithm>
#include <bit>
#include <span>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {

std::uint64_t FlowHash(V4Endpoint client, V4Endpoint service) noexcept {
  return HashPair(Value(client), Value(service));
}

FlowWatch::FlowWatch(std::size_t capacity)
    : flows_(std::bit_ceil(std::max(capacity, kWays))) {}

WatchedFlow* FlowWatch::SetOf(V4Endpoint client, V4Endpoint service) noexcept {
  const std::size_t sets = flows_.size() / kWays;
  return &flows_[(FlowHash(client, service) & (sets - 1)) * kWays];
}

WatchedFlow* FlowWatch::Find(V4Endpoint client, V4Endpoint service) noexcept {
  WatchedFlow* const set = SetOf(client, service);
  WatchedFlow* const end = set + kWays;
  WatchedFlow* const it = std::find_if(set, end, [&](const WatchedFlow& flow) {
    return flow.phase != FlowPhase::kNone && flow.client == client &&
           flow.service == service;
  });
  return it == end ? nullptr : it;
}

WatchedFlow& FlowWatch::Emplace(V4Endpoint client, V4Endpoint service,
                                WatchedFlow& evicted) noexcept {
  WatchedFlow* const set = SetOf(client, service);
  WatchedFlow* const oldest = std::min_element(
      set, set + kWays, [](const WatchedFlow& a, const WatchedFlow& b) {
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
