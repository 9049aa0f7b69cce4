// Entries of another writer, and living targets that lose their entry.
#include <chrono>

#include "testing/soak/soak_schedule.h"

namespace sapphirestream::soak {
namespace {

using namespace std::chrono_literals;

// Entries of another writer.
constexpr std::uint64_t kMaxEntryGapMs = 2000;
// Living targets that lose their entry: time between two, time from the reset
// of connections until then, and time until it is written again.
constexpr Duration kMinLostEntryGap = 2s;
constexpr std::uint64_t kMaxLostEntryGapMs = 5000;
constexpr std::uint64_t kMinResetLeadMs = 200;
constexpr std::uint64_t kMaxResetLeadMs = 1000;
constexpr Duration kLostEntryTime = 6s;
// Entries that name the addresses of targets: time between two sets, and time
// until a set is removed.
constexpr std::uint64_t kMinClaimGapMs = 300;
constexpr std::uint64_t kMaxClaimGapMs = 2500;
constexpr std::uint64_t kMinClaimMs = 500;
constexpr std::uint64_t kMaxClaimMs = 4000;

}  // namespace

void SoakSchedule::ScheduleOddEntry() {
  next_odd_entry_ = world_.timer().After(
      std::chrono::milliseconds(100 + entry_random_.Below(kMaxEntryGapMs)),
      [this] {
        world_.WriteOddEntry(entry_random_);
        ScheduleOddEntry();
      });
}

void SoakSchedule::ScheduleLostEntry() {
  next_lost_entry_ = world_.timer().After(
      kMinLostEntryGap + std::chrono::milliseconds(
                             lost_entry_random_.Below(kMaxLostEntryGapMs)),
      [this] {
        LoseAnyEntry();
        ScheduleLostEntry();
      });
}

void SoakSchedule::LoseAnyEntry() {
  const std::size_t first = lost_entry_random_.Below(world_.targets());
  const std::chrono::milliseconds delay(
      kMinResetLeadMs + lost_entry_random_.Below(kMaxResetLeadMs));
  for (std::size_t i = 0; i < world_.instances(); ++i) {
    if (lost_entry_random_.Below(2) == 0) world_.ResetConnections(i);
  }
  world_.timer().After(delay, [this, first] { LoseEntryFrom(first); });
}

void SoakSchedule::LoseEntryFrom(std::size_t first) {
  for (std::size_t i = 0; i < world_.targets(); ++i) {
    const std::size_t index = (first + i) % world_.targets();
    if (!IsDispensable(index)) continue;
    world_.LoseEntry(index);
    world_.timer().After(kLostEntryTime,
                         [this, index] { world_.RestoreEntry(index); });
    return;
  }
}

void SoakSchedule::ScheduleClaims() {
  next_claims_ = world_.timer().After(
      std::chrono::milliseconds(
          kMinClaimGapMs +
          claim_random_.Below(kMaxClaimGapMs - kMinClaimGapMs)),
      [this] { InjectClaims(); });
}

void SoakSchedule::InjectClaims() {
  world_.ClaimAddresses(claim_random_);
  next_claims_ = world_.timer().After(
      std::chrono::milliseconds(kMinClaimMs +
                                claim_random_.Below(kMaxClaimMs - kMinClaimMs)),
      [this] {
        world_.RemoveClaims();
        ScheduleClaims();
      });
}

}  // namespace sapphirestream::soak
