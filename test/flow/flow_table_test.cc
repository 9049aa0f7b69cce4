// Guards against lost or duplicate records and against unbounded growth.
#include "sapphirestream/flow/flow_table.h"

#include <boost/test/unit_test.hpp>

#include "sapphirestream/flow/learned_table.h"
#include "testing/flow_fixture.h"

namespace sapphirestream {
namespace {

using fleet::kBoard;
using testing::kStart;
using testing::MakeFirstPacket;

BOOST_AUTO_TEST_SUITE(flow_table)

BOOST_AUTO_TEST_CASE(records_survive_growth_and_reuse_of_positions) {
  FlowTable table(5000);
  for (std::uint32_t n = 0; n < 5000; ++n) {
    const Packet packet = MakeFirstPacket(kBoard, n);
    FlowRecord* record =
        table.Emplace(packet.key, packet.hash, RecordState::kOpening, kStart);
    BOOST_REQUIRE(record != nullptr);
    record->target = static_cast<TargetId>(n + 1);
  }
  BOOST_TEST(table.full());
  const Packet more = MakeFirstPacket(kBoard, 6000);
  BOOST_TEST(table.Emplace(more.key, more.hash, RecordState::kOpening,
                           kStart) == nullptr);
  for (std::uint32_t n = 0; n < 5000; n += 2) {
    const Packet packet = MakeFirstPacket(kBoard, n);
    table.Erase(*table.Find(packet.key, packet.hash));
  }
  for (std::uint32_t n = 0; n < 5000; ++n) {
    const Packet packet = MakeFirstPacket(kBoard, n);
    const FlowRecord* record = table.Find(packet.key, packet.hash);
    BOOST_TEST((record != nullptr) == (n % 2 == 1));
    if (record != nullptr) BOOST_TEST(Value(record->target) == n + 1);
  }
  BOOST_TEST(table.Emplace(more.key, more.hash, RecordState::kOpening,
                           kStart) != nullptr);
}

BOOST_AUTO_TEST_CASE(the_oldest_of_a_state_is_the_one_seen_longest_ago) {
  FlowTable table(10);
  const Packet a = MakeFirstPacket(kBoard, 1);
  const Packet b = MakeFirstPacket(kBoard, 2);
  FlowRecord* first =
      table.Emplace(a.key, a.hash, RecordState::kOpening, kStart);
  table.Emplace(b.key, b.hash, RecordState::kOpening, kStart);
  first = table.Find(a.key, a.hash);
  table.Touch(*first, RecordState::kOpening, kStart + Duration(1));
  BOOST_TEST((table.Oldest(RecordState::kOpening)->key == b.key));
  table.Touch(*table.Find(b.key, b.hash), RecordState::kClosing, kStart);
  BOOST_TEST((table.Oldest(RecordState::kOpening)->key == a.key));
  BOOST_TEST((table.Oldest(RecordState::kClosing)->key == b.key));
}

BOOST_AUTO_TEST_CASE(a_full_learned_table_stays_bounded) {
  LearnedTable table(64);
  for (std::uint32_t n = 0; n < 1000; ++n) {
    const Packet packet = MakeFirstPacket(kBoard, n);
    table.Emplace(packet.key, packet.hash, TargetId{1}, kStart + Duration(n));
  }
  BOOST_TEST(table.size() <= 64U);
  const Packet last = MakeFirstPacket(kBoard, 999);
  BOOST_TEST(table.Find(last.key, last.hash) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
