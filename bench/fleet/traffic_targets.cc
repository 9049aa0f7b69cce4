// Targets with slots, a queue and load reports.
#include <algorithm>
#include <chrono>

#include "bench/fleet/traffic.h"

namespace sapphirestream::fleet {
namespace {

// Time for which a drained target may still get new flows.
constexpr Duration kMaxDrainDelay = std::chrono::seconds(3);

}  // namespace

Traffic::TargetState& Traffic::StateOf(TargetId target) {
  const auto [it, is_new] = targets_.try_emplace(target);
  if (is_new) {
    for (const Service& service : system_->newest().services) {
      for (const Target& t : service.targets) {
        if (t.id != target) continue;
        it->second.service = service.id;
        it->second.slots = t.slots;
        it->second.domain = t.domain;
      }
    }
  }
  return it->second;
}

void Traffic::OnForwarded(const PacketInFlight& packet, TargetId target,
                          InstanceId by) {
  if (system_->IsCut(system_->DomainOf(by), StateOf(target).domain)) {
    ++result_.unreachable;
    return;
  }
  After(options_.target_delay, [this, packet, target] {
    OnArrival(packet.id, packet.packet, target);
  });
}

void Traffic::OnArrival(std::uint64_t id, const Packet& packet,
                        TargetId target) {
  TargetState& state = StateOf(target);
  if (state.service != packet.key.service) ++result_.wrong_service;
  if (state.is_dead) return;
  const auto it = flows_.find(id);
  if (it == flows_.end()) return;
  if (it->second.kind == Kind::kDatagram) {
    Run(id, target);
    return;
  }
  if (packet.opens()) {
    OnFirstPacket(id, packet, target);
    return;
  }
  if (packet.fin) {
    state.open.erase(id);
    After(options_.client_delay, [this, id] { OnClosed(id); });
    return;
  }
  if (!state.open.contains(id)) {
    After(options_.client_delay, [this, id, target] { OnReset(id, target); });
    return;
  }
  if (it->second.kind == Kind::kRequest) {
    Run(id, target);
  } else {
    After(options_.client_delay, [this, id] { OnDataAnswered(id); });
  }
}

void Traffic::OnFirstPacket(std::uint64_t id, const Packet& packet,
                            TargetId target) {
  TargetState& state = StateOf(target);
  if (state.open.insert(id).second) {
    for (const Service& service : system_->newest().services) {
      if (service.id != packet.key.service) continue;
      for (const Target& t : service.targets) {
        const bool is_late =
            t.id == target && t.drained != ConfigVersion{} &&
            now().time_since_epoch() - t.drained_at.time_since_epoch() >
                kMaxDrainDelay;
        if (is_late) ++result_.late_on_drained;
      }
    }
  }
  After(options_.client_delay, [this, id, target] { OnOpened(id, target); });
}

void Traffic::Run(std::uint64_t id, TargetId target) {
  Flow& flow = flows_.at(id);
  // The TCP stack of the target drops a second copy of the same bytes.
  if (std::find(flow.ran.begin(), flow.ran.end(), target) != flow.ran.end()) {
    return;
  }
  flow.ran.push_back(target);
  StateOf(target).queue.push_back({id, now()});
  StartJob(target);
}

void Traffic::StartJob(TargetId target) {
  TargetState& state = StateOf(target);
  if (state.queue.empty() || state.busy >= state.slots) return;
  const Job job = state.queue.front();
  state.queue.pop_front();
  state.has_served = true;
  ++state.busy;
  const Flow& flow = flows_.at(job.flow);
  if (is_measuring_ && flow.kind == Kind::kRequest) {
    // Time from the first packet until the request gets a slot, minus the
    // minimum in an idle system: three one-way trips from client to target.
    const Duration min_delay =
        3 * (options_.client_delay + options_.target_delay);
    const Duration waited =
        std::max(Duration::zero(), now() - flow.started - min_delay);
    result_.waits.push_back(static_cast<double>(waited.count()) /
                            static_cast<double>(options_.service_time.count()));
  }
  After(Exponential(options_.service_time), [this, target, id = job.flow] {
    TargetState& done = StateOf(target);
    --done.busy;
    if (!done.is_dead) {
      After(options_.client_delay, [this, id] { OnDataAnswered(id); });
    }
    StartJob(target);
  });
}

void Traffic::SendReports() {
  if (options_.report_interval == Duration::zero()) return;
  for (const auto& [id, state] : targets_) {
    LoadReport report{.target = id, .taken = now()};
    if (!state.is_dead) {
      report.busy_slots =
          state.busy + static_cast<std::uint32_t>(state.queue.size());
      report.open_connections = static_cast<std::uint32_t>(state.open.size());
    }
    After(options_.report_age, [this, report] { system_->Report(report); });
  }
  After(options_.report_interval, [this] { SendReports(); });
}

}  // namespace sapphirestream::fleet
