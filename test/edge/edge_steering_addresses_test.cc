// Guards against living targets that are given up because an entry of another
// writer names their address, and against flows at a target whose address
// another one has got.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <set>

#include "sapphirestream/base/id.h"
#include "test/edge/edge_steering_fixture.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Fixture : EdgeSteeringFixture {
  // Lists a later target at the address of another one.
  void Claim(std::uint64_t holder, std::uint64_t key,
             const std::string& service = "desk") {
    TargetRecord record = sample::Target(key, "a", service);
    record.address = sample::Target(holder, "a").address;
    record.incarnation = Incarnation{6000 + key};
    Add(record);
    steering.OnTargetsRead(clock.Now());
  }
  // Opens flows and returns the targets that got them.
  std::set<TargetKey> Place(std::uint32_t first_client) {
    std::set<TargetKey> chosen;
    for (std::uint32_t i = 0; i < 40; ++i) {
      const std::size_t before = sent.size();
      Handle(sample::Syn(first_client + i, sample::kFeed));
      if (sent.size() > before) chosen.insert(sent.back().target);
    }
    return chosen;
  }
  [[nodiscard]] std::ptrdiff_t ProbesOf(std::uint64_t target) const {
    return std::count(probes.begin(), probes.end(), TargetKey{target});
  }
  void Answer(std::uint64_t target, std::uint64_t answered_by) {
    clock.Advance(5ms);
    FinishProbe(TargetKey{target},
                target == answered_by ? ProbeOutcome::kAccepted
                                      : ProbeOutcome::kStranger,
                TargetKey{answered_by});
  }
};

BOOST_FIXTURE_TEST_SUITE(edge_steering_addresses, Fixture)

BOOST_AUTO_TEST_CASE(a_target_that_answers_at_its_address_gets_flows_again) {
  Claim(1, 11);
  BOOST_REQUIRE(ProbesOf(1) == 1);
  const std::set<TargetKey> before = Place(100);
  BOOST_TEST(!before.contains(TargetKey{1}));
  BOOST_TEST(!before.contains(TargetKey{11}));
  Answer(1, 1);
  BOOST_TEST(Place(200).contains(TargetKey{1}));
}

BOOST_AUTO_TEST_CASE(a_claim_that_is_settled_causes_no_more_probes) {
  Claim(1, 11);
  Answer(1, 1);
  Advance(5s);
  steering.OnTargetsRead(clock.Now());
  BOOST_TEST(ProbesOf(1) == 1);
}

// A real reuse of the address.
BOOST_AUTO_TEST_CASE(a_target_whose_address_has_been_given_away_gets_no_flows) {
  Claim(1, 11, "intake");
  Answer(1, 11);
  Advance(5s);
  BOOST_TEST(!Place(100).contains(TargetKey{1}));
  BOOST_TEST(ProbesOf(1) == 1);
}

// The entry of the later target may be read after it has got the address.
BOOST_AUTO_TEST_CASE(a_target_that_another_one_denied_is_probed_again) {
  MakeUnreachable(TargetKey{1}, ProbeOutcome::kStranger);
  BOOST_TEST(!Place(100).contains(TargetKey{1}));
  Advance(500ms);
  BOOST_REQUIRE(ProbesOf(1) == 1);
  Answer(1, 1);
  BOOST_TEST(Place(200).contains(TargetKey{1}));
}

// An instance that starts reads the entry of another writer beside that of the
// target. Clients gave up openings that were sent to the former.
BOOST_AUTO_TEST_CASE(an_opening_leaves_a_target_that_lost_its_address) {
  for (std::uint64_t key : {1, 2, 3}) Claim(key, key + 10);
  Handle(sample::Syn(1, sample::kFeed));
  BOOST_REQUIRE(sent.size() == 1U);
  const TargetKey claimant = sent.back().target;
  BOOST_TEST(Value(claimant) > 10U);
  for (std::uint64_t key : {1, 2, 3}) Answer(key, key);
  Advance(EdgeSteering::kOpeningTimeout);
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST(Value(sent.back().target) < 10U);
  BOOST_TEST(resets.empty());
}

// No target of the service is known to have its address for a moment; a refusal
// would cost the client an attempt.
BOOST_AUTO_TEST_CASE(openings_wait_while_all_addresses_are_unconfirmed) {
  for (std::uint64_t key : {1, 2, 3}) Claim(key, key + 10, "intake");
  Handle(sample::Syn(1, sample::kFeed));
  BOOST_TEST(sent.empty());
  BOOST_TEST(resets.empty());
  Answer(2, 2);
  Handle(sample::Syn(1, sample::kFeed, /*copies=*/1));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent.back().target == TargetKey{2}));
}

// The health check does not identify targets: their flows have to tell.
BOOST_AUTO_TEST_CASE(targets_that_do_not_identify_themselves_are_tried) {
  for (std::uint64_t key : {1, 2, 3}) {
    Claim(key, key + 10, "intake");
    FinishProbe(TargetKey{key}, ProbeOutcome::kAccepted);
  }
  const TargetKey target = Open(1);
  BOOST_TEST((targets.Find(target)->claim_status == ClaimStatus::kHeld));
}

// Nobody answers at the address: the client is told at once.
BOOST_AUTO_TEST_CASE(openings_are_refused_if_no_target_answers) {
  for (std::uint64_t key : {1, 2, 3}) {
    Claim(key, key + 10, "intake");
    FinishProbe(TargetKey{key}, ProbeOutcome::kRefused);
  }
  Handle(sample::Syn(1, sample::kFeed));
  BOOST_TEST(resets.size() == 1U);
}

// The client's packets show that its target still answers.
BOOST_AUTO_TEST_CASE(a_flow_that_goes_on_confirms_its_target) {
  const TargetKey target = Open(1);
  Claim(Value(target), 11);
  Request(1, target);
  clock.Advance(20ms);
  Handle(sample::Data(1, sample::kFeed, targets.TokenOf(target), 301, 0, 4001));
  BOOST_TEST((targets.Find(target)->presence == TargetPresence::kListed));
  BOOST_TEST((targets.Find(TargetKey{11})->presence == TargetPresence::kGone));
}

// A probe that fails once must not reset a request of a living target.
BOOST_AUTO_TEST_CASE(an_unconfirmed_target_keeps_its_requests) {
  const TargetKey target = Open(1);
  Request(1, target);
  clock.Advance(1s);
  Claim(Value(target), 11);
  FinishProbe(target, ProbeOutcome::kSilent);
  BOOST_TEST(resets.empty());
}

// An entry that nobody answers for costs few probes.
BOOST_AUTO_TEST_CASE(the_pause_between_probes_of_an_address_grows) {
  Claim(1, 11);
  for (int i = 0; i < 100; ++i) {
    if (!probes.empty()) FinishProbe(TargetKey{1}, ProbeOutcome::kFailed);
    Advance(100ms);
  }
  BOOST_TEST(ProbesOf(1) >= 4);
  BOOST_TEST(ProbesOf(1) <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
