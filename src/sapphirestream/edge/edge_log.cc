#include "sapphirestream/edge/edge_log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

#include "sapphirestream/base/duration.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {
namespace {

std::string FlowText(V4Endpoint client, V4Endpoint service) {
  return ToString(client) + ">" + ToString(service);
}

std::string FlowText(const EdgePacket& packet) {
  return FlowText(packet.client, packet.service);
}

std::string FlowText(const CachedFlow& flow) {
  return FlowText(flow.client, flow.service);
}

// Age in ms of a view that is complete until `time`; -1 if that is not known.
std::int64_t AgeOf(TimePoint time, TimePoint now) {
  return time == TimePoint{} ? -1 : Milliseconds(now - time);
}

}  // namespace

std::string ToString(TargetKey key) {
  // Service discovery pads keys with zeros to this width.
  constexpr std::size_t width = 10;
  std::array<char, 16> digits{};
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), Value(key), /*base=*/16);
  const std::string text(digits.data(), end);
  return std::string(width - std::min(width, text.size()), '0') + text;
}

std::int64_t EdgeLog::ViewAge(TimePoint now) const noexcept {
  return AgeOf(targets_complete_until_, now);
}

void EdgeLog::Placed(const EdgePacket& packet, const EdgePlacement& placement,
                     FlowToken token, TimePoint now) {
  const EdgeTarget& target = *placement.target;
  log_.Write(LogLevel::kInfo, "placed",
             {{"flow", FlowText(packet)},
              {"copy", packet.acknowledged},
              {"service", routes_.NameOf(target.service)},
              {"target", ToString(target.record.key)},
              {"token", Value(token)},
              {"tier", Name(placement.tier)},
              {"outstanding", target.outstanding},
              {"config", routes_.version()},
              {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Refused(const EdgePacket& packet, std::string_view reason,
                      TimePoint now) {
  log_.Write(LogLevel::kWarn, "refused",
             {{"flow", FlowText(packet)},
              {"reason", reason},
              {"opens", packet.opens ? 1 : 0},
              {"config", routes_.version()},
              {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Unrouted(const UnroutedFlow& flow,
                       TimePoint routes_complete_until, TimePoint now) {
  log_.Write(LogLevel::kWarn, "refused",
             {{"request", flow.request_id},
              {"flow", FlowText(flow.client, flow.service)},
              {"reason", "no_route"},
              {"opens", flow.opens ? 1 : 0},
              {"known_ms", Milliseconds(now - flow.known_since)},
              {"config", routes_.version()},
              {"routes_age_ms", AgeOf(routes_complete_until, now)}});
}

void EdgeLog::Moved(const CachedFlow& flow, const EdgeTarget& from,
                    const EdgePlacement& to, TimePoint now) {
  log_.Write(LogLevel::kWarn, "moved",
             {{"flow", FlowText(flow)},
              {"from", ToString(from.record.key)},
              {"from_state", Name(from.health.state())},
              {"to", ToString(to.target->record.key)},
              {"tier", Name(to.tier)},
              {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Request(const EdgePacket& packet, const EdgeTarget& target,
                      TimePoint now) {
  log_.Write(LogLevel::kInfo, "request",
             {{"request", packet.request_id},
              {"flow", FlowText(packet)},
              {"target", ToString(target.record.key)},
              {"outstanding", target.outstanding},
              {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Repeated(const EdgePacket& packet, const CachedFlow& flow,
                       const EdgeTarget& target, TimePoint now) {
  log_.Write(
      LogLevel::kWarn, "repeated",
      {{"request", packet.request_id},
       {"flow", FlowText(packet)},
       {"opens", packet.opens ? 1 : 0},
       {"copies", flow.repeats},
       {"waiting_ms", Milliseconds(now - flow.waiting_since)},
       {"target", ToString(target.record.key)},
       {"presence", Name(target.presence)},
       {"state", Name(target.health.state())},
       {"life_age_ms", Milliseconds(now - target.health.last_progress())},
       {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Reset(const CachedFlow& flow, const EdgeTarget& target,
                    std::string_view request_id, TimePoint now) {
  log_.Write(
      LogLevel::kWarn, "reset",
      {{"request", request_id},
       {"flow", FlowText(flow)},
       {"target", ToString(target.record.key)},
       {"presence", Name(target.presence)},
       {"state", Name(target.health.state())},
       {"failed_probes", target.health.failed_probes()},
       {"probe_age_ms", Milliseconds(now - target.health.last_failure())},
       {"copies", flow.repeats},
       {"waiting_ms", Milliseconds(now - flow.waiting_since)},
       {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Dropped(const EdgePacket& packet, std::string_view reason,
                      TimePoint now) {
  log_.Write(LogLevel::kWarn, "dropped",
             {{"request", packet.request_id},
              {"flow", FlowText(packet)},
              {"reason", reason},
              {"token", Value(packet.token)},
              {"config", routes_.version()},
              {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::Probed(const EdgeTarget& target, ProbeOutcome outcome,
                     TimePoint begun, TimePoint now) {
  log_.Write(
      LogLevel::kInfo, "probed",
      {{"target", ToString(target.record.key)},
       {"address", ToString(target.record.address)},
       {"outcome", Name(outcome)},
       {"state", Name(target.health.state())},
       {"took_ms", Milliseconds(now - begun)},
       {"life_age_ms", Milliseconds(now - target.health.last_progress())}});
}

void EdgeLog::ClaimChanged(const ClaimChange& change, TimePoint now) {
  const bool is_held = change.status == ClaimStatus::kHeld;
  log_.Write(is_held ? LogLevel::kInfo : LogLevel::kWarn, "target_address",
             {{"target", ToString(change.target)},
              {"address", ToString(change.address)},
              {"status", Name(change.status)},
              {"view_age_ms", ViewAge(now)}});
}

void EdgeLog::ProbeIgnored(const EdgeTarget& target, ProbeOutcome outcome,
                           TimePoint begun, TimePoint now) {
  log_.Write(LogLevel::kInfo, "probe_ignored",
             {{"target", ToString(target.record.key)},
              {"outcome", Name(outcome)},
              {"took_ms", Milliseconds(now - begun)}});
}

}  // namespace sapphirestream
