// Guards against a change that is applied twice or reported as rejected
// although it may have been accepted, and against a rollout that is reported as
// complete too early.
#include "sapphirestream/client/instance_client.h"

#include <boost/test/unit_test.hpp>

#include "testing/fake_transport.h"

namespace sapphirestream {
namespace {

using testing::FakePause;
using testing::FakeTransport;

struct Fixture {
  ErrorKind Submit() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<ErrorKind> {
          BOOST_LEAF_CHECK(client.Submit({{"id", "c1"}}));
          return ErrorKind::kNone;
        },
        [](const Error& error) { return error.kind; },
        [] { return ErrorKind::kInternal; });
  }
  ErrorKind Wait() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<ErrorKind> {
          BOOST_LEAF_CHECK(client.WaitUntilActive(
              ConfigVersion{7}, std::chrono::seconds(1),
              [&](const Rollout& now) { seen.push_back(now.active); }));
          return ErrorKind::kNone;
        },
        [](const Error& error) { return error.kind; },
        [] { return ErrorKind::kInternal; });
  }

  FakeTransport transport;
  FakePause clock;
  InstanceClient client{
      {*ParseEndpoint("127.0.0.11:7080"), *ParseEndpoint("127.0.0.12:7080")},
      transport,
      clock};
  std::vector<std::uint64_t> seen;
};

BOOST_FIXTURE_TEST_SUITE(instance_client, Fixture)

// Guards against a second instance that treats the repeated change as a new
// one.
BOOST_AUTO_TEST_CASE(the_next_instance_receives_the_same_change) {
  transport.QueueResponse(Delivery::kNoAnswer);
  transport.QueueResponse(Delivery::kAnswered, 200, R"({"version":7})");
  BOOST_TEST((Submit() == ErrorKind::kNone));
  BOOST_REQUIRE(transport.sent().size() == 2U);
  BOOST_TEST((transport.sent()[0].instance != transport.sent()[1].instance));
  BOOST_TEST(transport.sent()[0].call.body == transport.sent()[1].call.body);
}

// Guards against reporting a definite failure for a change that one instance
// may have accepted.
BOOST_AUTO_TEST_CASE(a_missing_answer_leaves_the_outcome_unknown) {
  transport.QueueResponse(Delivery::kNoAnswer);
  BOOST_TEST((Submit() == ErrorKind::kOutcomeUnknown));
  transport.QueueResponse(Delivery::kNoAnswer);
  transport.QueueResponse(Delivery::kAnswered, 503,
                          R"({"error":"store_unavailable"})");
  BOOST_TEST((Submit() == ErrorKind::kOutcomeUnknown));
  transport.QueueResponse(Delivery::kAnswered, 504,
                          R"({"error":"outcome_unknown"})");
  transport.QueueResponse(Delivery::kAnswered, 503, R"({"error":"not_ready"})");
  BOOST_TEST((Submit() == ErrorKind::kOutcomeUnknown));
}

// Guards against an unknown outcome for a change that no instance received.
BOOST_AUTO_TEST_CASE(a_change_that_no_instance_received_is_not_unknown) {
  BOOST_TEST((Submit() == ErrorKind::kUnreachable));
}

// Guards against retrying a rejected change on other instances until one
// accepts it.
BOOST_AUTO_TEST_CASE(a_refusal_is_final) {
  transport.QueueResponse(Delivery::kAnswered, 409,
                          R"({"error":"contradicted"})");
  BOOST_TEST((Submit() == ErrorKind::kContradicted));
  BOOST_TEST(transport.sent().size() == 1U);
}

// Guards against success while an instance does not have the version yet, or
// when an older version is active on all instances.
BOOST_AUTO_TEST_CASE(waiting_ends_when_all_instances_have_the_version) {
  transport.QueueResponse(Delivery::kAnswered, 200,
                          R"({"version":6,"live":3,"active":3})");
  transport.QueueResponse(Delivery::kAnswered, 200,
                          R"({"version":7,"live":3,"active":2,"lagging":[5]})");
  transport.QueueResponse(Delivery::kAnswered, 200,
                          R"({"version":8,"live":3,"active":3})");
  BOOST_TEST((Wait() == ErrorKind::kNone));
  const std::vector<std::uint64_t> expected{2, 3};
  BOOST_TEST(seen == expected);
}

// Guards against waiting indefinitely for a lagging instance.
BOOST_AUTO_TEST_CASE(waiting_ends_at_the_limit) {
  for (int i = 0; i < 100; ++i) {
    transport.QueueResponse(Delivery::kAnswered, 200,
                            R"({"version":7,"live":3,"active":2})");
  }
  const TimePoint start = clock.Now();
  BOOST_TEST((Wait() == ErrorKind::kTimedOut));
  BOOST_TEST((clock.Now() - start == std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
