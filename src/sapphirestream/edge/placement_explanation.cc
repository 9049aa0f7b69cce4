#include "sapphirestream/edge/placement_explanation.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

#include "sapphirestream/base/duration.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/edge/edge_log.h"

namespace sapphirestream {
namespace {

std::optional<V4Endpoint> ParseV4(std::string_view text) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  return endpoint ? ToV4(*endpoint) : std::nullopt;
}

// Returns why a target must not be selected.
SelectionOutcome ExclusionOf(const EdgeTarget& target) {
  if (target.claim_status != ClaimStatus::kHeld) {
    return SelectionOutcome::kContested;
  }
  if (target.presence == TargetPresence::kGone) return SelectionOutcome::kGone;
  if (target.record.draining) return SelectionOutcome::kDraining;
  if (target.evacuated) return SelectionOutcome::kEvacuated;
  if (target.health.state() == Reachability::kUnreachable) {
    return SelectionOutcome::kUnreachable;
  }
  return SelectionOutcome::kCold;
}

// Whether all slots are in use, as far as the placement knows.
bool IsFull(const ExplainedTarget& target, const PlacementView& view) {
  if (view.performance != nullptr) {
    return target.estimate.outstanding >= std::max(1U, target.slots);
  }
  return target.tier == PlacementTier::kLocalQueue ||
         target.tier == PlacementTier::kRemoteQueue;
}

// Returns why an eligible target is not selected.
SelectionOutcome Compare(const ExplainedTarget& target,
                         const ExplainedTarget& selected,
                         const PlacementView& view) {
  if (target.tier == PlacementTier::kUnproven) {
    return SelectionOutcome::kUnproven;
  }
  if (IsFull(target, view) && !IsFull(selected, view)) {
    return SelectionOutcome::kQueue;
  }
  if (!target.is_local && selected.is_local) {
    return SelectionOutcome::kOtherDomain;
  }
  return SelectionOutcome::kLowerRank;
}

ExplainedTarget Describe(const EdgeTarget& target, PlacementTier tier,
                         const PlacementView& view, TimePoint now) {
  ExplainedTarget result;
  result.key = target.record.key;
  result.domain = target.record.domain;
  result.is_local = target.is_local;
  result.tier = tier;
  if (tier == PlacementTier::kNone) result.outcome = ExclusionOf(target);
  if (tier == PlacementTier::kUnproven) {
    result.outcome = SelectionOutcome::kUnproven;
  }
  result.slots = target.record.slots;
  result.own_outstanding = target.outstanding;
  if (view.performance != nullptr) {
    result.estimate = view.performance->Estimate(target, now);
  }
  result.cold_for = std::max(Duration::zero(), target.cold_until - now);
  return result;
}

// Appends the targets in the order in which they would be selected, and removes
// them from `rest`.
void AddRanked(const PlacementView& view, ServiceNumber service,
               const PlacementQuery& query, std::vector<EdgeTarget*>& rest,
               PlacementExplanation& explanation) {
  for (std::size_t rank = 1; rank <= kMaxRanked; ++rank) {
    const std::optional<EdgePlacement> next =
        view.selector.Preview(service, rest, query, view.gaps);
    explanation.is_order_known = next.has_value();
    if (!next || next->target == nullptr) return;
    ExplainedTarget target =
        Describe(*next->target, next->tier, view, query.now);
    target.rank = rank;
    if (rank == 1) {
      target.outcome = SelectionOutcome::kSelected;
      explanation.is_last_resort = next->target->evacuated;
    } else {
      target.outcome = Compare(target, explanation.targets.front(), view);
    }
    explanation.targets.push_back(std::move(target));
    std::erase(rest, next->target);
  }
}

void AddOthers(const PlacementView& view, ServiceNumber service,
               const PlacementQuery& query,
               const std::vector<EdgeTarget*>& rest,
               PlacementExplanation& explanation) {
  const bool has_selected = !explanation.targets.empty();
  PlacementQuery local_query = query;
  local_query.allow_evacuated =
      view.selector.AllowsEvacuated(service, query.now, view.gaps);
  for (const EdgeTarget* const target : rest) {
    const PlacementTier tier =
        TierOf(*target, target->is_local ? local_query : query);
    ExplainedTarget other = Describe(*target, tier, view, query.now);
    if (has_selected && tier != PlacementTier::kNone) {
      other.outcome = Compare(other, explanation.targets.front(), view);
    }
    explanation.targets.push_back(std::move(other));
  }
}

std::string DecisionOf(const PlacementExplanation& explanation) {
  if (explanation.admission == AdmissionVerdict::kRefuse) {
    return "decision=refuse reason=overload";
  }
  if (!explanation.is_order_known) return "decision=unknown";
  if (explanation.targets.empty() ||
      explanation.targets.front().outcome != SelectionOutcome::kSelected) {
    return "decision=none reason=no_target";
  }
  return "decision=place target=" + ToString(explanation.targets.front().key) +
         (explanation.is_last_resort ? " reason=last_resort" : "");
}

void Write(std::ostream& out, const ExplainedTarget& target) {
  out << "target=" << ToString(target.key) << " rank=";
  if (target.rank) {
    out << *target.rank;
  } else {
    out << "none";
  }
  out << " outcome=" << Name(target.outcome) << " tier=" << Name(target.tier)
      << " domain=" << target.domain << " slots=" << target.slots
      << " own_outstanding=" << target.own_outstanding
      << " outstanding=" << target.estimate.outstanding
      << " relative_time=" << target.estimate.relative_time
      << " failure_share=" << target.estimate.failure_share
      << " weight=" << target.estimate.weight
      << " cold_ms=" << Milliseconds(target.cold_for) << '\n';
}

}  // namespace

