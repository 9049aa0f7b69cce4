// Guards against explanations that differ from the decision, that change it, or
// that hide why a target gets no flows.
#include "sapphirestream/edge/placement_explanation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "sapphirestream/edge/flow_cache.h"
#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture {
  Fixture() {
    RouteConfig config = sample::Routes(1);
    config.services[0].cold_flows_per_s = 5;
    routes.Apply(config);
    for (std::uint64_t key : {1, 2, 3, 4}) Add(key, "a");
    for (std::uint64_t key : {5, 6}) Add(key, "b");
  }
  void Add(std::uint64_t key, const std::string& domain,
           bool propagated = true) {
    targets.Upsert(sample::Target(key, domain), {StoreEra{1}, ++revision},
                   propagated, now);
  }
  EdgeTarget& At(std::uint64_t key) { return *targets.Find(TargetKey{key}); }
  PlacementExplanation Explain() {
    auto result =
        ExplainPlacement(view, {sample::Client(1), sample::kFeed}, now);
    BOOST_REQUIRE(result.has_value());
    return *result;
  }
  std::map<std::uint64_t, SelectionOutcome> Outcomes() {
    std::map<std::uint64_t, SelectionOutcome> outcomes;
    for (const ExplainedTarget& target : Explain().targets) {
      outcomes[Value(target.key)] = target.outcome;
    }
    return outcomes;
  }

  TimePoint now{1000s};
  std::uint64_t revision = 0;
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  TierPlacer placer;
  TargetSelector selector{routes, targets, placer, /*evacuates_domains=*/true};
  PlacementView view{
      .routes = routes, .targets = targets, .selector = selector};
};

BOOST_FIXTURE_TEST_SUITE(placement_explanation, Fixture)

BOOST_AUTO_TEST_CASE(the_selected_target_is_that_of_the_placement) {
  const std::uint64_t hash = FlowHash(sample::Client(1), sample::kFeed);
  const EdgePlacement placed =
      PlaceFlow(targets.OfService(routes.Number("desk")),
                {.kind = RequestKind::kIdempotent,
                 .flow_hash = hash,
                 .now = now,
                 .exclude_cold = true});
  const PlacementExplanation explained = Explain();
  BOOST_TEST((explained.targets.front().key == placed.target->record.key));
  BOOST_TEST(
      (explained.targets.front().outcome == SelectionOutcome::kSelected));
}

BOOST_AUTO_TEST_CASE(all_targets_are_listed_once_in_order) {
  const PlacementExplanation explained = Explain();
  BOOST_REQUIRE_EQUAL(explained.targets.size(), 6U);
  std::set<TargetKey> keys;
  for (std::size_t i = 0; i < 6; ++i) {
    BOOST_TEST(explained.targets[i].rank.value_or(0) == i + 1);
    keys.insert(explained.targets[i].key);
  }
  BOOST_TEST(keys.size() == 6);
  BOOST_TEST((explained.targets[1].outcome == SelectionOutcome::kLowerRank));
  BOOST_TEST((explained.targets[5].outcome == SelectionOutcome::kOtherDomain));
}

BOOST_AUTO_TEST_CASE(each_reason_is_told) {
  At(1).presence = TargetPresence::kGone;
  At(2).record.draining = true;
  At(3).cold_until = now + 5s;
  targets.SetEvacuated("b", true, now);
  Add(7, "a", /*propagated=*/false);
  Add(8, "a");
  At(8).outstanding = 2;
  Add(9, "a");
  At(9).health = TargetHealth(now);
  (void)At(9).health.OnProbe(ProbeOutcome::kRefused, now, now);
  const auto outcomes = Outcomes();
  using enum SelectionOutcome;
  BOOST_TEST((outcomes.at(1) == kGone));
  BOOST_TEST((outcomes.at(2) == kDraining));
  BOOST_TEST((outcomes.at(3) == kCold));
  BOOST_TEST((outcomes.at(4) == kSelected));
  BOOST_TEST((outcomes.at(5) == kEvacuated));
  BOOST_TEST((outcomes.at(7) == kUnproven));
  BOOST_TEST((outcomes.at(8) == kQueue));
  BOOST_TEST((outcomes.at(9) == kUnreachable));
}

BOOST_AUTO_TEST_CASE(a_service_without_eligible_target_has_no_selection) {
  targets.SetEvacuated("a", true, now);
  targets.SetEvacuated("b", true, now);
  const std::string text = ToText(Explain());
  BOOST_TEST(text.find("decision=none reason=no_target") != std::string::npos);
}

