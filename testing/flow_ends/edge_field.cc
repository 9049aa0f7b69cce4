#include "testing/flow_ends/edge_field.h"

#include <array>
#include <optional>

#include "platform/edge_platform.h"
#include "platform/packet_codec.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/id.h"
#include "testing/null_log_sink.h"

namespace sapphirestream::testing {
namespace {

using namespace std::chrono_literals;

// Time after which unanswered connection attempts are given up.
constexpr Duration kProbeTimeout = 60ms;
constexpr Duration kExpiryPeriod = 250ms;
constexpr std::size_t kFlowCapacity = 4096;
constexpr const char* kDomain = "a";

}  // namespace

class EdgeField::Instance final : private EdgeSink {
 public:
  Instance(std::uint32_t id, EdgeField& field)
      : id_(id),
        field_(field),
        log_(sink_, field.time_),
        flow_log_(log_, routes_),
        steering_(routes_, targets_, *this, flow_log_, counters_,
                  {.placer = placer_}, {.flow_capacity = kFlowCapacity}) {}

  void OnDatagram(std::span<const std::byte> datagram) {
    const auto packet = platform_->format().Decode(datagram);
    if (!packet) return;
    steering_.OnPacket(*packet, field_.time_.Now());
    ArmTimer();
  }
  RouteTable& routes() { return routes_; }
  TargetDirectory& targets() { return targets_; }
  [[nodiscard]] bool is_alive() const { return alive_; }
  void Stop() { alive_ = false; }

 private:
  void Forward(TargetKey target, V4Endpoint /*address*/,
               std::span<const std::byte> packet,
               std::optional<FlowToken> token) override {
    if (const auto decoded = DecodeFlowPacket(packet)) {
      field_.observer_.OnForwarded(id_, target, *decoded);
    }
    Bytes out(platform::kTargetPrefixSize + platform::kMaxPacketSize);
    out.resize(platform_->format().Encode(target, packet, token, out));
    field_.DeliverToTarget(target, std::move(out));
  }
  void Reset(const ClientReset& reset) override {
    field_.observer_.OnReset(id_, reset);
    Bytes out(platform::kMaxPacketSize);
    out.resize(platform_->format().EncodeReset(reset, out));
    field_.DeliverToClient(std::move(out));
  }
  void Probe(const ProbeRequest& probe) override {
    const TimePoint begun = field_.time_.Now();
    const ProbeOutcome outcome = field_.ProbeOutcomeOf(probe.target);
    const Duration time =
        outcome == ProbeOutcome::kSilent ? kProbeTimeout : 2 * kHop;
    field_.time_.After(time, [this, target = probe.target, outcome, begun] {
      if (!alive_) return;
      field_.observer_.OnProbed(id_, target, outcome);
      steering_.OnProbe(target, {.outcome = outcome, .begun = begun},
                        field_.time_.Now());
      ArmTimer();
    });
  }
  void RefreshTargets() override {}
  // All instances have the same routes at any time.
  void ConfirmRoutes() override {
    const TimePoint begun = field_.time_.Now();
    field_.time_.After(2 * kHop, [this, begun] {
      if (alive_) steering_.OnRoutesRead(begun, field_.time_.Now());
    });
  }

  void ArmTimer() {
    const auto next = steering_.NextDeadline();
    if (!next || (timer_expiry_ && *timer_expiry_ <= *next)) return;
    timer_expiry_ = next;
    field_.time_.After(*next - field_.time_.Now(), [this, due = *next] {
      if (timer_expiry_ != due || !alive_) return;
      timer_expiry_.reset();
      steering_.Tick(field_.time_.Now());
      ArmTimer();
    });
  }

