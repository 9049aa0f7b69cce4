// UDP socket of an edge instance: receives packets from clients, sends packets
// to targets and resets to clients.
#ifndef SAPPHIRESTREAM_EDGE_IO_PACKET_PORT_H_
#define SAPPHIRESTREAM_EDGE_IO_PACKET_PORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

// Encodes and decodes datagrams; implemented by the platform adapter.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;
  // Returns nothing if the datagram is not a valid packet.
  [[nodiscard]] virtual std::optional<EdgePacket> Decode(
      std::span<const std::byte> datagram) const = 0;
  // Writes the target's key and the packet to `out`. Returns the size, or 0 if
  // `out` is too small.
  [[nodiscard]] virtual std::size_t Encode(TargetKey target,
                                           std::span<const std::byte> packet,
                                           std::optional<FlowToken> token,
                                           std::span<std::byte> out) const = 0;
  [[nodiscard]] virtual std::size_t EncodeReset(
      const ClientReset& reset, std::span<std::byte> out) const = 0;
};

class PacketPort {
 public:
  // Called for each received packet.
  using Handler = std::function<void(const EdgePacket& packet)>;

  // Errors: kInternal with the system's message. The references must outlive
  // the port.
  [[nodiscard]] static leaf::result<std::unique_ptr<PacketPort>> Open(
      boost::asio::io_context& context, const Endpoint& local,
      const PacketFormat& format, CounterSet& counters, Handler handler);

  // Starts reading. Until then packets stay in the socket's receive buffer.
  void Start();
  void Send(TargetKey target, V4Endpoint address,
            std::span<const std::byte> packet, std::optional<FlowToken> token);
  // Sends to the client's address, on the same port as the local one.
  void SendReset(const ClientReset& reset);

 private:
  // The system truncates larger datagrams, which then fail to decode.
  static constexpr std::size_t kMaxDatagram = 1500;
  // Maximum number of datagrams read before other events are handled.
  static constexpr int kMaxBatch = 64;

  PacketPort(boost::asio::ip::udp::socket socket, const PacketFormat& format,
             CounterSet& counters, Handler handler);
  void Wait();
  void ReadBatch();
  void SendTo(std::span<const std::byte> datagram, V4Endpoint to);

  boost::asio::ip::udp::socket socket_;
  const PacketFormat& format_;
  Handler handler_;
  bool started_ = false;
  Counter& received_;
  Counter& malformed_;
  Counter& send_errors_;
  std::uint16_t local_port_;
  std::array<std::byte, kMaxDatagram> in_{};
  std::array<std::byte, kMaxDatagram> out_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_PACKET_PORT_H_
