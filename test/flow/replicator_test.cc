// Guards against copies that are lost without notice and against copies of
// flows that have already ended.
#include "sapphirestream/flow/replicator.h"

#include <boost/test/unit_test.hpp>

#include "testing/flow_fixture.h"

namespace sapphirestream {
namespace {

using fleet::kBoard;
using std::chrono::milliseconds;
using testing::kStart;
using testing::MakeFirstPacket;

RecordCopy MakeCopy(std::uint32_t n, RecordState state) {
  return {MakeFirstPacket(kBoard, n).key, TargetId{1}, state};
}

struct Fixture {
  testing::RecordingSink sink;
  Replicator replicator{milliseconds(100), sink};
};

BOOST_FIXTURE_TEST_SUITE(replicator, Fixture)

BOOST_AUTO_TEST_CASE(a_batch_is_retransmitted_until_it_is_acknowledged) {
  replicator.Add(InstanceId{2}, MakeCopy(1, RecordState::kOpening), false,
                 kStart);
  (void)replicator.OnTimer(kStart + milliseconds(100));
  (void)replicator.OnTimer(kStart + milliseconds(600));
  BOOST_REQUIRE(sink.sent.size() == 2U);
  const RecordAck ack{{sink.Last<RecordBatch>()->sequence}, {}};
  BOOST_TEST(replicator.OnAck(InstanceId{3}, ack).empty());
  BOOST_TEST(replicator.OnAck(InstanceId{2}, ack).size() == 1U);
  (void)replicator.OnTimer(kStart + std::chrono::seconds(60));
  BOOST_TEST(sink.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_batch_without_an_answer_is_given_up) {
  replicator.SendUrgent(InstanceId{2}, MakeCopy(1, RecordState::kOpening),
                        kStart);
  std::size_t given_up = 0;
  for (int i = 1; i <= 100; ++i) {
    given_up += replicator.OnTimer(kStart + milliseconds(100) * i).size();
  }
  BOOST_TEST(given_up == 1U);
  BOOST_TEST(replicator.idle());
}

BOOST_AUTO_TEST_CASE(a_flow_that_ends_before_its_batch_is_sent_is_not_copied) {
  replicator.Add(InstanceId{2}, MakeCopy(1, RecordState::kOpening), false,
                 kStart);
  replicator.Add(InstanceId{2}, MakeCopy(1, RecordState::kClosing), false,
                 kStart);
  (void)replicator.OnTimer(kStart + milliseconds(200));
  BOOST_TEST(sink.sent.empty());
  BOOST_TEST(replicator.idle());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
