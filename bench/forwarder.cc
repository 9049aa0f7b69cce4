// Minimal UDP forwarder with the batching of sapphired, and a load generator to
// compare the two on loopback (scripts/bench_forward.sh).
//
//   forwarder forward LISTEN TARGET
//   forwarder load TO SINK SECONDS FLOWS SERVICE SERVER
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "sapphirestream/instance/datagram_batch.h"
#include "sapphirestream/instance/udp_socket.h"
#include "sapphirestream/link/packet_builder.h"

namespace sapphirestream {
namespace {

constexpr int kReceiveTimeoutMs = 50;
constexpr std::size_t kPayloadSize = 64;

// Set by SIGTERM and SIGINT.
std::atomic<bool> is_stopping{false};

Endpoint RequireEndpoint(const std::string& text) {
  if (const auto endpoint = ParseEndpoint(text)) return *endpoint;
  throw std::invalid_argument("malformed endpoint '" + text + "'");
}

UdpSocket RequireSocket(const Endpoint& local) {
  auto socket = UdpSocket::Open(
      {.local = local, .receive_timeout_ms = kReceiveTimeoutMs});
  if (!socket) throw std::runtime_error("cannot bind " + ToString(local));
  return std::move(*socket);
}

int RunForward(const Endpoint& listen, const Endpoint& target) {
  const UdpSocket socket = RequireSocket(listen);
  ReceiveBatch received;
  SendBatch sent;
  while (!is_stopping.load(std::memory_order_relaxed)) {
    const std::size_t count = received.Receive(socket.fd());
    for (std::size_t i = 0; i < count; ++i) {
      (void)sent.Add(target, socket.family(), received.At(i));
    }
    (void)sent.Flush(socket.fd());
  }
  return 0;
}

struct LoadSettings {
  Endpoint to;
  Endpoint sink;
  std::chrono::seconds duration{};
  std::uint32_t flows = 0;
  ServiceId service{};
  Endpoint server;
};

std::vector<std::vector<std::byte>> MakeDatagrams(
    const LoadSettings& settings) {
  std::vector<std::vector<std::byte>> datagrams;
  const std::string payload(kPayloadSize, 'x');
  for (std::uint32_t i = 0; i < settings.flows; ++i) {
    PacketSpec spec;
    spec.source = {MakeV4(10, 1, static_cast<std::uint8_t>(i >> 8),
                          static_cast<std::uint8_t>(i)),
                   4000};
    spec.destination = settings.server;
    spec.protocol = Protocol::kUdp;
    spec.payload = payload;
    datagrams.push_back(
        EncapsulateInGeneve(settings.service, BuildPacket(spec)));
  }
  return datagrams;
}

// Sends at the maximum rate and prints how many datagrams reached the sink.
int RunLoad(const LoadSettings& settings) {
  const UdpSocket sink = RequireSocket(settings.sink);
  const UdpSocket source = RequireSocket({settings.to.address, 0});
  auto datagrams = MakeDatagrams(settings);
  std::atomic<bool> is_done{false};
  std::uint64_t received = 0;
  std::thread counter([&] {
    ReceiveBatch batch;
    while (!is_done.load(std::memory_order_relaxed)) {
      received += batch.Receive(sink.fd());
    }
  });
  SendBatch batch;
  std::uint64_t sent = 0;
  const auto end = std::chrono::steady_clock::now() + settings.duration;
  while (std::chrono::steady_clock::now() < end) {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      (void)batch.Add(settings.to, source.family(),
                      datagrams[(sent + i) % datagrams.size()]);
    }
    sent += kBatchSize - batch.Flush(source.fd());
  }
  // Wait for datagrams that are still queued.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  is_done = true;
  counter.join();
  std::cout << "sent=" << sent << " received=" << received << "\n";
  return 0;
}

int Main(const std::vector<std::string>& arguments) {
  if (arguments.size() == 3 && arguments[0] == "forward") {
    return RunForward(RequireEndpoint(arguments[1]),
                      RequireEndpoint(arguments[2]));
  }
  if (arguments.size() == 7 && arguments[0] == "load") {
    return RunLoad(
        {.to = RequireEndpoint(arguments[1]),
         .sink = RequireEndpoint(arguments[2]),
         .duration = std::chrono::seconds(std::stoi(arguments[3])),
         .flows = static_cast<std::uint32_t>(std::stoul(arguments[4])),
         .service =
             ServiceId{static_cast<std::uint32_t>(std::stoul(arguments[5]))},
         .server = RequireEndpoint(arguments[6])});
  }
  std::cerr << "usage: forwarder forward LISTEN TARGET\n"
               "       forwarder load TO SINK SECONDS FLOWS SERVICE SERVER\n";
  return 2;
}

}  // namespace
}  // namespace sapphirestream

int main(int argc, char** argv) {
  const auto stop = [](int) { sapphirestream::is_stopping = true; };
  std::signal(SIGTERM, stop);
  std::signal(SIGINT, stop);
  try {
    return sapphirestream::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