// The explanation named no target, although flows were opened there.
BOOST_AUTO_TEST_CASE(a_target_of_an_evacuated_domain_is_a_last_resort) {
  targets.SetEvacuated("a", true, now);
  targets.SetCutOff("b", now + 1s);
  BOOST_TEST(ToText(Explain()).find("reason=last_resort") == std::string::npos);
  view.gaps.evacuations_unconfirmed = true;
  const PlacementQuery query = selector.QueryFor(
      sample::Client(1), sample::kFeed, *routes.Find(sample::kFeed), {}, now);
  const EdgePlacement selected =
      selector.Select(routes.Number("desk"), query, view.gaps);
  BOOST_REQUIRE(selected.target != nullptr);
  BOOST_TEST(selected.target->evacuated);
  const PlacementExplanation explained = Explain();
  BOOST_TEST((explained.targets.front().key == selected.target->record.key));
  BOOST_TEST((explained.targets.front().tier == PlacementTier::kLocalSlot));
  BOOST_TEST(ToText(explained).find(" reason=last_resort\n") !=
             std::string::npos);
  using enum SelectionOutcome;
  BOOST_TEST((explained.targets[1].outcome == kLowerRank));
  BOOST_TEST((explained.targets[5].outcome == kUnproven));
}

BOOST_AUTO_TEST_CASE(cold_targets_are_excluded_as_the_selector_does) {
  targets.ForEach([&](EdgeTarget& target) { target.cold_until = now + 5s; });
  BOOST_TEST(!Explain().targets.front().rank);
  TargetSelector without_evacuation(routes, targets, placer,
                                    /*evacuates_domains=*/false);
  const auto explained = ExplainPlacement(
      {.routes = routes, .targets = targets, .selector = without_evacuation},
      {sample::Client(1), sample::kFeed}, now);
  BOOST_REQUIRE(explained.has_value());
  BOOST_TEST(explained->targets.front().rank.value_or(0) == 1U);
}

// A placer without preview must not be explained by another one's rules.
BOOST_AUTO_TEST_CASE(an_unknown_order_is_told) {
  struct Opaque final : FlowPlacer {
    EdgePlacement Place(const std::vector<EdgeTarget*>& /*targets*/,
                        const PlacementQuery& /*query*/) override {
      BOOST_ERROR("the explanation must not place a flow");
      return {};
    }
  } opaque;
  const TargetSelector opaque_selector(routes, targets, opaque,
                                       /*evacuates_domains=*/false);
  const PlacementView other{
      .routes = routes, .targets = targets, .selector = opaque_selector};
  const auto explained =
      ExplainPlacement(other, {sample::Client(1), sample::kFeed}, now);
  BOOST_REQUIRE(explained.has_value());
  BOOST_TEST(!explained->is_order_known);
  BOOST_TEST(ToText(*explained).find("decision=unknown") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_refusal_by_admission_is_told) {
  struct Refusing final : AdmissionControl {
    AdmissionVerdict Admit(const std::vector<EdgeTarget*>& /*targets*/,
                           const AdmissionQuery& /*query*/) override {
      BOOST_ERROR("the explanation must not count as an opening");
      return AdmissionVerdict::kRefuse;
    }
    [[nodiscard]] AdmissionVerdict Preview(
        const AdmissionQuery& /*query*/) const override {
      return AdmissionVerdict::kRefuse;
    }
  } refusing;
  const PlacementView other{.routes = routes,
                            .targets = targets,
                            .selector = selector,
                            .admission = &refusing};
  const auto explained =
      ExplainPlacement(other, {sample::Client(1), sample::kFeed}, now);
  BOOST_REQUIRE(explained.has_value());
  BOOST_TEST(ToText(*explained).find("decision=refuse reason=overload") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_text_has_a_line_for_each_target) {
  const std::string text = ToText(Explain());
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 7);
  BOOST_TEST(text.starts_with("client=" + ToString(sample::Client(1)) +
                              " route=" + ToString(sample::kFeed)));
}

BOOST_AUTO_TEST_CASE(bad_input_is_an_error) {
  const auto kind_of = [](auto&& call) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<ErrorKind> {
          BOOST_LEAF_CHECK(call());
          return ErrorKind::kNone;
        },
        [](const Error& error) { return error.kind; },
        [] { return ErrorKind::kInternal; });
  };
  for (const char* text : {"", "192.0.2.1", "192.0.2.1:70000", "[::1]:80"}) {
    BOOST_TEST((kind_of([&] {
                  return ParseExplanationQuery(text, "192.0.2.1:80");
                }) == ErrorKind::kWrongType));
    BOOST_TEST((kind_of([&] {
                  return ParseExplanationQuery("192.0.2.1:80", text);
                }) == ErrorKind::kWrongType));
  }
  BOOST_TEST((kind_of([&] {
                return ExplainPlacement(
                    view, {sample::Client(1), sample::kNowhere}, now);
              }) == ErrorKind::kNotFound));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
