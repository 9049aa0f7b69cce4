// Evacuations of failure domains, cold and slow targets, bursts of clients, and
// the checks of them.
#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>

#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/edge_log.h"
#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {
namespace {

using namespace std::chrono_literals;
using testing::FlowPacket;

constexpr const char* kEvacuationKind = "evacuations";
constexpr std::array<const char*, 2> kServices{"desk", "intake"};
constexpr const char* kLimitedService = "desk";
// Covers packets in flight and late timers.
constexpr Duration kSlack = 500ms;
constexpr Duration kHeartbeat = 1200ms;
constexpr Duration kColdWindow = 1s;
// Limit of new flows at a cold target in any second.
constexpr std::size_t kMaxColdFlows = kColdFlowsPerS * 3 / 2 + 5;

}  // namespace

void SoakWorld::EvacuateDomain(const std::string& domain) {
  Log("evacuate domain " + domain);
  store_->Put(kEvacuationKind, domain, "{}");
  evacuations_[domain] = {clock_.Now(), clock_.Now(), {}};
}

void SoakWorld::EndEvacuation(const std::string& domain) {
  const auto evacuation = evacuations_.extract(domain);
  if (evacuation.empty()) return;
  Log("evacuation of domain " + domain + " ends");
  evacuation_ended_[domain] = clock_.Now();
  for (const Target& target : targets_) {
    if (target.process->record().domain != domain) continue;
    SetCold(*target.process, /*is_new=*/false);
    informed_of_end_[target.process->record().key] =
        evacuation.mapped().informed;
  }
  store_->Delete(kEvacuationKind, domain);
}

void SoakWorld::RewriteEvacuations() {
  for (const std::string& name : store_->Names(kEvacuationKind)) {
    if (evacuations_.contains(name)) continue;
    evacuation_ended_[name] = clock_.Now();
    store_->Delete(kEvacuationKind, name);
  }
  for (auto& [domain, evacuation] : evacuations_) {
    evacuation.rewritten = clock_.Now();
    store_->Put(kEvacuationKind, domain, "{}");
  }
}

void SoakWorld::SlowTarget(std::size_t index, unsigned factor) {
  Log("target " + std::to_string(index + 1) + " serves " +
      std::to_string(factor) + " times slower");
  targets_.at(index).process->SetSlowness(factor);
}

void SoakWorld::SetLoadFactor(unsigned factor) {
  if (factor == load_factor_) return;
  Log(std::to_string(factor) + " times as many clients");
  load_factor_ = factor;
}

void SoakWorld::ConfirmEntries() {
  timer_.After(kHeartbeat, [this] { ConfirmEntries(); });
  if (store_fault_ != StoreFault::kNone) return;
  for (const Target& target : targets_) {
    const SoakTarget& process = *target.process;
    const bool has_news = evacuations_.contains(process.record().domain) ||
                          clock_.Now() < process.cold_until() + kHeartbeat;
    const bool writes = process.is_serving() && HasEntry(process) && has_news;
    if (writes) WriteEntry(process);
  }
}

void SoakWorld::SetCold(SoakTarget& target, bool is_new) {
  target.SetColdUntil(clock_.Now() + kColdStart, is_new);
  cold_flows_.erase(target.record().key);
  informed_of_end_.erase(target.record().key);
}

bool SoakWorld::IsLimited(const SoakTarget& target) {
  return target.record().service == kLimitedService;
}

void SoakWorld::OnOpeningPacket(TargetKey target, const FlowPacket& packet,
                                bool is_new) {
  const SoakTarget* const process = Find(target);
  const auto flow = flows_.find(Value(packet.from));
  if (process == nullptr || flow == flows_.end()) return;
  const TimePoint sent = flow->second.openings.at(packet.acknowledged);
  opening_receipts_[Value(packet.from)].push_back(
      {target, process->record().incarnation, packet.token,
       InstanceAt(process->sender()), sent});
  CheckEvacuation(*process, sent);
  CheckRemoval(*process, sent);
  if (is_new) CheckColdLimit(*process, sent);
}

void SoakWorld::CheckRemoval(const SoakTarget& target, TimePoint sent) {
  const TimePoint removed = target.unlisted_since();
  if (!target.is_unlisted() || sent <= removed + kDrainLimit) return;
  ++counts_.removal_checks;
  const auto sender = InstanceAt(target.sender());
  if (!sender || !WasUndisturbed(*sender, sent)) return;
  AddViolation("edge-" + std::to_string(*sender + 1) +
               " placed a flow at target " + ToString(target.record().key) +
               ", whose entry was removed");
}

