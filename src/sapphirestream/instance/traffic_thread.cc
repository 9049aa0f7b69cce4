// Receive loop of a traffic thread.
#include "sapphirestream/instance/traffic_thread.h"

#include <utility>

#include "sapphirestream/link/peer_message.h"

namespace sapphirestream {
namespace {

// Bounds the delay of Stop, and of commands while no packets arrive.
constexpr int kReceiveTimeoutMs = 50;

}  // namespace

leaf::result<std::unique_ptr<TrafficThread>> TrafficThread::Open(
    const Options& options, const Shared& shared) {
  BOOST_LEAF_AUTO(data,
                  UdpSocket::Open({.local = options.data,
                                   .reuse_port = true,
                                   .receive_timeout_ms = kReceiveTimeoutMs}));
  BOOST_LEAF_AUTO(peer, UdpSocket::Open({.local = {options.peer_address, 0}}));
  return std::unique_ptr<TrafficThread>(
      new TrafficThread(options, shared, std::move(data), std::move(peer)));
}

TrafficThread::TrafficThread(const Options& options, const Shared& shared,
                             UdpSocket data, UdpSocket peer)
    : options_(options),
      clock_(shared.clock),
      wakeup_(shared.wakeup),
      state_(shared.state),
      counters_(shared.counters, std::to_string(options.index)),
      data_(std::move(data)),
      peer_(std::move(peer)),
      sealer_(options.key, options.self, options.incarnation,
              static_cast<std::uint16_t>(options.index + 1)),
      fast_path_(options.fast_path) {}

TrafficThread::~TrafficThread() { Stop(); }

void TrafficThread::Start() {
  thread_ = std::thread([this] {
    while (!is_stopping_.load(std::memory_order_relaxed)) RunOnce();
  });
}

void TrafficThread::Stop() {
  is_stopping_.store(true, std::memory_order_relaxed);
  if (thread_.joinable()) thread_.join();
}

void TrafficThread::RunOnce() {
  const std::size_t count = received_.Receive(data_.fd());
  const TimePoint now = clock_.Now();
  ApplyCommands(now);
  if (count == 0) return;
  counters_.received.Add(count);
  const TrafficState* state = state_.Get();
  if (state == nullptr) {
    counters_.dropped(ErrorKind::kNotReady).Add(count);
    return;
  }
  for (std::size_t i = 0; i < count; ++i) {
    if (received_.IsTruncated(i)) {
      counters_.dropped(ErrorKind::kOversized).Add();
    } else {
      OnDatagram(received_.At(i), *state, now);
    }
  }
  FinishBatch();
}

void TrafficThread::ApplyCommands(TimePoint now) {
  queues_.learned.consume_all([&](const LearnCommand& command) {
    const std::uint64_t hash = HashFlow(command.key);
    if (command.target == kNoTarget) {
      fast_path_.Forget(command.key, hash);
    } else {
      fast_path_.Learn(command.key, hash, command.target, now);
    }
  });
}

void TrafficThread::OnDatagram(std::span<std::byte> datagram,
                               const TrafficState& state, TimePoint now) {
  GeneveHeader header;
  if (const auto error = DecodeGeneve(datagram, header);
      error != ErrorKind::kNone) {
    counters_.dropped(error).Add();
    return;
  }
  const auto service = state.snapshot.services.find(header.service);
  if (service == state.snapshot.services.end()) {
    counters_.dropped(ErrorKind::kUnknownService).Add();
    return;
  }
  const auto inner = datagram.subspan(header.size);
  InnerPacket parsed;
  auto error = ParseInnerPacket(inner, header.service, parsed);
  if (error == ErrorKind::kNone &&
      parsed.destination != service->second.service.address) {
    error = ErrorKind::kAddressMismatch;
  }
  if (error != ErrorKind::kNone) {
    counters_.dropped(error).Add();
    return;
  }
  DecideAndForward(inner, parsed, service->second, state, now);
}

void TrafficThread::DecideAndForward(std::span<std::byte> inner,
                                     const InnerPacket& parsed,
                                     const ServiceView& service,
                                     const TrafficState& state, TimePoint now) {
  const ServiceId id = parsed.packet.key.service;
  bool repeated = false;
  const Verdict verdict =
      fast_path_.OnPacket(parsed.packet, state.snapshot, now, repeated);
  switch (verdict.kind) {
    case VerdictKind::kForward:
      Forward(inner, verdict.target, service);
      break;
    case VerdictKind::kEscalate:
      Escalate(inner, id, repeated);
      break;
    case VerdictKind::kRedirect:
      SendRedirect(inner, verdict, id, repeated, state);
      break;
    case VerdictKind::kHold:
    case VerdictKind::kAnswer:
    case VerdictKind::kDrop:
      counters_.dropped(verdict.reason).Add();
      break;
  }
  if (const auto ended = fast_path_.TakeEnded()) {
    // If the queue is full, the owner's record expires by its idle timeout.
    must_notify_ |= queues_.ended.push(*ended);
  }
}

void TrafficThread::Forward(std::span<std::byte> inner, TargetId target,
                            const ServiceView& service) {
  const auto it = service.targets.find(target);
  if (it == service.targets.end()) {
    counters_.dropped(ErrorKind::kNoTargetAvailable).Add();
    return;
  }
  // Reuses the bytes of the received header, which precede the inner packet.
  const std::span<std::byte> datagram(inner.data() - kGeneveHeaderSize,
                                      inner.size() + kGeneveHeaderSize);
  EncodeGeneve({service.service.id, ProtocolTypeOf(inner)}, datagram);
  if (!forwarded_.Add(it->second.tunnel, data_.family(), datagram)) {
    counters_.send_failures.Add();
  }
}

void TrafficThread::Escalate(std::span<const std::byte> inner,
                             ServiceId service, bool repeated) {
  if (queues_.escalated.push(EscalatedPacket(service, repeated, inner))) {
    counters_.escalated.Add();
  } else {
    counters_.dropped(ErrorKind::kQueueFull).Add();
  }
  must_notify_ = true;
}

void TrafficThread::SendRedirect(std::span<const std::byte> inner,
                                 const Verdict& verdict, ServiceId service,
                                 bool repeated, const TrafficState& state) {
  const auto peer = state.peers.find(verdict.instance);
  if (peer == state.peers.end()) {
    counters_.dropped(ErrorKind::kOwnerUnreachable).Add();
    return;
  }
  Redirect redirect{.asker = options_.self,
                    .hop_limit = verdict.hop_limit,
                    .service = service,
                    .repeated = repeated,
                    .packet = {}};
  redirect.packet.assign(reinterpret_cast<const char*>(inner.data()),
                         inner.size());
  peer_datagram_.assign(kPeerHeaderSize, std::byte{0});
  EncodePeerMessage(std::move(redirect), peer_datagram_);
  sealer_.Seal(verdict.instance, peer_datagram_);
  if (peer_.SendTo(peer->second, peer_datagram_)) {
    counters_.redirected.Add();
  } else {
    counters_.send_failures.Add();
  }
}

void TrafficThread::FinishBatch() {
  if (const std::size_t count = forwarded_.size(); count != 0) {
    const std::size_t lost = forwarded_.Flush(data_.fd());
    counters_.forwarded.Add(count - lost);
    if (lost != 0) counters_.send_failures.Add(lost);
  }
  counters_.learned.Set(fast_path_.learned());
  if (std::exchange(must_notify_, false)) wakeup_.Notify();
}

}  // namespace sapphirestream
