// Checks of the session invariants.
#include "test/session/promises.h"

#include <algorithm>

namespace sapphirestream::session {
namespace {

// Time after which a draining target must get no new flow.
constexpr Duration kDrainTime = std::chrono::seconds(3);

// A flow must be reset after this many repeats of the same bytes at instances
// that had already seen them, spread over at least kSilentTime; see "Silent
// flows" in the design.
constexpr int kSilentRepeats = 3;
constexpr Duration kSilentTime = std::chrono::seconds(10);

std::string Number(TargetId target) { return std::to_string(Value(target)); }

}  // namespace

void Promises::Report(const std::string& violation) {
  violations_.push_back(violation);
}

void Promises::OnAccepted(const Configuration& configuration, TimePoint now) {
  for (const Service& service : configuration.services) {
    idempotent_[service.id] = service.idempotent;
    for (const Target& target : service.targets) {
      TargetState& state = targets_[target.id];
      state.service = service.id;
      if (target.drained != ConfigVersion{} && !state.is_drained) {
        state.is_drained = true;
        state.drained_at = now;
      }
    }
  }
}

void Promises::OnSent(SentPacket& sent, InstanceId via, bool is_loss_excluded,
                      TimePoint now) {
  Flow& flow = flows_[sent.flow];
  const Packet& packet = sent.packet;
  sent.must_arrive =
      is_loss_excluded && !flow.targets.empty() && !flow.has_ended;
  if (packet.fin || packet.rst) flow.has_ended = true;
  if (packet.key.protocol != Protocol::kTcp || packet.payload_size == 0) return;
  if (flow.sequence != packet.sequence) {
    flow.sequence = packet.sequence;
    flow.seen_at.clear();
    flow.repeats = 0;
  }
  if (flow.seen_at.insert(via).second) return;
  if (flow.repeats++ == 0) flow.first_repeat = now;
  flow.last_repeat = now;
}

void Promises::OnForwarded(SentPacket& sent, TargetId target, TimePoint now) {
  Flow& flow = flows_[sent.flow];
  const ServiceId service = sent.packet.key.service;
  const auto state = targets_.find(target);
  if (state == targets_.end() || state->second.service != service) {
    Report(sent.label + " reached target " + Number(target) +
           " of another service");
    return;
  }
  const bool is_late =
      state->second.is_drained && now - state->second.drained_at > kDrainTime;
  if (flow.targets.empty() && is_late) {
    Report(sent.label + " is a new flow at drained target " + Number(target));
  }
  flow.targets.insert(target);
  if (flow.targets.size() > 1) {
    Report(sent.flow + " reached more than one target");
  }
  if (flow.was_refused) Report(sent.flow + " ran after a not-run answer");
  if (++sent.forwarded > 1) Report(sent.label + " was forwarded twice");
}

void Promises::OnAnswered(SentPacket& sent, ErrorKind reason) {
  Flow& flow = flows_[sent.flow];
  ++sent.answered;
  const PacketReply answer = AnswerFor(reason).packet_reply;
  if (answer == PacketReply::kReset) {
    flow.has_ended = true;
    if (!idempotent_[sent.packet.key.service]) {
      Report(sent.flow +
             " was reset although its requests must not be repeated");
    }
  }
  if (answer != PacketReply::kRefusal) return;
  flow.was_refused = true;
  if (!flow.targets.empty()) Report(sent.flow + " ran before a not-run answer");
}

bool Promises::OnConfigurations(InstanceId at, const Configuration& active,
                                const Configuration& newest) {
  Versions& versions = versions_[at];
  const std::string who = "instance " + std::to_string(Value(at));
  if (active.version < versions.active || newest.version < versions.newest) {
    Report(who + " went back to an earlier version");
  }
  if (active.version > newest.version) Report(who + " has active above newest");
  const bool is_new = active.version != versions.active;
  versions = {active.version, newest.version};
  const auto in_force =
      std::count_if(active.presets.begin(), active.presets.end(),
                    [&](const Preset& p) { return p.name == active.preset; });
  if (in_force != 1) Report(who + " does not have exactly one preset in force");
  return is_new;
}

void Promises::Finish(const std::vector<SentPacket>& sent) {
  std::map<std::string, ServiceId> services;
  for (const SentPacket& packet : sent) {
    services[packet.flow] = packet.packet.key.service;
    if (packet.must_arrive && packet.forwarded + packet.answered == 0) {
      Report(packet.label + " of an open flow was lost");
    }
  }
  for (const auto& [name, flow] : flows_) {
    const bool is_silent = flow.repeats >= kSilentRepeats &&
                           flow.last_repeat - flow.first_repeat >= kSilentTime;
    if (is_silent && idempotent_[services[name]] && !flow.has_ended) {
      Report(name + " is silent and was not reset");
    }
  }
}

}  // namespace sapphirestream::session
