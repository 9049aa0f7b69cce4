// Sends and receives messages between instances over UDP on the control thread,
// and keeps the addresses of the other instances.
#ifndef SAPPHIRESTREAM_INSTANCE_PEER_TRANSPORT_H_
#define SAPPHIRESTREAM_INSTANCE_PEER_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/instance/output.h"
#include "sapphirestream/instance/udp_socket.h"
#include "sapphirestream/link/peer_datagram.h"

namespace sapphirestream {

class PeerTransport final : public PeerOutput {
 public:
  struct Options {
    InstanceId self = kNoInstance;
    Incarnation incarnation{};
    PeerKey key{};
    Endpoint local;
  };
  using Addresses = std::unordered_map<InstanceId, Endpoint>;
  using Handler = std::function<void(InstanceId from, PeerMessage message)>;

  // Errors: kInternal if the socket cannot be opened.
  [[nodiscard]] static leaf::result<std::unique_ptr<PeerTransport>> Open(
      boost::asio::io_context& io, const Options& options,
      CounterSet& counters);

  // Starts receiving; calls `handler` for each accepted message.
  void Start(Handler handler);
  // Replaces the set of instances to exchange messages with.
  void SetPeers(Addresses peers);
  [[nodiscard]] const Addresses& peers() const noexcept { return peers_; }

  void Send(InstanceId to, const PeerMessage& message) override;

  [[nodiscard]] Endpoint local() const noexcept { return socket_.local(); }

 private:
  struct Counters {
    explicit Counters(CounterSet& set);
    std::array<Counter*, std::variant_size_v<PeerMessage>> sent{};
    std::array<Counter*, std::variant_size_v<PeerMessage>> sent_bytes{};
    std::array<Counter*, std::variant_size_v<PeerMessage>> received{};
    std::array<Counter*, kErrorKindCount> refused{};
    Counter& received_bytes;
    Counter& send_failures;
    // Messages above kMaxPeerDatagramSize, redirects excluded. Nonzero if a
    // module sends batches that are too large.
    Counter& oversized;
  };

  PeerTransport(boost::asio::io_context& io, const Options& options,
                UdpSocket socket, CounterSet& counters);
  void AwaitDatagrams();
  void ReceiveDatagrams();
  void OnDatagram(std::span<const std::byte> datagram);

  InstanceId self_;
  UdpSocket socket_;
  boost::asio::posix::stream_descriptor readable_;
  PeerSealer sealer_;
  PeerOpener opener_;
  Addresses peers_;
  Handler handler_;
  Counters counters_;
  std::vector<std::byte> receive_buffer_;
  std::vector<std::byte> send_buffer_;
};

// Returns the metric label of the message type with this PeerMessage index.
[[nodiscard]] std::string_view MessageName(std::size_t index) noexcept;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_PEER_TRANSPORT_H_
