// Applies the decisions of Steering.
#include "sapphirestream/instance/flow_dispatcher.h"

#include <array>
#include <utility>
#include <variant>

#include "sapphirestream/link/answer_packet.h"
#include "sapphirestream/link/packet_builder.h"

namespace sapphirestream {
namespace {

// Packets per thread and event-loop iteration; bounded so that timers keep
// running under load.
constexpr int kMaxPacketsPerIteration = 256;

}  // namespace

FlowDispatcher::FlowDispatcher(const Options& options,
                               const Dependencies& dependencies,
                               std::vector<TrafficQueues*> threads)
    : options_(options),
      dependencies_(dependencies),
      threads_(std::move(threads)),
      counters_(dependencies.counters, "control"),
      learn_overflows_(
          dependencies.counters.Emplace("learn_queue_overflows_total")),
      snapshot_(std::make_shared<Snapshot>()),
      steering_(options.steering, dependencies.placers, *this,
                dependencies.counters) {}

void FlowDispatcher::SetSnapshot(const Snapshot& snapshot, TimePoint now) {
  snapshot_ = std::make_shared<Snapshot>(snapshot);
  steering_.SetSnapshot(snapshot_, now);
}

void FlowDispatcher::SetAuthority(TimePoint until) noexcept {
  snapshot_->authority_until = until;
}

bool FlowDispatcher::ProcessThreadQueues() {
  bool has_more = false;
  for (TrafficQueues* queues : threads_) {
    queues->ended.consume_all([this](const FlowKey& key) {
      steering_.OnLocalEnd(key, dependencies_.clock.Now());
    });
    int count = 0;
    while (count < kMaxPacketsPerIteration &&
           queues->escalated.consume_one([this](const EscalatedPacket& packet) {
             OnEscalated(packet);
           })) {
      ++count;
    }
    has_more |= count == kMaxPacketsPerIteration;
  }
  return has_more;
}

void FlowDispatcher::OnEscalated(const EscalatedPacket& packet) {
  const PacketContext context{.service = packet.service(),
                              .repeated = packet.repeated(),
                              .inner = packet.inner()};
  InnerPacket parsed;
  if (!Parse(context, parsed)) return;
  ApplyVerdict(steering_.OnPacket(parsed.packet, context.repeated,
                                  dependencies_.clock.Now()),
               context);
}

void FlowDispatcher::OnRedirect(InstanceId from, const Redirect& redirect) {
  const PacketContext context{
      .service = redirect.service,
      .asker = redirect.asker,
      .repeated = redirect.repeated,
      .inner = std::as_bytes(std::span(redirect.packet))};
  counters_.received.Add();
  InnerPacket parsed;
  if (!Parse(context, parsed)) return;
  ApplyVerdict(
      steering_.OnRedirect(parsed.packet, redirect.repeated, redirect.asker,
                           from, redirect.hop_limit, dependencies_.clock.Now()),
      context);
}

void FlowDispatcher::OnMessage(InstanceId from, const FlowMessage& message) {
  const TimePoint now = dependencies_.clock.Now();
  if (const auto* learn = std::get_if<Learn>(&message)) {
    SendToThreads({learn->key, learn->target});
    return;
  }
  steering_.OnMessage(from, message, now);
}

bool FlowDispatcher::Parse(const PacketContext& packet, InnerPacket& parsed) {
  ErrorKind error = ErrorKind::kUnknownService;
  if (const ServiceView* view = ViewOf(packet.service)) {
    error = ParseInnerPacket(packet.inner, packet.service, parsed);
    if (error == ErrorKind::kNone &&
        parsed.destination != view->service.address) {
      error = ErrorKind::kAddressMismatch;
    }
  }
  if (error != ErrorKind::kNone) counters_.dropped(error).Add();
  return error == ErrorKind::kNone;
}

void FlowDispatcher::ApplyVerdict(const Verdict& verdict,
                                  const PacketContext& packet) {
  switch (verdict.kind) {
    case VerdictKind::kForward:
      Forward(verdict.target, packet);
      return;
    case VerdictKind::kRedirect: {
      const InstanceId asker =
          packet.asker == kNoInstance ? options_.self : packet.asker;
      dependencies_.peers.Send(
          verdict.instance,
          Redirect{
              .asker = asker,
              .hop_limit = verdict.hop_limit,
              .service = packet.service,
              .repeated = packet.repeated,
              .packet = {reinterpret_cast<const char*>(packet.inner.data()),
                         packet.inner.size()}});
      counters_.redirected.Add();
      return;
    }
    case VerdictKind::kHold:
      held_.emplace(verdict.token,
                    HeldPacket{packet.service,
                               packet.asker,
                               {packet.inner.begin(), packet.inner.end()}});
      return;
    case VerdictKind::kAnswer:
      Answer(verdict.reason, packet);
      return;
    case VerdictKind::kEscalate:
    case VerdictKind::kDrop:
      counters_.dropped(verdict.reason).Add();
      return;
  }
}

void FlowDispatcher::Forward(TargetId target, const PacketContext& packet) {
  const ServiceView* view = ViewOf(packet.service);
  if (view == nullptr || !view->targets.contains(target)) {
    counters_.dropped(ErrorKind::kNoTargetAvailable).Add();
    return;
  }
  const Endpoint& tunnel = view->targets.at(target).tunnel;
  const auto datagram = EncapsulateInGeneve(packet.service, packet.inner);
  (dependencies_.packets.Send(tunnel, datagram) ? counters_.forwarded
                                                : counters_.send_failures)
      .Add();
}

void FlowDispatcher::Answer(ErrorKind reason, const PacketContext& packet) {
  InnerPacket parsed;
  if (AnswerFor(reason).packet_reply == PacketReply::kNoReply ||
      !Parse(packet, parsed)) {
    counters_.dropped(reason).Add();
    return;
  }
  std::array<std::byte, kMaxAnswerSize> answer;
  const std::size_t size = BuildAnswer(packet.inner, parsed, answer);
  if (size == 0) {
    counters_.dropped(reason).Add();
    return;
  }
  const auto datagram =
      EncapsulateInGeneve(packet.service, std::span(answer).first(size));
  (dependencies_.packets.Send(options_.return_path, datagram)
       ? counters_.answered
       : counters_.send_failures)
      .Add();
}

void FlowDispatcher::Send(InstanceId to, const FlowMessage& message) {
  std::visit([&](const auto& m) { dependencies_.peers.Send(to, m); }, message);
}

void FlowDispatcher::Release(std::uint64_t token, const Verdict& verdict) {
  const auto node = held_.extract(token);
  if (node.empty()) return;
  const HeldPacket& packet = node.mapped();
  ApplyVerdict(verdict, {.service = packet.service,
                         .asker = packet.asker,
                         .inner = packet.inner});
}

void FlowDispatcher::LearnFlow(const FlowKey& key, TargetId target) {
  SendToThreads({key, target});
}

void FlowDispatcher::ForgetFlow(const FlowKey& key) {
  SendToThreads({key, kNoTarget});
}

void FlowDispatcher::SendToThreads(const LearnCommand& command) {
  for (TrafficQueues* queues : threads_) {
    // After a lost command the flow is escalated until it is learned again.
    if (!queues->learned.push(command)) learn_overflows_.Add();
  }
}

const ServiceView* FlowDispatcher::ViewOf(ServiceId service) const noexcept {
  const auto it = snapshot_->services.find(service);
  return it == snapshot_->services.end() ? nullptr : &it->second;
}

}  // namespace sapphirestream
