// Cuts of single instances from the store while targets lapse, and storms of
// large configurations over slow links.
#include <array>
#include <chrono>
#include <string>
#include <utility>

#include "testing/soak/soak_schedule.h"

namespace sapphirestream::soak {
namespace {

using namespace std::chrono_literals;

// Time between two cuts, length of a cut, and time from its begin or its end
// until a target loses its entry.
constexpr std::uint64_t kMinCutGapMs = 2000;
constexpr std::uint64_t kMaxCutGapMs = 8000;
constexpr std::uint64_t kMinCutMs = 1200;
constexpr std::uint64_t kMaxCutMs = 5500;
constexpr std::uint64_t kMaxLapseDelayMs = 2400;
// Time from the cut of an instance while no other fault is active until a
// target loses its entry.
constexpr std::uint64_t kMinQuietLapseMs = 800;
constexpr std::uint64_t kMaxQuietLapseMs = 2200;
// Time between two storms, and between two versions in one.
constexpr std::uint64_t kMinStormGapMs = 1000;
constexpr std::uint64_t kMaxStormGapMs = 3000;
constexpr Duration kVersionGap = 80ms;
constexpr std::uint64_t kMinVersions = 12;
constexpr std::uint64_t kMaxVersions = 26;
// Number of unused routes, of about 100 bytes each.
constexpr std::uint64_t kMinLargeRoutes = 1000;
constexpr std::uint64_t kMaxLargeRoutes = 2750;
// Time for which the links stay slow and the configuration large.
constexpr Duration kAftermath = 5s;
// 10, 20 and 50 Mbit/s.
constexpr std::array<std::uint64_t, 3> kLinkRates{1'250'000, 2'500'000,
                                                  6'250'000};

std::chrono::milliseconds RandomMs(Random& random, std::uint64_t min,
                                   std::uint64_t max) {
  return std::chrono::milliseconds(min + random.Below(max - min));
}

}  // namespace

void SoakSchedule::ScheduleLoneCut() {
  next_lone_cut_ = world_.timer().After(
      RandomMs(cut_random_, kMinCutGapMs, kMaxCutGapMs), [this] {
        InjectLoneCut();
        ScheduleLoneCut();
      });
}

void SoakSchedule::InjectLoneCut() {
  constexpr std::array<LinkFault, 3> faults{
      LinkFault::kReset, LinkFault::kSilence, LinkFault::kNoAnswers};
  const std::size_t instance = cut_random_.Below(world_.instances());
  const LinkFault fault = faults.at(cut_random_.Below(faults.size()));
  const std::size_t target = cut_random_.Below(world_.targets());
  const auto length = RandomMs(cut_random_, kMinCutMs, kMaxCutMs);
  const auto delay = RandomMs(cut_random_, 0, kMaxLapseDelayMs);
  const bool lapses_after = cut_random_.Below(3) != 0;
  CutOff(instance, fault, length);
  world_.timer().After(lapses_after ? length + delay : delay,
                       [this, target] { LoseEntryFrom(target); });
}

void SoakSchedule::CutOffAnyInstance() {
  const std::size_t instance = cut_random_.Below(world_.instances());
  const std::size_t target = cut_random_.Below(world_.targets());
  const auto delay = RandomMs(cut_random_, kMinQuietLapseMs, kMaxQuietLapseMs);
  CutOff(instance, LinkFault::kSilence, kQuietCut);
  world_.timer().After(kQuietCut + delay,
                       [this, target] { LoseEntryFrom(target); });
}

void SoakSchedule::CutOff(std::size_t instance, LinkFault fault,
                          Duration length) {
  if (world_.HasLinkFault(instance)) return;
  world_.SetLinkFault(instance, fault);
  ScheduleEnd(length, [this, instance] {
    world_.SetLinkFault(instance, LinkFault::kNone);
  });
}

void SoakSchedule::ScheduleStorm() {
  const std::uint64_t rate =
      kLinkRates.at(storm_random_.Below(kLinkRates.size()));
  const std::uint64_t routes =
      kMinLargeRoutes + storm_random_.Below(kMaxLargeRoutes - kMinLargeRoutes);
  const std::uint64_t versions =
      kMinVersions + storm_random_.Below(kMaxVersions - kMinVersions);
  const Storm storm{rate, routes, static_cast<unsigned>(versions)};
  next_storm_ = world_.timer().After(
      RandomMs(storm_random_, kMinStormGapMs, kMaxStormGapMs),
      [this, storm] { BeginStorm(storm); });
}

void SoakSchedule::WriteStorm() {
  BeginStorm({kLinkRates.front(), kMaxLargeRoutes, kMaxVersions});
}

void SoakSchedule::BeginStorm(const Storm& storm) {
  world_.Log("storm of " + std::to_string(storm.versions) + " versions of " +
             std::to_string(storm.unused_routes) + " routes, " +
             std::to_string(storm.bytes_per_s) + " bytes/s");
  storm_active_ = true;
  world_.SetLinkRate(storm.bytes_per_s);
  ContinueStorm(storm);
}

void SoakSchedule::ContinueStorm(Storm storm) {
  world_.WriteLargeRoutes(storm.unused_routes, storm_random_);
  if (--storm.versions > 0) {
    next_storm_ = world_.timer().After(kVersionGap,
                                       [this, storm] { ContinueStorm(storm); });
    return;
  }
  world_.ChangeRoutes(storm_random_);
  next_storm_ = world_.timer().After(kAftermath, [this] {
    EndStorm();
    ScheduleStorm();
  });
}

void SoakSchedule::EndStorm() {
  if (!std::exchange(storm_active_, false)) return;
  world_.SetLinkRate(0);
  world_.WriteLargeRoutes(0, storm_random_);
}

}  // namespace sapphirestream::soak
