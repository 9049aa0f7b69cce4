// Guards against instances that have the same version with different content,
// and against deltas that contain unchanged objects.
#include "sapphirestream/contract/delta.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/base/random.h"
#include "test/contract/sample.h"

namespace sapphirestream {
namespace {

using sample::kNow;
using sample::MakeChange;

// Returns a random operation, many of which are invalid for the configuration.
Operation RandomOperation(Random& random) {
  const auto target = static_cast<std::uint8_t>(1 + random.Below(6));
  const std::string service = random.Below(2) == 0 ? "orders" : "board";
  Preset preset;
  preset.name = random.Below(2) == 0 ? "peak" : "night";
  preset.load_share_permille = static_cast<std::uint32_t>(random.Below(1000));
  const std::string notice = random.Below(2) == 0 ? "move" : "sale";
  switch (random.Below(10)) {
    case 0:
      return CreateService{"board", ServiceId{3},
                           Endpoint{MakeV4(10, 0, 0, 2), 80}};
    case 1:
      return DeleteService{"board"};
    case 2:
    case 3:
      return AddTarget{service, sample::Tunnel(target), DomainId{1}, 2, 2000,
                       100};
    case 4:
      return RemoveTarget{service, sample::Tunnel(target)};
    case 5:
      return PutPreset{preset};
    case 6:
      return SwitchPreset{preset.name};
    case 7:
      return PutAnnouncement{notice, service, kNow,
                             kNow + std::chrono::hours(1), "slower"};
    case 8:
      return DeleteAnnouncement{notice};
    default:
      return SetDomains{{DomainId{1}, DomainId{2}}};
  }
}

Error ApplyError(const Configuration& base, const std::string& delta) {
  return sample::ErrorOf([&] { return ApplyDelta(base, delta); });
}

BOOST_AUTO_TEST_SUITE(delta)

// Deltas over one to five versions of a random history. Time advances so that
// removed targets are also deleted.
BOOST_AUTO_TEST_CASE(applying_a_delta_gives_exactly_the_newer_configuration) {
  SeededRandom random(7);
  std::vector<Configuration> history{sample::TwoTargets()};
  WallTime now = kNow;
  while (history.size() < 300) {
    now += std::chrono::hours(1);
    const auto next =
        Apply(history.back(),
              MakeChange("id" + std::to_string(history.size()),
                         {RandomOperation(random), RandomOperation(random)}),
              now);
    if (next) history.push_back(*next);
  }
  for (std::size_t i = 0; i + 5 < history.size(); ++i) {
    const Configuration& next = history[i + 1 + random.Below(5)];
    const std::string delta = MakeDelta(history[i], next);
    BOOST_TEST((ApplyDelta(history[i], delta).value() == next));
  }
}

BOOST_AUTO_TEST_CASE(a_delta_carries_only_what_changed) {
  Configuration base = sample::TwoTargets();
  const std::size_t small =
      MakeDelta(base,
                Apply(base, MakeChange("x", {sample::Add(9)}), kNow).value())
          .size();
  std::vector<Operation> many;
  for (std::uint8_t i = 20; i < 80; ++i) many.push_back(sample::Add(i));
  base = Apply(base, MakeChange("many", many), kNow).value();
  const std::string large = MakeDelta(
      base, Apply(base, MakeChange("x", {sample::Add(9)}), kNow).value());
  BOOST_TEST(large.size() < small + 10);
  // A delta of one change must fit into a datagram of 1,400 bytes with headers.
  BOOST_TEST(large.size() < 1200U);
  BOOST_TEST(large.find("presets") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_delta_for_another_base_is_refused) {
  const Configuration base = sample::TwoTargets();
  const Configuration next =
      Apply(base, MakeChange("x", {sample::Remove(2)}), kNow).value();
  const std::string delta = MakeDelta(base, next);
  BOOST_TEST((ApplyError(next, delta).kind == ErrorKind::kVersionConflict));
  BOOST_TEST((ApplyError(InitialConfiguration(), delta).kind ==
              ErrorKind::kVersionConflict));
}

BOOST_AUTO_TEST_CASE(damaged_deltas_are_refused) {
  const Configuration base = sample::TwoTargets();
  const std::string good = MakeDelta(
      base, Apply(base, MakeChange("x", {sample::Add(3)}), kNow).value());
  const auto with = [&](const std::string& field) {
    return good.substr(0, good.size() - 1) + "," + field + "}";
  };
  using enum ErrorKind;
  BOOST_TEST((ApplyError(base, good.substr(1)).kind == kMalformedJson));
  BOOST_TEST((ApplyError(base, with(R"("x":1)")).kind == kUnknownField));
  BOOST_TEST(
      (ApplyError(base, with(R"("removed_services":[9])")).kind == kNotFound));
  BOOST_TEST(
      (ApplyError(base, with(R"("removed_presets":["ordinary"])")).kind ==
       kNotFound));
  BOOST_TEST(
      (ApplyError(base, with(R"("removed_presets":[1])")).kind == kWrongType));
  // Accepting a delta that does not increase the version would let a peer
  // replay an old one.
  BOOST_TEST((ApplyError(base, MakeDelta(base, base)).kind == kOutOfRange));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
