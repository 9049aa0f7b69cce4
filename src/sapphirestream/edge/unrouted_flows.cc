#include "sapphirestream/edge/unrouted_flows.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sapphirestream/edge/flow_cache.h"
#include "sapphirestream/edge/route_table.h"

namespace sapphirestream {
namespace {

// Total, so that the order does not depend on the container.
bool IsEarlier(const UnroutedFlow& a, const UnroutedFlow& b) {
  return std::tuple(a.known_since, Value(a.client), Value(a.service)) <
         std::tuple(b.known_since, Value(b.client), Value(b.service));
}

}  // namespace

std::size_t UnroutedFlows::KeyHash::operator()(const Key& key) const noexcept {
  return FlowHash(key.client, key.service);
}

bool UnroutedFlows::Insert(UnroutedFlow flow) {
  const Key key{flow.client, flow.service};
  if (flows_.size() >= kMaxSize && !flows_.contains(key)) return false;
  flows_.insert_or_assign(key, std::move(flow));
  return true;
}

std::vector<UnroutedFlow> UnroutedFlows::Take(const RouteTable& routes,
                                              TimePoint routes_complete_until,
                                              TimePoint now) {
  std::vector<UnroutedFlow> taken;
  for (auto it = flows_.begin(); it != flows_.end();) {
    UnroutedFlow& flow = it->second;
    const bool is_silent = now - flow.last_seen >= kMaxSilence;
    const bool waits = routes.Find(flow.service) == nullptr &&
                       !IsRouteDropped(flow.known_since, routes_complete_until);
    if (!is_silent && waits) {
      ++it;
      continue;
    }
    if (!is_silent) taken.push_back(std::move(flow));
    it = flows_.erase(it);
  }
  std::sort(taken.begin(), taken.end(), IsEarlier);
  return taken;
}

}  // namespace sapphirestream
