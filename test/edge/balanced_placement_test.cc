// Guards against placing flows on loaded, slow or ineligible targets, against
// unnecessary traffic between failure domains, and against different targets
// for the copies of an opening packet.
#include "sapphirestream/edge/balanced_placement.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "sapphirestream/base/id.h"
#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

class FakePerformance final : public PerformanceSource {
 public:
  [[nodiscard]] TargetEstimate Estimate(const EdgeTarget& target,
                                        TimePoint /*now*/) const override {
    const auto it = estimates.find(Value(target.record.key));
    return it == estimates.end() ? TargetEstimate{} : it->second;
  }
  std::map<std::uint64_t, TargetEstimate> estimates;
};

// Targets 1 to 6 are local, 7 to 18 are in two other domains.
struct Fixture {
  Fixture() {
    routes.Apply(sample::Routes(1));
    for (std::uint64_t key = 1; key <= 18; ++key) {
      Add(sample::Target(key, key <= 6 ? "a" : key <= 12 ? "b" : "c"));
    }
  }
  void Add(const TargetRecord& record) {
    targets.Upsert(record, {StoreEra{1}, ++revision}, /*propagated=*/true, now);
  }
  EdgePlacement Place(std::uint64_t flow,
                      RequestKind kind = RequestKind::kIdempotent) {
    return placer.Place(targets.OfService(routes.Number("desk")),
                        {.kind = kind, .flow_hash = flow, .now = now});
  }
  EdgeTarget& At(std::uint64_t key) { return *targets.Find(TargetKey{key}); }
  std::uint64_t KeyFor(std::uint64_t flow) {
    return Value(Place(flow).target->record.key);
  }
  void SetLocal(const TargetEstimate& estimate) {
    for (std::uint64_t key = 1; key <= 6; ++key) {
      performance.estimates[key] = estimate;
    }
  }
  // Returns the share of flows that leave the domain over some time.
  double RemoteShare(Duration time,
                     RequestKind kind = RequestKind::kIdempotent) {
    double remote = 0;
    double all = 0;
    for (const TimePoint end = now + time; now < end; now += 2ms) {
      remote += Place(++flow_number, kind).target->is_local ? 0 : 1;
      ++all;
    }
    return remote / all;
  }

  TimePoint now{1000s};
  std::uint64_t revision = 0;
  std::uint64_t flow_number = 0;
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  FakePerformance performance;
  BalancedPlacer placer{performance};
};

BOOST_FIXTURE_TEST_SUITE(balanced_placement, Fixture)

BOOST_AUTO_TEST_CASE(without_observations_flows_are_placed_as_before) {
  for (std::uint64_t flow = 0; flow < 1000; ++flow) {
    const EdgePlacement plain =
        PlaceFlow(targets.OfService(routes.Number("desk")),
                  {.flow_hash = flow, .now = now});
    const EdgePlacement placement = Place(flow);
    BOOST_TEST(placement.target == plain.target);
    BOOST_TEST((placement.tier == PlacementTier::kLocalSlot));
  }
}

BOOST_AUTO_TEST_CASE(flows_follow_the_weights) {
  performance.estimates[1].weight = 0.2;
  std::map<std::uint64_t, double> flows;
  for (std::uint64_t flow = 0; flow < 30000; ++flow) ++flows[KeyFor(flow)];
  BOOST_TEST(flows[1] == 30000 * 0.2 / 5.2, boost::test_tools::tolerance(0.1));
  BOOST_TEST(flows[2] == 30000 * 1.0 / 5.2, boost::test_tools::tolerance(0.1));
}

// Counts of peers are outdated: if all instances avoided a target that looks
// loaded, they would overload the others.
BOOST_AUTO_TEST_CASE(flows_leave_a_target_that_peers_load_by_degrees) {
  const auto flows_with = [this](std::uint32_t outstanding) {
    performance.estimates[1].outstanding = outstanding;
    int flows = 0;
    for (std::uint64_t flow = 0; flow < 6000; ++flow) {
      if (KeyFor(flow) == 1) ++flows;
    }
    return flows;
  };
  const int idle = flows_with(0);
  BOOST_TEST(flows_with(2) > idle * 0.7);
  BOOST_TEST(flows_with(2) < idle);
  BOOST_TEST(flows_with(9) < idle * 0.6);
  BOOST_TEST(flows_with(19) < idle * 0.1);
  // It can't have served them in the meantime.
  performance.estimates[1].relative_time = 5;
  BOOST_TEST(flows_with(3) == 0);
}

