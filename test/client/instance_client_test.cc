// Guards against a change that takes effect twice or is reported as refused
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
          BOOST_LEAF_CHECK(client.WaitInForce(
              ConfigVersion{7}, std::chrono::seconds(1),
              [&](const Rollout& now) { seen.push_back(now.active); }));
          return ErrorKind::kNone;
        },
        [](const Error& error) { return error.kind; },
        [] { return ErrorKind::kInternal; });
  }

  FakeTransport transport;
  FakePause pause;
  InstanceClient client{
      {*ParseEndpoint("127.0.0.11:7080"), *ParseEndpoint("127.0.0.12:7080")},
      transport,
      pause};
  std::vector<std::uint64_t> seen;
};

BOOST_FIXTURE_TEST_SUITE(instance_client, Fixture)

// Failure: the second instance takes the repeated change for a new one.
BOOST_AUTO_TEST_CASE(the_next_instance_gets_the_same_change) {
  transport.QueueResponse(Delivery::kLost);
  transport.QueueResponse(Delivery::kAnswered, 200, R"({"version":7})");
  BOOST_TEST((Submit() == ErrorKind::kNone));
  BOOST_REQUIRE(transport.sent().size() == 2U);
  BOOST_TEST((transport.sent()[0].instance != transport.sent()[1].instance));
  BOOST_TEST(transport.sent()[0].call.body == transport.sent()[1].call.body);
}

// Failure: "nothing was changed" is reported of a change that one instance may
// have accepted.
BOOST_AUTO_TEST_CASE(a_lost_answer_stays_unknown) {
  transport.QueueResponse(Delivery::kLost);
  BOOST_TEST((Submit() == ErrorKind::kOutcomeUnknown));
  transport.QueueResponse(Delivery::kLost);
  transport.QueueResponse(Delivery::kAnswered, 503,
                          R"({"error":"store_unavailable"})");
  BOOST_TEST((Submit() == ErrorKind::kOutcomeUnknown));
  transport.QueueResponse(Delivery::kAnswered, 504,
                          R"({"error":"outcome_unknown"})");
  transport.QueueResponse(Delivery::kAnswered, 503, R"({"error":"not_ready"})");
  BOOST_TEST((Submit() == ErrorKind::kOutcomeUnknown));
}

// Failure: the user is told to repeat a change that no instance got.
BOOST_AUTO_TEST_CASE(a_change_that_nobody_got_is_not_unknown) {
  BOOST_TEST((Submit() == ErrorKind::kUnreachable));
}

// Failure: a refusal is hidden by asking instances until one answers otherwise.
BOOST_AUTO_TEST_CASE(a_refusal_is_final) {
  transport.QueueResponse(Delivery::kAnswered, 409,
                          R"({"error":"contradicted"})");
  BOOST_TEST((Submit() == ErrorKind::kContradicted));
  BOOST_TEST(transport.sent().size() == 1U);
}

// Failure: an instance that does not know the version yet, or an older version
// that is in force everywhere, counts as success.
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

// Failure: the client waits for ever for an instance that lags.
BOOST_AUTO_TEST_CASE(waiting_ends_at_the_limit) {
  for (int i = 0; i < 100; ++i) {
    transport.QueueResponse(Delivery::kAnswered, 200,
                            R"({"version":7,"live":3,"active":2})");
  }
  const TimePoint start = pause.Now();
  BOOST_TEST((Wait() == ErrorKind::kTimedOut));
  BOOST_TEST((pause.Now() - start == std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
