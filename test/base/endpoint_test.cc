// Guards against accepting endpoints that are malformed or ambiguous.
#include "sapphirestream/base/endpoint.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

BOOST_AUTO_TEST_SUITE(endpoint)

BOOST_AUTO_TEST_CASE(text_forms_survive_a_round_trip) {
  for (const char* text : {"127.0.0.1:6081", "[::1]:80", "[fd00::2]:65535"}) {
    const auto endpoint = ParseEndpoint(text);
    BOOST_REQUIRE(endpoint.has_value());
    BOOST_TEST(ToString(*endpoint) == text);
  }
}

BOOST_AUTO_TEST_CASE(malformed_endpoints_are_rejected) {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                           "::1:80", "host:80", "127.0.0.1:80x"}) {
    BOOST_TEST(!ParseEndpoint(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
