// Guards against two error kinds with the same name: sapphirectl and the
// counters distinguish kinds by name only.
#include "sapphirestream/base/error.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

BOOST_AUTO_TEST_SUITE(error)

BOOST_AUTO_TEST_CASE(every_name_maps_back_to_its_kind) {
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    BOOST_TEST((ErrorKindFromName(AnswerFor(kind).name) == kind));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
