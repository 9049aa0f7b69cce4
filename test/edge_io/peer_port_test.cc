// Guards against datagrams between instances that are lost in the port, against
// messages that were queued for a while but look new, and against errors that
// leave no log line.
#include "sapphirestream/edge_io/peer_port.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "testing/peer_network.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

struct Received {
  V4Endpoint from;
  std::size_t size = 0;
  Duration age{};
};

// Returns the socket that is bound to `local`, or -1.
int SocketAt(V4Endpoint local) {
  constexpr int max_descriptors = 1024;
  for (int descriptor = 0; descriptor < max_descriptors; ++descriptor) {
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size) ==
            0 &&
        name.sin_family == AF_INET && ntohs(name.sin_port) == local.port &&
        ntohl(name.sin_addr.s_addr) == local.address) {
      return descriptor;
    }
  }
  return -1;
}

struct Fixture : LogSink {
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }
  std::unique_ptr<PeerPort> Open(const std::string& address) {
    auto port = PeerPort::Open(
        context, *ParseEndpoint(address), log, counters,
        [this](V4Endpoint from, std::span<const std::byte> datagram,
               Duration age) {
          received.push_back({from, datagram.size(), age});
        });
    return port ? std::move(*port) : nullptr;
  }

  std::vector<std::string> lines;
  testing::ManualClock clock;
  EventLog log{*this, clock};
  boost::asio::io_context context{1};
  CounterSet counters;
  std::vector<Received> received;
};

BOOST_FIXTURE_TEST_SUITE(peer_port, Fixture)

BOOST_AUTO_TEST_CASE(a_queued_datagram_carries_its_age) {
  const auto a = Open("127.0.0.1:0");
  const auto b = Open("127.0.0.1:0");
  BOOST_REQUIRE(a);
  BOOST_REQUIRE(b);
  const std::vector<std::byte> bytes(kMaxPeerMessageBytes);
  b->Start();
  // The kernel may begin to record arrivals a little after it was asked to.
  constexpr int attempts = 50;
  for (int i = 0; i < attempts; ++i) {
    received.clear();
    a->Send(b->local(), bytes);
    std::this_thread::sleep_for(20ms);
    while (received.empty()) context.run_one();
    if (received[0].age >= 20ms) break;
  }
  BOOST_TEST((received[0].from == a->local()));
  BOOST_TEST(received[0].size == bytes.size());
  BOOST_TEST((received[0].age >= 20ms));
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error) {
  const auto a = Open("127.0.0.1:0");
  BOOST_REQUIRE(a);
  BOOST_TEST(!Open(ToString(a->local())));
}

// An ICMP error of an earlier datagram must not end the reading.
BOOST_AUTO_TEST_CASE(a_closed_port_of_a_peer_does_no_harm) {
  const auto a = Open("127.0.0.1:0");
  BOOST_REQUIRE(a);
  const V4Endpoint closed = Open("127.0.0.1:0")->local();
  const std::vector<std::byte> bytes(10);
  a->Start();
  a->Send(closed, bytes);
  a->Send(a->local(), bytes);
  while (received.empty()) context.run_one();
  BOOST_TEST(received[0].size == bytes.size());
}

BOOST_AUTO_TEST_CASE(a_failed_receive_is_logged_and_loses_no_other_datagram) {
  const auto a = Open("127.0.0.1:0");
  BOOST_REQUIRE(a);
  const V4Endpoint closed = Open("127.0.0.1:0")->local();
  // Makes the kernel report ICMP errors to the receiver.
  const int on = 1;
  BOOST_REQUIRE(::setsockopt(SocketAt(a->local()), IPPROTO_IP, IP_RECVERR, &on,
                             sizeof(on)) == 0);
  a->Start();
  a->Send(a->local(), std::vector<std::byte>(10));
  a->Send(closed, std::vector<std::byte>(10));
  constexpr int attempts = 50;
  for (int i = 0; i < attempts && (received.empty() || lines.empty()); ++i) {
    context.run_one_for(20ms);
  }
  BOOST_TEST(received.size() == 1U);
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  BOOST_TEST(lines[0] ==
             "event=peer_receive_failed call=recvmsg "
             "error=\"Connection refused\"");
}

BOOST_AUTO_TEST_CASE(a_failed_send_is_logged) {
  const auto a = Open("127.0.0.1:0");
  BOOST_REQUIRE(a);
  // Port 0 is invalid.
  a->Send({a->local().address, 0}, std::vector<std::byte>(10));
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  BOOST_TEST(lines[0] ==
             "event=peer_send_failed to=127.0.0.1:0 "
             "error=\"Invalid argument\"");
}

// Two instances on loopback addresses with the same port, as deployed.
BOOST_AUTO_TEST_CASE(exchanges_find_each_other_through_ports) {
  SeededRandom random(3);
  struct Instance {
    std::unique_ptr<PeerPort> port;
    testing::FakeSampleStore store;
    testing::FakeStoreProgress store_progress;
    CounterSet counters;
    std::unique_ptr<PeerExchange> exchange;
  };
  std::array<Instance, 2> instances;
  std::string address = "127.0.0.1:0";
  std::vector<V4Endpoint> seeds;
  for (Instance& instance : instances) {
    auto port = PeerPort::Open(
        context, *ParseEndpoint(address), log, instance.counters,
        [&](V4Endpoint from, std::span<const std::byte> datagram,
            Duration age) {
          instance.exchange->OnDatagram(from, datagram, age, clock.Now());
        });
    BOOST_REQUIRE(port);
    instance.port = std::move(*port);
    const V4Endpoint own = instance.port->local();
    if (seeds.empty()) seeds.push_back(own);
    address = "127.0.0.2:" + std::to_string(own.port);
    instance.exchange = std::make_unique<PeerExchange>(
        PeerExchangeOptions{own, PeerId{random.Next()}, "a", seeds, "store"},
        instance.store, instance.store_progress, *instance.port, random, log,
        instance.counters, clock.Now());
    instance.port->Start();
  }
  instances[0].store.own = {testing::Samples(1, 1, 7)};
  constexpr int max_ticks = 1000;
  for (int i = 0; i < max_ticks; ++i) {
    clock.Advance(PeerExchange::kTickInterval);
    for (Instance& instance : instances) instance.exchange->Tick(clock.Now());
    context.poll();
    if (!instances[1].store.of_peer.empty()) break;
  }
  BOOST_REQUIRE(instances[1].store.of_peer.size() == 1U);
  const auto& samples = instances[1].store.of_peer.begin()->second;
  BOOST_REQUIRE(samples.size() == 1U);
  BOOST_TEST(samples.begin()->second.outstanding == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
