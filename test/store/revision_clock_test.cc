// Guards against a view that counts as up to date although it is not.
#include "sapphirestream/store/revision_clock.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

StoreRevision At(std::uint64_t number) { return {StoreEra{1}, number}; }

BOOST_AUTO_TEST_SUITE(revision_clock)

BOOST_AUTO_TEST_CASE(nothing_is_known_without_a_current_read) {
  const RevisionClock clock;
  BOOST_TEST((clock.CompleteUntil(At(7)) == TimePoint{}));
  BOOST_TEST((clock.LatestTime() == TimePoint{}));
}

BOOST_AUTO_TEST_CASE(a_view_is_complete_until_the_last_read_that_it_covers) {
  RevisionClock clock;
  clock.Observe(kStart, At(7));
  clock.Observe(kStart + 2s, At(9));
  BOOST_TEST((clock.CompleteUntil(At(6)) == TimePoint{}));
  BOOST_TEST((clock.CompleteUntil(At(7)) == kStart));
  BOOST_TEST((clock.CompleteUntil(At(8)) == kStart));
  BOOST_TEST((clock.CompleteUntil(At(9)) == kStart + 2s));
  BOOST_TEST((clock.LatestTime() == kStart + 2s));
}

// Without a change in the store, the same revision is complete until later.
BOOST_AUTO_TEST_CASE(a_later_read_of_the_same_revision_counts) {
  RevisionClock clock;
  clock.Observe(kStart, At(7));
  clock.Observe(kStart + 5s, At(7));
  BOOST_TEST((clock.CompleteUntil(At(7)) == kStart + 5s));
}

// Two calls overlap, and the one that began first is answered last.
BOOST_AUTO_TEST_CASE(the_order_of_the_replies_does_not_matter) {
  RevisionClock clock;
  clock.Observe(kStart + 1s, At(8));
  clock.Observe(kStart, At(9));
  BOOST_TEST((clock.CompleteUntil(At(9)) == kStart + 1s));
  clock.Observe(kStart, At(7));
  BOOST_TEST((clock.CompleteUntil(At(7)) == kStart));
  BOOST_TEST((clock.CompleteUntil(At(8)) == kStart + 1s));
}

// A restored store gives out lower numbers, in a later era.
BOOST_AUTO_TEST_CASE(a_view_of_a_lost_era_does_not_age_by_the_next_one) {
  RevisionClock clock;
  clock.Observe(kStart, At(50));
  clock.Observe(kStart + 5s, {StoreEra{2}, 40});
  BOOST_TEST((clock.CompleteUntil(At(50)) == kStart));
  BOOST_TEST((clock.CompleteUntil({StoreEra{2}, 40}) == kStart + 5s));
}

BOOST_AUTO_TEST_CASE(a_view_that_lags_far_behind_is_of_unknown_age) {
  RevisionClock clock;
  for (std::uint64_t i = 0; i < 100; ++i) {
    clock.Observe(kStart + std::chrono::seconds(i), At(i + 1));
  }
  BOOST_TEST((clock.CompleteUntil(At(1)) == TimePoint{}));
  BOOST_TEST((clock.CompleteUntil(At(100)) == kStart + 99s));
}

// What another instance tells may be wrong, and must not replace an own read.
BOOST_AUTO_TEST_CASE(a_later_time_with_a_lower_revision_is_rejected) {
  RevisionClock clock;
  clock.Observe(kStart, At(7));
  BOOST_TEST(!clock.Merge({kStart + 1s, At(6)}));
  BOOST_TEST(!clock.Merge({kStart - 1s, At(9)}));
  BOOST_TEST((clock.CompleteUntil(At(7)) == kStart));
  BOOST_TEST(clock.Merge({kStart + 1s, At(8)}));
  BOOST_TEST((clock.CompleteUntil(At(8)) == kStart + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
