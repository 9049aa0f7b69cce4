// Guards against requests that the store cannot read.
#include "platform/platform_store.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream::platform {
namespace {

BOOST_AUTO_TEST_SUITE(platform_store)

// The next page after an entry with an odd name could not be requested.
BOOST_AUTO_TEST_CASE(a_name_is_encoded_for_a_query) {
  BOOST_TEST(PercentEncode("i-7f3a91c2") == "i-7f3a91c2");
  BOOST_TEST(PercentEncode("a b&Watch=1#%\r\n\xc3\xa9") ==
             "a%20b%26Watch%3D1%23%25%0D%0A%C3%A9");
  BOOST_TEST(PercentEncode("").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::platform
