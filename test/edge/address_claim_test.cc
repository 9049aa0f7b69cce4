// Guards against a living target that is given up because an entry names its
// address, and against flows at an address that another target has got.
#include "sapphirestream/edge/address_claim.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow{1000s};
constexpr Duration kReuseDelay = 2s;

// A target that started early, and one that started later at its address.
struct Fixture {
  [[nodiscard]] ClaimStatus First() const {
    return StatusOf(first, std::vector{second}, kReuseDelay);
  }
  [[nodiscard]] ClaimStatus Second() const {
    return StatusOf(second, std::vector{first}, kReuseDelay);
  }

  AddressClaim first{.incarnation = Incarnation{1000},
                     .written = {StoreEra{1}, 10},
                     .made = kNow - 100s};
  AddressClaim second{.incarnation = Incarnation{5000},
                      .written = {StoreEra{1}, 20},
                      .made = kNow};
};

BOOST_FIXTURE_TEST_SUITE(address_claim, Fixture)

BOOST_AUTO_TEST_CASE(a_target_without_rivals_has_its_address) {
  BOOST_TEST((StatusOf(first, {}, kReuseDelay) == ClaimStatus::kHeld));
}

// Nothing was heard of either: an address is usually used again by a target
// that starts later.
BOOST_AUTO_TEST_CASE(a_later_target_is_taken_for_the_holder) {
  BOOST_TEST((First() == ClaimStatus::kUnconfirmed));
  BOOST_TEST((Second() == ClaimStatus::kHeld));
}

BOOST_AUTO_TEST_CASE(a_target_heard_of_within_the_reuse_delay_has_its_address) {
  first.seen = kNow - kReuseDelay;
  BOOST_TEST((First() == ClaimStatus::kHeld));
  BOOST_TEST((Second() == ClaimStatus::kLost));
}

// A target may stop right after it was heard of.
BOOST_AUTO_TEST_CASE(
    a_target_heard_of_before_the_reuse_delay_may_have_stopped) {
  first.seen = kNow - kReuseDelay - 1ms;
  BOOST_TEST((First() == ClaimStatus::kUnconfirmed));
  BOOST_TEST((Second() == ClaimStatus::kHeld));
}

BOOST_AUTO_TEST_CASE(an_answer_after_the_claim_refutes_it) {
  first.seen = kNow + 10ms;
  BOOST_TEST((StatusOf(first, std::vector{second}, Duration::zero()) ==
              ClaimStatus::kHeld));
  BOOST_TEST((StatusOf(second, std::vector{first}, Duration::zero()) ==
              ClaimStatus::kLost));
}

BOOST_AUTO_TEST_CASE(the_later_target_has_the_address_once_it_answers) {
  first.seen = kNow - 100ms;
  second.seen = kNow + 50ms;
  BOOST_TEST((First() == ClaimStatus::kLost));
  BOOST_TEST((Second() == ClaimStatus::kHeld));
}

// A target that writes its entry after the other one has not stopped.
BOOST_AUTO_TEST_CASE(an_earlier_target_that_writes_later_has_its_address) {
  first.written.number = 30;
  BOOST_TEST((First() == ClaimStatus::kHeld));
}

BOOST_AUTO_TEST_CASE(an_entry_with_an_earlier_start_takes_no_address) {
  second.incarnation = Incarnation{1};
  BOOST_TEST((First() == ClaimStatus::kHeld));
}

// Another target answered, whose entry is not known yet.
BOOST_AUTO_TEST_CASE(a_denied_target_is_unconfirmed_until_it_answers) {
  first.seen = kNow;
  first.denied = kNow + 10ms;
  BOOST_TEST((StatusOf(first, {}, kReuseDelay) == ClaimStatus::kUnconfirmed));
  first.seen = kNow + 20ms;
  BOOST_TEST((StatusOf(first, {}, kReuseDelay) == ClaimStatus::kHeld));
}

BOOST_AUTO_TEST_CASE(a_denied_rival_takes_no_address) {
  second.denied = kNow + 10ms;
  BOOST_TEST((First() == ClaimStatus::kHeld));
}

BOOST_AUTO_TEST_CASE(two_entries_in_turn_do_not_take_the_address_of_a_third) {
  first.seen = kNow + 10ms;
  AddressClaim third = second;
  third.incarnation = Incarnation{6000};
  third.made = kNow + 5ms;
  BOOST_TEST((StatusOf(first, std::vector{second, third}, kReuseDelay) ==
              ClaimStatus::kHeld));
  BOOST_TEST((StatusOf(third, std::vector{first, second}, kReuseDelay) ==
              ClaimStatus::kLost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
