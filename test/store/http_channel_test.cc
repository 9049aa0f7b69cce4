// Guards against calls that wait behind an abandoned one on its connection.
#include "sapphirestream/store/http_channel.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "test/store/http_server.h"

namespace sapphirestream {
namespace {

using internal::HttpChannel;
using internal::HttpOutcome;
using internal::HttpReply;

constexpr Duration kLong = std::chrono::minutes(1);

// Answers the first request of one connection piece by piece, and then leaves
// the connection open.
class TrickleServer {
 public:
  static constexpr std::chrono::milliseconds kPause{40};

  TrickleServer(boost::asio::io_context& context, std::string header,
                std::vector<std::string> pieces)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(context),
        timer_(context),
        pieces_(std::move(pieces)) {
    pieces_.insert(pieces_.begin(), std::move(header));
    acceptor_.async_accept(socket_, [this](auto error) {
      if (!error) Send(0);
    });
  }
  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  void Send(std::size_t index) {
    if (index == pieces_.size()) return;
    timer_.expires_after(kPause);
    timer_.async_wait([this, index](auto error) {
      if (error) return;
      boost::system::error_code ignored;  // the client may have given up
      boost::asio::write(socket_, boost::asio::buffer(pieces_[index]), ignored);
      Send(index + 1);
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::vector<std::string> pieces_;
};

struct Fixture {
  // Uses another server from now on.
  void Connect(std::uint16_t port) {
    channel = std::make_shared<HttpChannel>(
        context,
        boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                       port),
        internal::kMaxListBytes, "Era");
  }
  void Call(const std::string& path, Duration deadline = kLong,
            std::size_t max_bytes = internal::kMaxListBytes) {
    channel->Call({http::verb::get, path, 11},
                  {.deadline = deadline, .max_bytes = max_bytes},
                  [this, path](const HttpReply& reply) {
                    answered.push_back(path);
                    outcome = reply.outcome;
                    era = reply.era;
                    was_reused = reply.was_reused;
                    body = reply.body;
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
  std::string body;
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

// A connection that was tried during a partition was only tried again after 1 s
// and more, and the call failed at its deadline although the partition was
// over.
BOOST_AUTO_TEST_CASE(a_lost_attempt_to_connect_is_repeated) {
  // Its queue of new connections is full: further ones stay unanswered.
  boost::asio::ip::tcp::acceptor full(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  boost::asio::ip::tcp::socket first(context);
  first.connect(full.local_endpoint());
  Connect(full.local_endpoint().port());
  Call("/any");
  bool is_accepted = false;
  boost::asio::steady_timer partition(context,
                                      HttpChannel::kConnectTimeout / 2);
  partition.async_wait([&](auto) {
    boost::asio::ip::tcp::socket waiting(context);
    full.accept(waiting);  // makes room
    full.async_accept([&](auto error, boost::asio::ip::tcp::socket) {
      is_accepted = !error;
      context.stop();
    });
  });
  // The kernel would repeat the opening packet after 1 s.
  context.run_for(std::chrono::milliseconds(950));
  BOOST_TEST(is_accepted);
}

// On a slow link a check of the view failed at its deadline while its reply was
// arriving, and was repeated from the start.
BOOST_AUTO_TEST_CASE(a_reply_that_keeps_arriving_outlasts_the_deadline) {
  TrickleServer slow(context, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
                     {"a", "b", "c", "d", "e", "f"});
  Connect(slow.port());
  Call("/any", TrickleServer::kPause * 2);
  BOOST_TEST(!channel->IsReceiving());
  while (!channel->IsReceiving()) context.run_one();
  BOOST_TEST(answered.empty());
  RunUntilAnswered(1);
  BOOST_TEST((outcome == HttpOutcome::kAnswered));
  BOOST_TEST(body == "abcdef");
  BOOST_TEST(!channel->IsReceiving());
}

// Some bytes must not keep a call alive whose connection has gone silent.
BOOST_AUTO_TEST_CASE(a_reply_that_stops_arriving_fails) {
  TrickleServer slow(context, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
                     {"a", "b"});
  Connect(slow.port());
  Call("/any", kLong);
  RunUntilAnswered(1);
  BOOST_TEST((outcome == HttpOutcome::kConnectionFailed));
  BOOST_TEST(!channel->IsReceiving());
}

// The size is known from the header, so that the rest is not transferred.
BOOST_AUTO_TEST_CASE(a_reply_beyond_the_limit_of_its_call_is_abandoned) {
  TrickleServer slow(
      context, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", {"a"});
  Connect(slow.port());
  Call("/any", kLong, /*max_bytes=*/4096);
  RunUntilAnswered(1);
  BOOST_TEST((outcome == HttpOutcome::kTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
