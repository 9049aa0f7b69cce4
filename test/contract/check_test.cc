// Guards against unannounced slowdowns: a change that leaves too little
// capacity, or a preset that lowers it, must be rejected with the capacity and
// load.
#include "sapphirestream/contract/check.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/contract/effect.h"
#include "test/contract/sample.h"

namespace sapphirestream {
namespace {

using sample::kNow;
using sample::MakeChange;

const std::vector<ServiceLoad> kThreeBusy{{ServiceId{7}, 3, 100}};

Configuration Next(const Configuration& before, std::vector<Operation> ops) {
  return Apply(before, MakeChange("x", std::move(ops)), kNow).value();
}

Error Check(const Configuration& before, const Configuration& after) {
  return sample::ErrorOf(
      [&] { return CheckAnnounced(before, after, kThreeBusy, kNow); });
}

PutAnnouncement Announce(WallTime from, WallTime until) {
  return {"move", "orders", from, until, "slower"};
}

BOOST_AUTO_TEST_SUITE(check)

BOOST_AUTO_TEST_CASE(too_little_capacity_is_refused_with_the_figures) {
  const Configuration before = sample::TwoTargets();
  for (const Operation& op :
       {sample::Remove(2),
        Operation(DrainTarget{"orders", sample::Tunnel(2)})}) {
    const Error error = Check(before, Next(before, {op}));
    BOOST_TEST((error.kind == ErrorKind::kNotAnnounced));
    BOOST_TEST(error.detail ==
               "orders: slots 4 -> 2 with 3 busy, connections 4000 -> 2000 "
               "with 100 open");
  }
  // Adding capacity is never rejected, even if it is still insufficient.
  BOOST_TEST((Check(Next(before, {sample::Remove(2)}), before).kind ==
              ErrorKind::kNone));
}

BOOST_AUTO_TEST_CASE(a_preset_that_lowers_limits_needs_an_announcement) {
  Preset peak;
  peak.name = "peak";
  peak.capacity_permille = 900;
  const Configuration before = Next(sample::TwoTargets(), {PutPreset{peak}});
  const Error error = Check(before, Next(before, {SwitchPreset{"peak"}}));
  BOOST_TEST((error.kind == ErrorKind::kNotAnnounced));
  BOOST_TEST(error.detail.starts_with(
      "preset lowers capacity_permille 1000 -> 900; orders: slots 4 -> 3"));
}

BOOST_AUTO_TEST_CASE(only_an_announcement_in_force_covers_a_slowdown) {
  using std::chrono::hours;
  const auto kind_with = [](WallTime from, WallTime until) {
    const Configuration before =
        Next(sample::TwoTargets(), {Announce(from, until)});
    return Check(before, Next(before, {sample::Remove(2)})).kind;
  };
  BOOST_TEST((kind_with(kNow, kNow + hours(1)) == ErrorKind::kNone));
  BOOST_TEST((kind_with(kNow + hours(1), kNow + hours(2)) ==
              ErrorKind::kNotAnnounced));
  BOOST_TEST((kind_with(kNow - hours(1), kNow) == ErrorKind::kNotAnnounced));
  // An announcement in the same change would inform clients too late.
  const Configuration before = sample::TwoTargets();
  BOOST_TEST((Check(before, Next(before, {Announce(kNow, kNow + hours(1)),
                                          sample::Remove(2)}))
                  .kind == ErrorKind::kNotAnnounced));
}

BOOST_AUTO_TEST_CASE(a_service_with_open_connections_is_not_deleted) {
  const Configuration before = sample::TwoTargets();
  const Configuration after = Next(
      before, {sample::Remove(1), sample::Remove(2), DeleteService{"orders"}});
  const Error error = Check(before, after);
  BOOST_TEST((error.kind == ErrorKind::kCapacityExceeded));
  BOOST_TEST(error.detail == "orders: 100 open connections would be cut");
}

// A dry run that understates the effect would lead operators to make a harmful
// change.
BOOST_AUTO_TEST_CASE(the_effect_has_the_moved_buckets_and_remaining_capacity) {
  Configuration before = sample::TwoTargets();
  before.services[0].idempotent = true;
  const Configuration after = Next(before, {sample::Remove(2)});
  const LookupTableFunction buckets = [](const Service& service) {
    std::vector<TargetId> table(4, service.targets.front().id);
    if (!service.targets.back().removed) {
      table[0] = service.targets.back().id;
    }
    return table;
  };
  // One of 4 buckets moves; 800 of 1,000 flows are placed by hash.
  const ChangeEffect effect = ComputeEffect(before, after, kThreeBusy, buckets);
  BOOST_TEST((effect == ChangeEffect{1, 20, -1, 1900}));
  // All flows of a non-idempotent service already have a record.
  before.services[0].idempotent = false;
  BOOST_TEST(ComputeEffect(before, after, kThreeBusy, buckets).flows_recorded ==
             0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
