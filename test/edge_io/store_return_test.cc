// Guards against an end of an outage that is later than the first answer.
#include "sapphirestream/edge_io/store_return.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{100s};

BOOST_AUTO_TEST_SUITE(store_return)

BOOST_AUTO_TEST_CASE(is_unset_before_the_first_outage) {
  BOOST_TEST(!StoreReturn().time().has_value());
}

BOOST_AUTO_TEST_CASE(is_the_first_answer_to_any_reader) {
  StoreReturn store_return;
  store_return.OnLost("routes");
  store_return.OnLost("targets");
  store_return.OnRegained("routes", 5s, true, kStart);
  store_return.OnRegained("targets", 6s, true, kStart + 1s);
  BOOST_TEST((store_return.time() == kStart));
}

// A reader that lost the store again has no part in the end of that outage.
BOOST_AUTO_TEST_CASE(is_later_if_the_first_reader_lost_the_store_again) {
  StoreReturn store_return;
  store_return.OnLost("routes");
  store_return.OnLost("targets");
  store_return.OnRegained("routes", 5s, true, kStart);
  store_return.OnLost("routes");
  store_return.OnRegained("targets", 10s, true, kStart + 4s);
  BOOST_TEST((store_return.time() == kStart + 4s));
}

BOOST_AUTO_TEST_CASE(is_that_of_the_later_outage) {
  StoreReturn store_return;
  store_return.OnLost("routes");
  store_return.OnRegained("routes", 5s, true, kStart);
  store_return.OnLost("targets");
  store_return.OnRegained("targets", 3s, true, kStart + 20s);
  BOOST_TEST((store_return.time() == kStart + 20s));
}

// An outage in which no entry expires still shows that the store was reached.
BOOST_AUTO_TEST_CASE(a_short_outage_ends_a_longer_one) {
  StoreReturn store_return;
  store_return.OnRegained("routes", 100ms, false, kStart);
  BOOST_TEST(!store_return.time().has_value());
  store_return.OnRegained("targets", 3s, true, kStart + 1s);
  BOOST_TEST((store_return.time() == kStart));
}

BOOST_AUTO_TEST_CASE(does_not_fall) {
  StoreReturn store_return;
  store_return.Set(kStart + 5s);
  store_return.Set(kStart);
  BOOST_TEST((store_return.time() == kStart + 5s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
