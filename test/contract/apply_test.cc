// Guards against changes that are applied in part, reuse a target id or win
// over an earlier contradicting change.
#include <boost/test/unit_test.hpp>

#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/limits.h"
#include "sapphirestream/contract/touched.h"
#include "test/contract/sample.h"

namespace sapphirestream {
namespace {

using sample::Add;
using sample::kNow;
using sample::Of;
using sample::Remove;

ErrorKind KindOf(const Configuration& before, std::vector<Operation> ops) {
  return sample::ErrorOf([&] { return Apply(before, Of("x", ops), kNow); })
      .kind;
}

BOOST_AUTO_TEST_SUITE(apply)

// Flow records name targets by id: a reused id would send old flows to the
// wrong target.
BOOST_AUTO_TEST_CASE(an_address_added_again_gets_a_new_id) {
  const Configuration after =
      Apply(sample::TwoTargets(), Of("x", {Remove(2), Add(2)}), kNow).value();
  const Target* target = FindTarget(after.services[0], sample::Tunnel(2));
  BOOST_REQUIRE(target != nullptr);
  BOOST_TEST(Value(target->id) == 3U);
  BOOST_TEST(after.next_target_id == 4U);
  BOOST_TEST(Value(after.version) == 2U);
  BOOST_TEST((after.services[0].version == after.version));
}

// From these versions instances derive the former lookup tables; forgetting one
// too early would break the flows that began under it.
BOOST_AUTO_TEST_CASE(removed_targets_and_load_shares_are_kept_for_24_h) {
  const auto later = kNow + kMaxFlowLifetime;
  Preset even;
  even.name = "peak";
  even.load_share_permille = 900;
  Configuration c = sample::TwoTargets();
  c = Apply(c, Of("a", {DrainTarget{"orders", sample::Tunnel(2)}}), kNow)
          .value();
  c = Apply(c, Of("b", {Remove(2), PutPreset{even}, SwitchPreset{"peak"}}),
            kNow)
          .value();
  const Target* gone = FindTarget(c.services[0], TargetId{2});
  BOOST_REQUIRE(gone != nullptr);
  BOOST_TEST(gone->removed);
  BOOST_TEST(Value(gone->drained) == 2U);
  BOOST_TEST(FindTarget(c.services[0], sample::Tunnel(2)) == nullptr);
  BOOST_TEST((c.former_load_shares ==
              std::vector<FormerLoadShare>{{c.version, kNow, 200}}));
  const auto before = later - std::chrono::milliseconds(1);
  c = Apply(c, Of("c", {Add(3)}), before).value();
  BOOST_TEST(c.services[0].targets.size() == 3U);
  c = Apply(c, Of("d", {Add(4)}), later).value();
  BOOST_TEST(FindTarget(c.services[0], TargetId{2}) == nullptr);
  BOOST_TEST(c.former_load_shares.empty());
}

BOOST_AUTO_TEST_CASE(each_operation_refuses_what_does_not_fit) {
  const Configuration c = sample::TwoTargets();
  using enum ErrorKind;
  const CreateService twin{"orders", ServiceId{8},
                           Endpoint{MakeV4(10, 0, 0, 2), 443}};
  BOOST_TEST((KindOf(c, {Add(1)}) == kAlreadyExists));
  BOOST_TEST((KindOf(c, {Remove(3)}) == kNotFound));
  BOOST_TEST((KindOf(c, {DrainTarget{"board", {}}}) == kNotFound));
  BOOST_TEST((KindOf(c, {twin}) == kAlreadyExists));
  BOOST_TEST((KindOf(c, {DeleteService{"orders"}}) == kOutOfRange));
  BOOST_TEST((KindOf(c, {DeletePreset{"ordinary"}}) == kOutOfRange));
  BOOST_TEST((KindOf(c, {SwitchPreset{"none"}}) == kNotFound));
  BOOST_TEST((KindOf(c, {DeleteAnnouncement{"none"}}) == kNotFound));
  BOOST_TEST((KindOf(c, {SetDomains{}}) == kOutOfRange));
  BOOST_TEST((KindOf(c, {}) == kOutOfRange));
}

// A head that outgrows the store's value limit would block every change.
BOOST_AUTO_TEST_CASE(remembered_changes_are_bounded) {
  Configuration c = sample::TwoTargets();
  for (std::size_t i = 0; i < kMaxRecentChanges + 5; ++i) {
    c = Apply(c, Of("id" + std::to_string(i), {SwitchPreset{"peak"}}), kNow)
            .value();
  }
  BOOST_TEST(c.recent_changes.size() == kMaxRecentChanges);
  BOOST_TEST(FindChange(c, "id4") == nullptr);
  BOOST_TEST(FindChange(c, "id5") != nullptr);
  for (ChangeRecord& record : c.recent_changes) record.touched.resize(64);
  TrimRecentChanges(c.recent_changes);
  BOOST_TEST(c.recent_changes.size() == kMaxRecentTouched / 64);
}

// Both orders of every race: the loser must not undo the winner, and changes of
// different objects must both be accepted.
BOOST_AUTO_TEST_CASE(racing_changes_are_judged_by_the_objects_they_touch) {
  struct Case {
    Operation a;
    Operation b;
    bool contradict;
  };
  const PutAnnouncement move{"move", "orders", kNow, kNow, ""};
  const PutAnnouncement other{"other", "orders", kNow, kNow, ""};
  Preset peak;
  peak.name = "peak";
  const Case cases[] = {
      {Add(3), Remove(3), true},
      {Add(3), Remove(2), false},
      {Remove(2), Remove(2), true},
      {Remove(1), Remove(2), false},
      {SwitchPreset{"peak"}, Add(3), false},
      {SwitchPreset{"peak"}, SwitchPreset{"peak"}, true},
      {SwitchPreset{"peak"}, SwitchPreset{"ordinary"}, true},
      {SwitchPreset{"peak"}, PutPreset{peak}, true},
      {DeleteService{"orders"}, Add(3), true},
      {DeleteService{"order"}, Add(3), false},
      {DeleteService{"orders"}, move, true},
      {move, DeleteAnnouncement{"move"}, true},
      {move, other, false},
      {move, Add(3), false},
      {SetDomains{{DomainId{1}}}, SetDomains{{DomainId{2}}}, true},
  };
  for (const Case& c : cases) {
    const auto a = TouchedBy(Of("a", {c.a}));
    const auto b = TouchedBy(Of("b", {c.b}));
    BOOST_TEST(Contradict(a, b) == c.contradict);
    BOOST_TEST(Contradict(b, a) == c.contradict);
  }
}

BOOST_AUTO_TEST_CASE(a_lost_race_names_the_version_that_won) {
  const Configuration base = sample::TwoTargets();
  const auto next = [](const Configuration& c, const std::string& id,
                       const Operation& op) {
    return Apply(c, Of(id, {op}), kNow).value();
  };
  const Configuration removed = next(base, "a", Remove(2));
  const Configuration head = next(removed, "b", Add(3));
  const Change late = Of("late", {Remove(2)});
  const RaceOutcome lost = JudgeRace(late, base.version, head);
  BOOST_TEST((lost.verdict == RaceVerdict::kContradicted));
  BOOST_TEST((lost.winner == removed.version));
  // A change made after seeing the removal is no race.
  BOOST_TEST((JudgeRace(late, removed.version, head).verdict ==
              RaceVerdict::kCompatible));
  Configuration forgetful = head;
  forgetful.recent_changes.erase(forgetful.recent_changes.begin(),
                                 forgetful.recent_changes.end() - 1);
  BOOST_TEST((JudgeRace(late, base.version, forgetful).verdict ==
              RaceVerdict::kForgotten));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
