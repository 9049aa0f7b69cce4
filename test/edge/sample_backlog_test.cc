// Guards against observations that never leave because others always come
// first, and against counts of outstanding requests that peers keep wrong
// because one message was lost.
#include "sapphirestream/edge/sample_backlog.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "sapphirestream/edge/peer_message.h"
#include "testing/peer_network.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;
using testing::Samples;

constexpr TimePoint kNow = TimePoint{} + 100s;
constexpr std::size_t kPlenty = 1000;

BOOST_AUTO_TEST_SUITE(sample_backlog)

BOOST_AUTO_TEST_CASE(samples_that_wait_are_merged) {
  SampleBacklog backlog;
  backlog.Merge({Samples(1, 2, 5)}, kNow);
  BOOST_TEST(backlog.Take(0, kNow).empty());
  backlog.Merge({Samples(1, 1, 3)}, kNow);
  const auto taken = backlog.Take(kPlenty, kNow);
  BOOST_REQUIRE(taken.size() == 1U);
  BOOST_TEST((taken[0] == Samples(1, 3, 3)));
  BOOST_TEST(!backlog.has_changes());
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_replaces_the_old_samples) {
  SampleBacklog backlog;
  backlog.Merge({Samples(1, 2, 5)}, kNow);
  TargetSamples restarted = Samples(1, 1, 0);
  restarted.incarnation = Incarnation{7};
  backlog.Merge({restarted}, kNow);
  BOOST_TEST((backlog.Take(kPlenty, kNow) == std::vector{restarted}));
}

BOOST_AUTO_TEST_CASE(sums_are_sent_once_and_outstanding_counts_repeated) {
  SampleBacklog backlog;
  TimePoint now = kNow;
  const auto take = [&] {
    now += SampleBacklog::kRepeatInterval;
    return backlog.Take(kPlenty, now);
  };
  backlog.Merge({Samples(1, 2, 1)}, now);
  BOOST_TEST((take() == std::vector{Samples(1, 2, 1)}));
  BOOST_TEST(backlog.Take(kPlenty, now).empty());
  BOOST_TEST((take() == std::vector{Samples(1, 0, 1)}));
  backlog.Merge({Samples(1, 0, 0)}, now);
  for (int i = 0; i <= SampleBacklog::kZeroRepeats; ++i) {
    BOOST_TEST((take() == std::vector{Samples(1, 0, 0)}));
  }
  BOOST_TEST(take().empty());
}

BOOST_AUTO_TEST_CASE(a_count_of_a_removed_target_is_not_repeated_forever) {
  SampleBacklog backlog;
  backlog.Merge({Samples(1, 0, 1)}, kNow);
  const TimePoint later = kNow + SampleBacklog::kMaxReportAge;
  BOOST_TEST(backlog.Take(kPlenty, later).size() == 1U);
  BOOST_TEST(backlog.Take(kPlenty, later + 10s).empty());
}

BOOST_AUTO_TEST_CASE(every_target_is_sent_within_a_bounded_number_of_messages) {
  SampleBacklog backlog;
  constexpr std::uint64_t targets = 40;
  const std::size_t room =
      5 * EncodedSizeLimit(Samples(1, 100, 9), Incarnation{0});
  std::set<TargetKey> sent;
  for (int i = 0; i < 40; ++i) {
    std::vector<TargetSamples> samples{Samples(targets, 1)};
    // Busy targets change all the time; the last one changed once.
    if (i > 0) samples.clear();
    for (std::uint64_t key = 1; key < targets; ++key) {
      samples.push_back(Samples(key, 2));
    }
    backlog.Merge(samples, kNow);
    for (const auto& entry : backlog.Take(room, kNow)) {
      sent.insert(entry.target);
    }
  }
  BOOST_TEST(sent.size() == targets);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