  std::uint32_t id_;
  EdgeField& field_;
  bool alive_ = true;
  std::unique_ptr<EdgePlatform> platform_ = platform::MakeEdgePlatform();
  NullLogSink sink_;
  EventLog log_;
  RouteTable routes_;
  TargetDirectory targets_{routes_, kDomain};
  EdgeLog flow_log_;
  CounterSet counters_;
  TierPlacer placer_;
  EdgeSteering steering_;
  std::optional<TimePoint> timer_expiry_;
};

EdgeField::EdgeField(std::uint32_t instances, FieldObserver& observer)
    : observer_(observer) {
  for (std::uint32_t id = 1; id <= instances; ++id) {
    instances_.push_back(std::make_unique<Instance>(id, *this));
  }
  ExpireTargets();
}

EdgeField::~EdgeField() = default;

void EdgeField::ExpireTargets() {
  for (const auto& instance : instances_) {
    instance->targets().Expire(time_.Now(), time_.Now());
  }
  time_.After(kExpiryPeriod, [this] { ExpireTargets(); });
}

void EdgeField::Configure(const RouteConfig& config) {
  for (const auto& instance : instances_) instance->routes().Apply(config);
}

void EdgeField::List(const TargetRecord& record) {
  ++revision_;
  for (const auto& instance : instances_) {
    instance->targets().Upsert(record, {StoreEra{1}, revision_},
                               /*propagated=*/true, time_.Now());
  }
}

void EdgeField::Unlist(TargetKey key, bool store_was_unavailable) {
  ++revision_;
  const std::optional<TimePoint> store_returned_at =
      store_was_unavailable ? std::optional(time_.Now()) : std::nullopt;
  for (const auto& instance : instances_) {
    instance->targets().Erase(key, {StoreEra{1}, revision_}, store_returned_at,
                              time_.Now());
  }
}

void EdgeField::AddTarget(const TargetRecord& record, Duration service_time) {
  Target& target = targets_[record.key];
  target.record = record;
  target.service_time = service_time;
  StartProcess(target);
  List(record);
}

void EdgeField::StartProcess(Target& target) {
  target.process = std::make_unique<FlowTarget>(
      FlowTargetOptions{target.record.key, target.record.slots,
                        target.service_time},
      time_,
      [this](std::span<const std::byte> packet) {
        DeliverToClient({packet.begin(), packet.end()});
      },
      *this);
}

void EdgeField::Drain(TargetKey key) {
  Target& target = targets_.at(key);
  target.process->Drain();
  target.record.draining = true;
  List(target.record);
}

void EdgeField::SetState(TargetKey key, HostState state) {
  Target& target = targets_.at(key);
  target.state = state;
  target.process.reset();
  if (state == HostState::kAlive) StartProcess(target);
}

void EdgeField::StopInstance(std::uint32_t instance) {
  instances_.at(instance - 1)->Stop();
}

void EdgeField::Open(const FlowPlan& plan) {
  auto& client = clients_[Value(plan.client)];
  client = std::make_unique<FlowClient>(
      plan, time_, time_,
      [this](std::span<const std::byte> packet) { Send(packet); },
      [this](const FlowClient& flow) { observer_.OnFlowOver(flow); });
  client->Start();
}

void EdgeField::Send(std::span<const std::byte> packet) {
  time_.After(kHop, [this, bytes = Bytes(packet.begin(), packet.end())] {
    std::vector<Instance*> alive;
    for (const auto& instance : instances_) {
      if (instance->is_alive()) alive.push_back(instance.get());
    }
    const auto decoded = DecodeFlowPacket(bytes);
    if (alive.empty()) return;
    const std::uint64_t hash =
        decoded ? FlowHash(decoded->from, decoded->to) : 0;
    alive[hash % alive.size()]->OnDatagram(bytes);
  });
}

void EdgeField::DeliverToTarget(TargetKey key, Bytes datagram) {
  time_.After(kHop, [this, key, bytes = std::move(datagram)] {
    const auto it = targets_.find(key);
    if (it != targets_.end() && it->second.process) {
      it->second.process->OnDatagram(bytes);
    }
  });
}

void EdgeField::DeliverToClient(Bytes packet) {
  time_.After(kHop, [this, bytes = std::move(packet)] {
    const auto decoded = DecodeFlowPacket(bytes);
    if (!decoded) return;
    const auto it = clients_.find(Value(decoded->to));
    if (it != clients_.end()) it->second->OnPacket(*decoded);
  });
}

ProbeOutcome EdgeField::ProbeOutcomeOf(TargetKey key) const {
  const auto it = targets_.find(key);
  const HostState state =
      it == targets_.end() ? HostState::kSilent : it->second.state;
  switch (state) {
    case HostState::kAlive:
      return ProbeOutcome::kAccepted;
    case HostState::kCrashed:
      return ProbeOutcome::kRefused;
    case HostState::kSilent:
      break;
  }
  return ProbeOutcome::kSilent;
}

bool EdgeField::IsAlive(TargetKey key) const {
  return targets_.at(key).state == HostState::kAlive;
}

bool EdgeField::Holds(TargetKey key, V4Endpoint client) const {
  const Target& target = targets_.at(key);
  return target.process && target.process->Holds(client);
}

void EdgeField::OnRun(TargetKey target, const std::string& request) {
  observer_.OnRun(target, request);
}

void EdgeField::OnOpened(TargetKey target, V4Endpoint client) {
  observer_.OnOpened(target, client);
}

void EdgeField::OnUnknownFlow(TargetKey /*target*/,
                              const FlowPacket& /*packet*/) {}

}  // namespace sapphirestream::testing