std::string_view Name(SelectionOutcome outcome) noexcept {
  constexpr std::array<std::string_view, 11> names{
      "gone",         "contested",  "draining", "evacuated",
      "unreachable",  "cold",       "unproven", "queue",
      "other_domain", "lower_rank", "selected"};
  return names[static_cast<std::size_t>(outcome)];
}

leaf::result<ExplanationQuery> ParseExplanationQuery(std::string_view client,
                                                     std::string_view route) {
  const std::optional<V4Endpoint> client_address = ParseV4(client);
  if (!client_address) {
    return MakeError(ErrorKind::kWrongType,
                     "client is not an IPv4 address with port, such as "
                     "192.0.2.1:40000");
  }
  const std::optional<V4Endpoint> route_address = ParseV4(route);
  if (!route_address) {
    return MakeError(ErrorKind::kWrongType,
                     "route is not an IPv4 address with port, such as "
                     "192.0.2.1:80");
  }
  return ExplanationQuery{*client_address, *route_address};
}

leaf::result<PlacementExplanation> ExplainPlacement(
    const PlacementView& view, const ExplanationQuery& query, TimePoint now) {
  const Route* const route = view.routes.Find(query.route);
  if (route == nullptr) {
    return MakeError(ErrorKind::kNotFound,
                     "no route with the address " + ToString(query.route));
  }
  const PlacementQuery placement = view.selector.QueryFor(
      query.client, query.route, *route, TargetKey{}, now);
  const ServiceNumber service = route->Pick(placement.flow_hash);
  PlacementExplanation explanation;
  explanation.client = query.client;
  explanation.route = query.route;
  explanation.service = view.routes.NameOf(service);
  explanation.flow_hash = placement.flow_hash;
  explanation.objective = route->objective;
  if (view.admission != nullptr) {
    explanation.admission =
        view.admission->Preview({.client = query.client,
                                 .route = query.route,
                                 .service = service,
                                 .objective = route->objective,
                                 .flow_hash = placement.flow_hash,
                                 .now = now});
  }
  std::vector<EdgeTarget*> rest = view.targets.OfService(service);
  AddRanked(view, service, placement, rest, explanation);
  AddOthers(view, service, placement, rest, explanation);
  return explanation;
}

std::string ToText(const PlacementExplanation& explanation) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << "client=" << ToString(explanation.client)
      << " route=" << ToString(explanation.route)
      << " service=" << explanation.service
      << " priority=" << explanation.objective.priority << " target_latency_ms="
      << Milliseconds(explanation.objective.target_latency)
      << " timeout_ms=" << Milliseconds(explanation.objective.timeout) << ' '
      << DecisionOf(explanation) << '\n';
  for (const ExplainedTarget& target : explanation.targets) Write(out, target);
  return std::move(out).str();
}

}  // namespace sapphirestream