BOOST_AUTO_TEST_CASE(a_target_that_this_instance_keeps_busy_is_avoided) {
  At(1).outstanding = 2;
  for (std::uint64_t flow = 0; flow < 1000; ++flow) {
    BOOST_TEST(KeyFor(flow) != 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_fast_is_not_preferred_as_idle) {
  SetLocal({.outstanding = 1});
  performance.estimates[1] = {.relative_time = 1, .failure_share = 0.8};
  const auto flows_of = [this](std::uint64_t key) {
    int flows = 0;
    for (std::uint64_t flow = 0; flow < 6000; ++flow) {
      if (KeyFor(flow) == key) ++flows;
    }
    return flows;
  };
  BOOST_TEST(flows_of(1) < 1000);
}

// Copies of an opening packet at an instance whose counts differ a little.
BOOST_AUTO_TEST_CASE(similar_costs_mostly_keep_the_first_target) {
  std::vector<std::uint64_t> keys;
  SetLocal({.outstanding = 8});
  for (std::uint64_t flow = 0; flow < 1000; ++flow) {
    keys.push_back(KeyFor(flow));
  }
  performance.estimates[2].outstanding = 9;
  performance.estimates[3].relative_time = 1.1;
  performance.estimates[5].outstanding = 7;
  int kept = 0;
  for (std::uint64_t flow = 0; flow < 1000; ++flow) {
    if (KeyFor(flow) == keys[flow]) ++kept;
  }
  BOOST_TEST(kept > 900);
}

BOOST_AUTO_TEST_CASE(an_excluded_target_is_not_selected) {
  for (std::uint64_t flow = 0; flow < 100; ++flow) {
    const TargetKey first = Place(flow).target->record.key;
    const EdgePlacement next =
        placer.Place(targets.OfService(routes.Number("desk")),
                     {.flow_hash = flow, .now = now, .excluded = first});
    BOOST_TEST((next.target->record.key != first));
  }
}

BOOST_AUTO_TEST_CASE(a_new_target_is_used_only_if_there_is_no_other) {
  targets.Upsert(sample::Target(19, "a"), {StoreEra{1}, ++revision},
                 /*propagated=*/false, now);
  for (std::uint64_t flow = 0; flow < 200; ++flow) {
    BOOST_TEST(KeyFor(flow) != 19U);
  }
  for (const char* domain : {"b", "c"}) {
    targets.SetEvacuated(domain, true, now);
  }
  for (std::uint64_t key = 1; key <= 6; ++key) {
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, std::nullopt, now);
  }
  BOOST_TEST((Place(1).tier == PlacementTier::kUnproven));
  targets.Erase(TargetKey{19}, {StoreEra{1}, ++revision}, std::nullopt, now);
  BOOST_TEST(Place(1).target == nullptr);
}

BOOST_AUTO_TEST_CASE(a_domain_without_eligible_targets_uses_others_at_once) {
  targets.SetEvacuated("a", true, now);
  performance.estimates[7].weight = 0.1;
  std::map<std::uint64_t, int> flows;
  for (std::uint64_t flow = 0; flow < 12000; ++flow) ++flows[KeyFor(flow)];
  BOOST_TEST(flows.size() == 12U);
  BOOST_TEST(flows[7] * 5 < flows[8]);
}

BOOST_AUTO_TEST_CASE(a_saturated_domain_moves_a_growing_share) {
  for (std::uint64_t key = 1; key <= 6; ++key) At(key).outstanding = 8;
  BOOST_TEST(RemoteShare(100ms) < 0.1);
  RemoteShare(2s);
  BOOST_TEST(RemoteShare(1s) > 0.8);
  for (std::uint64_t key = 1; key <= 6; ++key) At(key).outstanding = 0;
  BOOST_TEST(RemoteShare(1s) == 0);
  BOOST_TEST(
      placer.SpillShare(routes.Number("desk"), RequestKind::kIdempotent) < 0.7);
}

BOOST_AUTO_TEST_CASE(overloaded_domains_keep_their_flows) {
  for (std::uint64_t key = 1; key <= 18; ++key) At(key).outstanding = 8;
  RemoteShare(5s);
  BOOST_TEST(RemoteShare(5s) < 0.05);
}

// Also with a free slot elsewhere, an upload waits for its own domain.
BOOST_AUTO_TEST_CASE(uploads_leave_the_domain_later) {
  SetLocal({.outstanding = 5});
  BOOST_TEST(RemoteShare(5s, RequestKind::kUpload) == 0);
  BOOST_TEST(RemoteShare(5s, RequestKind::kIdempotent) > 0.1);
}

BOOST_AUTO_TEST_CASE(a_single_local_target_is_used_until_it_is_full) {
  for (std::uint64_t key = 2; key <= 6; ++key) {
    targets.Erase(TargetKey{key}, {StoreEra{1}, ++revision}, std::nullopt, now);
  }
  BOOST_TEST(RemoteShare(1s) == 0);
  performance.estimates[1].outstanding = 9;
  RemoteShare(2s);
  BOOST_TEST(RemoteShare(1s) > 0.3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
