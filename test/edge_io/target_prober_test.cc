// Guards against a live target that is reported as silent because the packets
// of this instance are held up on its own link.
#include "sapphirestream/edge_io/target_prober.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/admin/http_server.h"

namespace sapphirestream {
namespace {

using boost::asio::ip::address_v4;
using boost::asio::ip::tcp;

// A loopback listener. A full one has no room in its queue of new connections:
// the kernel drops further connection requests, so they stay unanswered.
class Listener {
 public:
  Listener(boost::asio::io_context& context, bool full)
      : acceptor_(context, {address_v4::loopback(), 0}, /*reuse=*/false) {
    acceptor_.listen(full ? 0
                          : boost::asio::socket_base::max_listen_connections);
    if (!full) return;
    constexpr int queue_size = 1;
    for (int i = 0; i < queue_size; ++i) {
      waiting_.emplace_back(context);
      waiting_.back().connect(acceptor_.local_endpoint());
    }
  }
  [[nodiscard]] V4Endpoint address() const {
    return {address_v4::loopback().to_uint(),
            acceptor_.local_endpoint().port()};
  }

 private:
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> waiting_;
};

struct Fixture {
  // Returns an address that refuses connections.
  V4Endpoint Unused() { return Listener(context, /*full=*/false).address(); }
  ProbeOutcome Probe(V4Endpoint target, std::optional<V4Endpoint> control) {
    TargetProber prober(context, "Identity",
                        [](std::string_view) -> std::optional<TargetKey> {
                          return std::nullopt;
                        });
    std::optional<ProbeOutcome> result;
    prober.Probe({.kind = ProbeKind::kConnection,
                  .target = TargetKey{1},
                  .address = target,
                  .health_path = {},
                  .control = control},
                 [&](const ProbeResult& probe) { result = probe.outcome; });
    context.restart();
    context.run();
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  // Answers health checks at an address of its own.
  std::unique_ptr<HttpServer> Serve(
      std::function<void(const HttpServer::Reply&)> answer) {
    return HttpServer::Open(
               context, {MakeV4(127, 0, 0, 1), 0},
               [answer = std::move(answer)](const HttpRequest& /*request*/,
                                            const HttpServer::Reply& reply) {
                 answer(reply);
               })
        .value();
  }
  ProbeResult ProbeIdentity(TargetKey target, const HttpServer& server) {
    TargetProber prober(
        context, "Identity",
        [](std::string_view name) -> std::optional<TargetKey> {
          return TargetKey{static_cast<std::uint64_t>(name.back() - '0')};
        });
    std::optional<ProbeResult> result;
    prober.Probe(
        {.kind = ProbeKind::kIdentity,
         .target = target,
         .address = {address_v4::loopback().to_uint(), server.local().port},
         .health_path = "/health",
         .control = std::nullopt},
        [&](const ProbeResult& probe) { result = probe; });
    context.restart();
    while (!result) context.run_one();
    return *result;
  }

  boost::asio::io_context context;
  Listener accepting{context, /*full=*/false};
  Listener silent{context, /*full=*/true};
  Listener also_silent{context, /*full=*/true};
};

BOOST_FIXTURE_TEST_SUITE(target_prober, Fixture)

BOOST_AUTO_TEST_CASE(an_accepted_connection_needs_no_control) {
  BOOST_TEST((Probe(accepting.address(), silent.address()) ==
              ProbeOutcome::kAccepted));
  BOOST_TEST((Probe(Unused(), silent.address()) == ProbeOutcome::kRefused));
}

BOOST_AUTO_TEST_CASE(silence_counts_if_the_control_answers) {
  BOOST_TEST(
      (Probe(silent.address(), accepting.address()) == ProbeOutcome::kSilent));
  BOOST_TEST((Probe(silent.address(), Unused()) == ProbeOutcome::kSilent));
}

// Both are silent: more likely the own link than two targets.
BOOST_AUTO_TEST_CASE(silence_proves_nothing_if_the_control_is_silent_as_well) {
  BOOST_TEST((Probe(silent.address(), also_silent.address()) ==
              ProbeOutcome::kFailed));
}

BOOST_AUTO_TEST_CASE(silence_counts_if_there_is_no_control) {
  BOOST_TEST((Probe(silent.address(), std::nullopt) == ProbeOutcome::kSilent));
}

// Which of several targets has an address was not known, although a probe had
// been answered.
BOOST_AUTO_TEST_CASE(an_identity_probe_tells_which_target_answered) {
  std::string name = "i-7";
  const std::unique_ptr<HttpServer> server = Serve([&name](const auto& reply) {
    HttpResponse response;
    if (!name.empty()) response.fields.emplace_back("Identity", name);
    reply(std::move(response));
  });
  const ProbeResult own = ProbeIdentity(TargetKey{7}, *server);
  BOOST_TEST((own.outcome == ProbeOutcome::kAccepted));
  BOOST_TEST((own.answered_by == TargetKey{7}));
  BOOST_TEST(own.answered_name == "i-7");
  const ProbeResult other = ProbeIdentity(TargetKey{8}, *server);
  BOOST_TEST((other.outcome == ProbeOutcome::kStranger));
  BOOST_TEST((other.answered_by == TargetKey{7}));
  name.clear();
  const ProbeResult anonymous = ProbeIdentity(TargetKey{7}, *server);
  BOOST_TEST((anonymous.outcome == ProbeOutcome::kAccepted));
  BOOST_TEST((anonymous.answered_by == TargetKey{}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
