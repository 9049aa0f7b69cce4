// Guards against calls that wait behind an abandoned one on its connection.
#include "sapphirestream/store/http_channel.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "test/store/http_server.h"

namespace sapphirestream {
namespace {

using internal::HttpChannel;
using internal::HttpOutcome;
using internal::HttpReply;

constexpr Duration kLong = std::chrono::minutes(1);

struct Fixture {
  void Call(const std::string& path, Duration deadline = kLong) {
    channel->Call({http::verb::get, path, 11}, deadline,
                  [this, path](const HttpReply& reply) {
                    answered.push_back(path);
                    outcome = reply.outcome;
                    era = reply.era;
                    was_reused = reply.was_reused;
                  });
  }
  void RunUntilAnswered(std::size_t calls) {
    while (answered.size() < calls) context.run_one();
  }

  boost::asio::io_context context;
  // Of the reply to /large.
  std::size_t body_size = 0;
  // Leaves requests for /held unanswered.
  HttpServer server{context, [this](const HttpServer::Request& request) {
                      HttpServer::HandlerResult result;
                      if (request.target() == "/held") return result;
                      result.response.emplace(http::status::ok, 11);
                      result.response->set("Era", "12");
                      if (request.target() == "/large") {
                        result.response->body() = std::string(body_size, 'x');
                        result.response->prepare_payload();
                      }
                      return result;
                    }};
  std::shared_ptr<HttpChannel> channel = std::make_shared<HttpChannel>(
      context,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                     server.endpoint().port),
      internal::kMaxListBytes, "Era");
  std::vector<std::string> answered;
  HttpOutcome outcome = HttpOutcome::kNotSent;
  StoreEra era = kUnknownEra;
  bool was_reused = false;
};

BOOST_FIXTURE_TEST_SUITE(http_channel, Fixture)

BOOST_AUTO_TEST_CASE(a_call_after_a_cancelled_one_does_not_wait_for_it) {
  Call("/held");
  Call("/queued");
  context.run_for(std::chrono::milliseconds(20));
  channel->Cancel();
  Call("/next");
  RunUntilAnswered(1);
  BOOST_TEST(answered == std::vector<std::string>{"/next"},
             boost::test_tools::per_element());
  BOOST_TEST((outcome == HttpOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(calls_can_be_cancelled_before_they_are_sent) {
  Call("/held");
  channel->Cancel();
  channel->Cancel();
  Call("/next");
  RunUntilAnswered(1);
  BOOST_TEST(answered == std::vector<std::string>{"/next"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_era_of_a_reply_is_read_from_its_header) {
  Call("/any");
  RunUntilAnswered(1);
  BOOST_TEST((era == StoreEra{12}));
}

// A connection that has gone silent looks like a slow store otherwise.
BOOST_AUTO_TEST_CASE(a_reply_tells_whether_its_connection_worked_before) {
  constexpr Duration brief = std::chrono::milliseconds(20);
  Call("/held", brief);
  RunUntilAnswered(1);
  BOOST_TEST((outcome == HttpOutcome::kTimedOut));
  BOOST_TEST(!was_reused);
  Call("/any");
  RunUntilAnswered(2);
  BOOST_TEST(!was_reused);
  Call("/any");
  RunUntilAnswered(3);
  BOOST_TEST(was_reused);
  Call("/held", brief);
  RunUntilAnswered(4);
  BOOST_TEST((outcome == HttpOutcome::kTimedOut));
  BOOST_TEST(was_reused);
  Call("/any");
  RunUntilAnswered(5);
  BOOST_TEST(!was_reused);
}

// A list or several versions of an object may exceed the size of one value.
BOOST_AUTO_TEST_CASE(a_reply_may_be_larger_than_one_value) {
  body_size = kMaxValueBytes + 4096;
  Call("/large");
  RunUntilAnswered(1);
  BOOST_TEST((outcome == HttpOutcome::kAnswered));
  body_size = internal::kMaxListBytes + 1;
  Call("/large");
  RunUntilAnswered(2);
  BOOST_TEST((outcome == HttpOutcome::kTooLarge));
  Call("/any");
  RunUntilAnswered(3);
  BOOST_TEST((outcome == HttpOutcome::kAnswered));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
