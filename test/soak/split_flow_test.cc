// Guards against a reset that the soak test accepts although the instance could
// have avoided it, and against a violation reported for a correct reset.
#include "testing/soak/split_flow.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/base/id.h"

namespace sapphirestream::soak {
namespace {

using namespace std::chrono_literals;

constexpr TargetKey kWoken{0x1003};
constexpr TargetKey kHolder{0x1004};
constexpr FlowToken kWokenToken{3};
constexpr FlowToken kHolderToken{4};

// Instance 0 moves an opening packet from a frozen target to another one, which
// opens the flow. The frozen target wakes up and answers, so that the client
// uses its token, and instance 1 resets the flow.
struct Fixture {
  [[nodiscard]] bool IsCorrect() const {
    return IsResetOfSplitFlow(reset, receipts,
                              [this](TargetKey) { return woken; });
  }

  std::vector<OpeningReceipt> receipts{
      {kHolder, Incarnation{1}, kHolderToken, 0, TimePoint{10s}},
      {kWoken, Incarnation{1}, kWokenToken, 0, TimePoint{10s}}};
  FlowReset reset{kHolder, 1, TimePoint{1s}, kWokenToken};
  std::optional<TargetProcess> woken{{Incarnation{1}, false}};
};

BOOST_FIXTURE_TEST_SUITE(split_flow, Fixture)

BOOST_AUTO_TEST_CASE(a_reset_is_correct_if_the_named_target_has_crashed) {
  BOOST_TEST(IsCorrect());
  woken = {Incarnation{2}, true};  // it has restarted
  BOOST_TEST(IsCorrect());
}

BOOST_AUTO_TEST_CASE(a_reset_is_wrong_unless_the_named_target_has_crashed) {
  woken = {Incarnation{1}, true};
  BOOST_TEST(!IsCorrect());
  woken = std::nullopt;  // replaced
  BOOST_TEST(!IsCorrect());
}

BOOST_AUTO_TEST_CASE(the_packets_must_name_another_receiver_of_the_opening) {
  reset.token = FlowToken{5};
  BOOST_TEST(!IsCorrect());
  reset.token = kHolderToken;
  BOOST_TEST(!IsCorrect());
  receipts.back().token = kHolderToken;  // tokens may collide
  BOOST_TEST(!IsCorrect());
}

BOOST_AUTO_TEST_CASE(the_process_that_moved_the_flow_must_not_reset_it) {
  reset.instance = 0;
  BOOST_TEST(!IsCorrect());
  reset.process_started = TimePoint{11s};  // a new process
  BOOST_TEST(IsCorrect());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::soak