void SoakWorld::CheckEvacuation(const SoakTarget& target, TimePoint sent) {
  const std::string& domain = target.record().domain;
  for (const auto& [name, evacuation] : evacuations_) {
    if (sent <= evacuation.acknowledged + kEvacuationBound + kSlack) continue;
    ++counts_.evacuation_checks;
    const auto sender = InstanceAt(target.sender());
    if (name != domain || !sender) continue;
    // A process that started while a restored store lacked the entry learns of
    // it when it is written again.
    const bool knew_entry = instances_[*sender].started < evacuation.rewritten;
    const TimePoint written =
        knew_entry ? evacuation.acknowledged : evacuation.rewritten;
    const bool must_know = evacuation.informed.contains(*sender) ||
                           (WasUndisturbed(*sender, sent) &&
                            sent > written + kEvacuationBound + kSlack);
    if (!must_know) continue;
    AddViolation("edge-" + std::to_string(*sender + 1) +
                 " sent an opening packet to target " +
                 ToString(target.record().key) + " of the evacuated domain " +
                 domain);
  }
}

std::optional<std::size_t> SoakWorld::InstanceAt(V4Endpoint address) const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].process->options().data == address) return i;
  }
  return {};
}

bool SoakWorld::WasUndisturbed(std::size_t index, TimePoint sent) {
  return IsHealthyFor(index, clock_.Now() - sent + kStableWindow);
}

void SoakWorld::CheckColdLimit(const SoakTarget& target, TimePoint sent) {
  const TimePoint begin = target.cold_until() - kColdStart;
  if (!IsLimited(target) || sent <= begin || sent >= target.cold_until()) {
    return;
  }
  ++counts_.cold_flows;
  const auto sender = InstanceAt(target.sender());
  const TargetKey key = target.record().key;
  const bool must_know = target.was_always_cold() ||
                         (sender && informed_of_end_[key].contains(*sender));
  if (!must_know) return;
  ++counts_.limited_cold_flows;
  auto& flows = cold_flows_[key];
  flows.insert(sent);
  const auto count = static_cast<std::size_t>(std::distance(
      flows.upper_bound(sent - kColdWindow), flows.upper_bound(sent)));
  if (count <= kMaxColdFlows) return;
  AddViolation("cold target " + ToString(key) + " got " +
               std::to_string(count) + " new flows within a second");
}

void SoakWorld::ObserveEvacuations() {
  for (auto& [domain, evacuation] : evacuations_) {
    const TimePoint known = evacuation.acknowledged + kEvacuationBound + kSlack;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (clock_.Now() > known && IsHealthyFor(i, kStableWindow)) {
        evacuation.informed.insert(i);
      }
    }
  }
}

void SoakWorld::OnProcessStart(std::size_t index) {
  for (auto& [domain, evacuation] : evacuations_) {
    evacuation.informed.erase(index);
  }
  for (auto& [target, informed] : informed_of_end_) informed.erase(index);
}

bool SoakWorld::IsAvailable(const SoakTarget& target) const {
  const TimePoint now = clock_.Now();
  const std::string& domain = target.record().domain;
  const Duration cold = IsLimited(target) ? Duration(kColdStart) : Duration{};
  const auto ended = evacuation_ended_.find(domain);
  const bool is_back = !evacuations_.contains(domain) &&
                       (ended == evacuation_ended_.end() ||
                        now > ended->second + kEvacuationBound + kSlack + cold);
  // All instances know that it started, or became cold.
  const TimePoint known =
      target.cold_until() - kColdStart + kEvacuationBound + kSlack;
  const bool is_warm = now > known + cold;
  return target.is_serving() && !target.record().draining &&
         !target.is_unlisted() && is_back && is_warm;
}

bool SoakWorld::HasAvailableTarget(const std::string& service,
                                   const std::string& excluded) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const Target& t) {
    const TargetRecord& record = t.process->record();
    return record.service == service && record.domain != excluded &&
           IsAvailable(*t.process);
  });
}

bool SoakWorld::CanEvacuate(const std::string& domain) const {
  return evacuations_.empty() &&
         std::all_of(kServices.begin(), kServices.end(),
                     [&](const char* service) {
                       return HasAvailableTarget(service, domain);
                     });
}

void SoakWorld::ObserveServices() {
  for (const char* const service : kServices) {
    if (!HasAvailableTarget(service, "")) unserved_at_[service] = clock_.Now();
  }
}

bool SoakWorld::WasUnserved(const Flow& flow) {
  ObserveServices();
  const bool is_photo = flow.client->plan().service == kPhotos;
  const auto it = unserved_at_.find(is_photo ? "intake" : "desk");
  return it != unserved_at_.end() && flow.began <= it->second;
}

}  // namespace sapphirestream::soak
