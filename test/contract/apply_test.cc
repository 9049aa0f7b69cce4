// Guards against changes that are applied in part, reuse a target id or
// override an earlier conflicting change.
#include <boost/test/unit_test.hpp>

#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/limits.h"
#include "sapphirestream/contract/touched.h"
#include "test/contract/sample.h"

namespace sapphirestream {
namespace {

using sample::Add;
using sample::kNow;
using sample::MakeChange;
using sample::Remove;

ErrorKind KindOf(const Configuration& before, std::vector<Operation> ops) {
  return sample::ErrorOf(
             [&] { return Apply(before, MakeChange("x", ops), kNow); })
      .kind;
}

BOOST_AUTO_TEST_SUITE(apply)

// Flow records refer to targets by id, so a reused id would send old flows to
// the wrong target.
BOOST_AUTO_TEST_CASE(an_address_added_again_gets_a_new_id) {
  const Configuration after =
      Apply(sample::TwoTargets(), MakeChange("x", {Remove(2), Add(2)}), kNow)
          .value();
  const Target* target = FindTarget(after.services[0], sample::Tunnel(2));
  BOOST_REQUIRE(target != nullptr);
  BOOST_TEST(Value(target->id) == 3U);
  BOOST_TEST(after.next_target_id == 4U);
  BOOST_TEST(Value(after.version) == 2U);
  BOOST_TEST((after.services[0].version == after.version));
}

// Instances derive the former lookup tables from these versions. Deleting one
// too early would break flows that started under it.
BOOST_AUTO_TEST_CASE(removed_targets_and_load_shares_are_kept_for_24_h) {
  const auto later = kNow + kMaxFlowLifetime;
  Preset even;
  even.name = "peak";
  even.load_share_permille = 900;
  Configuration c = sample::TwoTargets();
  c = Apply(c, MakeChange("a", {DrainTarget{"orders", sample::Tunnel(2)}}),
            kNow)
          .value();
  c = Apply(c,
            MakeChange("b", {Remove(2), PutPreset{even}, SwitchPreset{"peak"}}),
            kNow)
          .value();
  const Target* removed_target = FindTarget(c.services[0], TargetId{2});
  BOOST_REQUIRE(removed_target != nullptr);
  BOOST_TEST(removed_target->removed);
  BOOST_TEST(Value(removed_target->drained) == 2U);
  BOOST_TEST(FindTarget(c.services[0], sample::Tunnel(2)) == nullptr);
  BOOST_TEST((c.former_load_shares ==
              std::vector<FormerLoadShare>{{c.version, kNow, 200}}));
  const auto before = later - std::chrono::milliseconds(1);
  c = Apply(c, MakeChange("c", {Add(3)}), before).value();
  BOOST_TEST(c.services[0].targets.size() == 3U);
  c = Apply(c, MakeChange("d", {Add(4)}), later).value();
  BOOST_TEST(FindTarget(c.services[0], TargetId{2}) == nullptr);
  BOOST_TEST(c.former_load_shares.empty());
}

BOOST_AUTO_TEST_CASE(each_operation_rejects_invalid_input) {
  const Configuration c = sample::TwoTargets();
  using enum ErrorKind;
  const CreateService duplicate{"orders", ServiceId{8},
                                Endpoint{MakeV4(10, 0, 0, 2), 443}};
  BOOST_TEST((KindOf(c, {Add(1)}) == kAlreadyExists));
  BOOST_TEST((KindOf(c, {Remove(3)}) == kNotFound));
  BOOST_TEST((KindOf(c, {DrainTarget{"board", {}}}) == kNotFound));
  BOOST_TEST((KindOf(c, {duplicate}) == kAlreadyExists));
  BOOST_TEST((KindOf(c, {DeleteService{"orders"}}) == kOutOfRange));
  BOOST_TEST((KindOf(c, {DeletePreset{"ordinary"}}) == kOutOfRange));
  BOOST_TEST((KindOf(c, {SwitchPreset{"none"}}) == kNotFound));
  BOOST_TEST((KindOf(c, {DeleteAnnouncement{"none"}}) == kNotFound));
  BOOST_TEST((KindOf(c, {SetDomains{}}) == kOutOfRange));
  BOOST_TEST((KindOf(c, {}) == kOutOfRange));
}

// A head that exceeds the size limit of the store would block every change.
BOOST_AUTO_TEST_CASE(the_change_history_is_bounded) {
  Configuration c = sample::TwoTargets();
  for (std::size_t i = 0; i < kMaxRecentChanges + 5; ++i) {
    c = Apply(c, MakeChange("id" + std::to_string(i), {SwitchPreset{"peak"}}),
              kNow)
            .value();
  }
  BOOST_TEST(c.recent_changes.size() == kMaxRecentChanges);
  BOOST_TEST(FindChange(c, "id4") == nullptr);
  BOOST_TEST(FindChange(c, "id5") != nullptr);
  for (ChangeRecord& record : c.recent_changes) record.touched.resize(64);
  TrimRecentChanges(c.recent_changes);
  BOOST_TEST(c.recent_changes.size() == kMaxRecentTouched / 64);
}

// Checks both orders of every pair: a rejected change must not override an
// accepted one, and changes of different objects must both be accepted.
BOOST_AUTO_TEST_CASE(concurrent_changes_conflict_by_the_objects_they_touch) {
  struct Case {
    Operation a;
    Operation b;
    bool conflict;
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
    const auto a = TouchedPaths(MakeChange("a", {c.a}));
    const auto b = TouchedPaths(MakeChange("b", {c.b}));
    BOOST_TEST(PathsConflict(a, b) == c.conflict);
    BOOST_TEST(PathsConflict(b, a) == c.conflict);
  }
}

BOOST_AUTO_TEST_CASE(a_conflict_reports_the_version_of_the_other_change) {
  const Configuration base = sample::TwoTargets();
  const auto next = [](const Configuration& c, const std::string& id,
                       const Operation& op) {
    return Apply(c, MakeChange(id, {op}), kNow).value();
  };
  const Configuration removed = next(base, "a", Remove(2));
  const Configuration head = next(removed, "b", Add(3));
  const Change late = MakeChange("late", {Remove(2)});
  const ConflictResult result = CheckConflict(late, base.version, head);
  BOOST_TEST((result.status == ConflictStatus::kConflict));
  BOOST_TEST((result.conflicting_version == removed.version));
  // A change made after reading the removal does not conflict with it.
  BOOST_TEST((CheckConflict(late, removed.version, head).status ==
              ConflictStatus::kNoConflict));
  Configuration trimmed = head;
  trimmed.recent_changes.erase(trimmed.recent_changes.begin(),
                               trimmed.recent_changes.end() - 1);
  BOOST_TEST((CheckConflict(late, base.version, trimmed).status ==
              ConflictStatus::kHistoryTrimmed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
