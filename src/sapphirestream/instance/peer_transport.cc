// Messages between instances over UDP.
#include "sapphirestream/instance/peer_transport.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace sapphirestream {
namespace {

// Holds the largest redirect: kMaxDatagramSize plus header and encoding.
constexpr std::size_t kReceiveBufferSize = 4'096;
// Datagrams per event-loop iteration; bounded so that timers keep running under
// load.
constexpr int kMaxDatagramsPerIteration = 64;

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>>
    kMessageNames{
        "heartbeat",    "probe",       "probe_ack",    "leave",
        "config_delta", "config_pull", "config_chunk", "config_confirm",
        "redirect",     "learn",       "record_batch", "record_ack",
        "record_pull",  "record_page", "flow_end",     "placement_counts"};

}  // namespace

std::string_view MessageName(std::size_t index) noexcept {
  return kMessageNames[index];
}

PeerTransport::Counters::Counters(CounterSet& set)
    : received_bytes(set.Emplace("peer_received_bytes_total")),
      send_failures(set.Emplace("peer_send_failures_total")),
      oversized(set.Emplace("peer_messages_oversized_total")) {
  for (std::size_t i = 0; i < kMessageNames.size(); ++i) {
    const std::string label =
        "{message=\"" + std::string(kMessageNames[i]) + "\"}";
    sent[i] = &set.Emplace("peer_messages_sent_total" + label);
    sent_bytes[i] = &set.Emplace("peer_sent_bytes_total" + label);
    received[i] = &set.Emplace("peer_messages_received_total" + label);
  }
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    refused[i] = &set.Emplace("peer_datagrams_refused_total{reason=\"" +
                              std::string(AnswerFor(kind).name) + "\"}");
  }
}

leaf::result<std::unique_ptr<PeerTransport>> PeerTransport::Open(
    boost::asio::io_context& io, const Options& options, CounterSet& counters) {
  BOOST_LEAF_AUTO(socket, UdpSocket::Open({.local = options.local}));
  return std::unique_ptr<PeerTransport>(
      new PeerTransport(io, options, std::move(socket), counters));
}

PeerTransport::PeerTransport(boost::asio::io_context& io,
                             const Options& options, UdpSocket socket,
                             CounterSet& counters)
    : self_(options.self),
      socket_(std::move(socket)),
      // The stream descriptor closes its own duplicate.
      readable_(io, ::dup(socket_.fd())),
      sealer_(options.key, options.self, options.incarnation, 0),
      opener_(options.key, options.self),
      counters_(counters),
      receive_buffer_(kReceiveBufferSize) {}

void PeerTransport::Start(Handler handler) {
  handler_ = std::move(handler);
  AwaitDatagrams();
}

void PeerTransport::SetPeers(Addresses peers) {
  peers.erase(self_);
  peers_ = std::move(peers);
  std::vector<InstanceId> ids;
  ids.reserve(peers_.size());
  for (const auto& [id, endpoint] : peers_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  opener_.SetSenders(ids);
}

void PeerTransport::Send(InstanceId to, const PeerMessage& message) {
  const auto peer = peers_.find(to);
  if (peer == peers_.end()) {
    counters_.send_failures.Add();
    return;
  }
  send_buffer_.assign(kPeerHeaderSize, std::byte{0});
  EncodePeerMessage(message, send_buffer_);
  sealer_.Seal(to, send_buffer_);
  if (send_buffer_.size() > kMaxPeerDatagramSize &&
      !std::holds_alternative<Redirect>(message)) {
    counters_.oversized.Add();
  }
  if (!socket_.SendTo(peer->second, send_buffer_)) {
    counters_.send_failures.Add();
    return;
  }
  counters_.sent[message.index()]->Add();
  counters_.sent_bytes[message.index()]->Add(send_buffer_.size());
}

void PeerTransport::AwaitDatagrams() {
  readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](boost::system::error_code error) {
                         if (error) return;
                         ReceiveDatagrams();
                         AwaitDatagrams();
                       });
}

void PeerTransport::ReceiveDatagrams() {
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    Endpoint from;
    const std::ptrdiff_t size = socket_.ReceiveFrom(receive_buffer_, from);
    if (size < 0) return;
    OnDatagram(
        std::span(receive_buffer_).first(static_cast<std::size_t>(size)));
  }
}

void PeerTransport::OnDatagram(std::span<const std::byte> datagram) {
  counters_.received_bytes.Add(datagram.size());
  const auto refuse = [this](ErrorKind kind) {
    counters_.refused[static_cast<std::size_t>(kind)]->Add();
  };
  OpenedDatagram opened;
  if (const auto error = opener_.Open(datagram, opened);
      error != ErrorKind::kNone) {
    refuse(error);
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(opened.body));
        counters_.received[message.index()]->Add();
        handler_(opened.sender, std::move(message));
        return {};
      },
      [&] { refuse(ErrorKind::kMalformedMessage); });
}

}  // namespace sapphirestream
