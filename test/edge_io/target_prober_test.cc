// Guards against a live target that is reported as silent because the packets
// of this instance are held up on its own link.
#include "sapphirestream/edge_io/target_prober.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
