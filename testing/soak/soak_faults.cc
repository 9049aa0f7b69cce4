// Faults and changes that the soak test injects.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <utility>

#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {

void SoakWorld::StopInstance(std::size_t index) {
  Log("stop edge-" + std::to_string(index + 1));
  instances_.at(index).stopping = true;
  instances_.at(index).process->Signal(SIGTERM);
}

void SoakWorld::KillInstance(std::size_t index) {
  Log("kill edge-" + std::to_string(index + 1));
  RecordFault();
  instances_.at(index).killed = true;
  instances_.at(index).process->Signal(SIGKILL);
}

void SoakWorld::PauseInstance(std::size_t index) {
  Log("pause edge-" + std::to_string(index + 1));
  ++open_faults_;
  instances_.at(index).paused = true;
  instances_.at(index).process->Signal(SIGSTOP);
}

void SoakWorld::ResumeInstance(std::size_t index) {
  Log("resume edge-" + std::to_string(index + 1));
  --open_faults_;
  RecordFault();
  Instance& instance = instances_.at(index);
  instance.paused = false;
  instance.healthy_since = clock_.Now();
  instance.process->Signal(SIGCONT);
}

void SoakWorld::ReloadInstance(std::size_t index, bool with_signal) {
  Log("reload edge-" + std::to_string(index + 1));
  const EdgeProcess& process = *instances_.at(index).process;
  process.WriteSettings(random_.Below(2) == 0 ? "info" : "debug");
  if (with_signal) instances_.at(index).process->Signal(SIGHUP);
}

void SoakWorld::SetLinkFault(std::size_t index, LinkFault fault) {
  Log("link of edge-" + std::to_string(index + 1) + ": " +
      std::string(Name(fault)));
  Instance& instance = instances_.at(index);
  instance.link->SetFault(fault);
  instance.healthy_since = clock_.Now();
}

void SoakWorld::SetLinkRate(std::uint64_t bytes_per_s) {
  for (Instance& instance : instances_) instance.link->SetRate(bytes_per_s);
}

void SoakWorld::SetStoreFault(StoreFault fault) {
  Log("store: " + std::string(Name(fault)));
  store_fault_ = fault;
  store_healthy_since_ = clock_.Now();
  store_->SetFault(fault);
}

void SoakWorld::SetCacheLag(Duration lag) {
  Log("cached reads lag " +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(lag).count()) +
      " ms");
  store_->SetCacheLag(lag);
}

void SoakWorld::SilenceConnections() {
  Log("connections to the store go silent");
  for (Instance& instance : instances_) {
    instance.link->SilenceOpenConnections();
    instance.healthy_since = clock_.Now();
  }
}

void SoakWorld::ForgetHistory() {
  Log("store discards its history");
  store_->ForgetHistory();
}

void SoakWorld::ExpireEntries() {
  Log("target entries expire");
  RemoveNameClaims();
  ++open_faults_;
  for (const Target& target : targets_) {
    store_->Delete("servers", EntryName(target.process->record().key));
  }
}

void SoakWorld::RestoreEntries() {
  Log("target entries are restored");
  --open_faults_;
  RecordFault();
  RegainEntries();
  for (const Target& target : targets_) {
    if (target.process->is_running()) WriteEntry(*target.process);
  }
}

void SoakWorld::RestoreStore(Duration age) {
  Log("store is restored from a copy, " +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) +
      " ms old");
  ++open_faults_;
  store_->Restore(age);
  RemoveNameClaims();
  SetStoreFault(StoreFault::kNone);
  // The copy may have them.
  RegainEntries();
  PutRoutes();
}

void SoakWorld::ExpireReplacedEntries() {
  for (const std::string& name : store_->Names("servers")) {
    const bool is_in_use = std::any_of(
        targets_.begin(), targets_.end(), [&name](const Target& target) {
          return EntryName(target.process->record().key) == name;
        });
    if (!is_in_use) store_->Delete("servers", name);
  }
}

void SoakWorld::CrashTarget(std::size_t index) {
  Log("crash target " + std::to_string(index + 1));
  ++open_faults_;
  targets_.at(index).process->Crash();
}

void SoakWorld::RestartTarget(std::size_t index) {
  Log("restart target " + std::to_string(index + 1));
  --open_faults_;
  RecordFault();
  targets_.at(index).process->Start();
  SetCold(*targets_.at(index).process, /*is_new=*/false);
  WriteEntry(*targets_.at(index).process);
}

void SoakWorld::ExpireEntry(std::size_t index) {
  Log("entry of target " + std::to_string(index + 1) + " expires");
  RemoveNameClaims();
  store_->Delete("servers",
                 EntryName(targets_.at(index).process->record().key));
}

void SoakWorld::RestoreEntry(std::size_t index) {
  const Target& target = targets_.at(index);
  if (!target.process->is_running()) return;
  Log("entry of target " + std::to_string(index + 1) + " is written again");
  if (target.process->is_unlisted()) {
    target.process->SetUnlistedSince(TimePoint{});
    targets_changed_ = clock_.Now();
    // It may have restarted meanwhile, as far as instances know.
    SetCold(*target.process, /*is_new=*/false);
  }
  WriteEntry(*target.process);
}

void SoakWorld::RegainEntries() {
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (targets_[i].process->is_unlisted()) RestoreEntry(i);
  }
}

void SoakWorld::LoseEntry(std::size_t index) {
  ExpireEntry(index);
  targets_changed_ = clock_.Now();
  targets_.at(index).process->SetUnlistedSince(clock_.Now());
}

void SoakWorld::ResetConnections(std::size_t index) {
  TcpProxy& link = *instances_.at(index).link;
  if (link.fault() != LinkFault::kNone) return;
  Log("connections of edge-" + std::to_string(index + 1) + " are reset");
  link.SetFault(LinkFault::kReset);
  link.SetFault(LinkFault::kNone);
}

void SoakWorld::FreezeTarget(std::size_t index) {
  Log("freeze target " + std::to_string(index + 1));
  ++open_faults_;
  targets_.at(index).process->Freeze();
}

void SoakWorld::ThawTarget(std::size_t index) {
  Log("thaw target " + std::to_string(index + 1));
  --open_faults_;
  RecordFault();
  targets_.at(index).process->Thaw();
}

void SoakWorld::DrainTarget(std::size_t index) {
  Log("drain target " + std::to_string(index + 1));
  Target& target = targets_.at(index);
  target.drained = clock_.Now();
  targets_changed_ = clock_.Now();
  target.process->Drain();
  WriteEntry(*target.process);
}

void SoakWorld::ReplaceTarget(std::size_t index) {
  Log("replace target " + std::to_string(index + 1));
  RemoveNameClaims();
  Target& target = targets_.at(index);
  store_->Delete("servers", EntryName(target.process->record().key));
  target.process->Crash();
  // Packets of its last flows may still be in transit.
  retired_.push_back(std::move(target.process));
  targets_changed_ = clock_.Now();
  AddTarget(index);
}

void SoakWorld::SetLoss(unsigned percent) {
  Log("loss: " + std::to_string(percent) + "%");
  if (loss_percent_ == 0) ++open_faults_;
  if (percent == 0) --open_faults_;
  RecordFault();
  loss_percent_ = percent;
}

}  // namespace sapphirestream::soak
