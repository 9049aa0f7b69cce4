// Guards against a log line for each read of an entry that stays malformed, and
// against names of other writers that break the log.
#include "sapphirestream/edge_io/malformed_entries.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

StoreRevision At(std::uint64_t number) { return {StoreEra{1}, number}; }

BOOST_AUTO_TEST_SUITE(malformed_entries)

BOOST_AUTO_TEST_CASE(each_revision_of_an_entry_is_new_once) {
  MalformedEntries entries;
  BOOST_TEST(entries.Insert("a", At(3)));
  BOOST_TEST(!entries.Insert("a", At(3)));
  BOOST_TEST(entries.Insert("b", At(3)));
  BOOST_TEST(entries.Insert("a", At(4)));
  BOOST_TEST(!entries.Insert("a", At(4)));
  BOOST_TEST(entries.Insert("a", {StoreEra{2}, 4}));
}

BOOST_AUTO_TEST_CASE(the_memory_is_bounded) {
  MalformedEntries entries;
  for (std::size_t i = 0; i < 3 * MalformedEntries::kMaxEntries; ++i) {
    entries.Insert(std::to_string(i), At(1));
    BOOST_TEST(entries.size() <= MalformedEntries::kMaxEntries);
  }
}

BOOST_AUTO_TEST_CASE(a_name_is_printed_as_short_ascii) {
  BOOST_TEST(PrintableName("i-7f\xff\n\x7f=\"x") == "i-7f...=\"x");
  BOOST_TEST(PrintableName(std::string(5000, 'x')).size() == 64U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
