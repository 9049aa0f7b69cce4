// Evacuations of failure domains, slow targets and bursts of clients.
#include <array>
#include <chrono>
#include <string>

#include "testing/soak/soak_schedule.h"

namespace sapphirestream::soak {
namespace {

constexpr std::array<const char*, 2> kDomains{"a", "b"};
constexpr std::uint64_t kMinEvacuationGapMs = 200;
constexpr std::uint64_t kMaxEvacuationGapMs = 1500;
// Longer than the bound, so that its effect is seen.
constexpr std::uint64_t kMinEvacuationMs = 4500;
constexpr std::uint64_t kMaxEvacuationMs = 8000;
// The operator writes an entry that a restored store lacks within this time.
constexpr std::uint64_t kMaxRewriteMs = 1900;
constexpr std::uint64_t kMinLoadGapMs = 300;
constexpr std::uint64_t kMaxLoadGapMs = 2000;
// Short enough for waiting requests to be answered before clients give up.
constexpr std::uint64_t kMinSlowMs = 800;
constexpr std::uint64_t kMaxSlowMs = 3000;
constexpr std::uint64_t kMaxSlowness = 6;
constexpr std::uint64_t kMinBurstMs = 300;
constexpr std::uint64_t kMaxBurstMs = 1000;
constexpr std::uint64_t kMaxLoadFactor = 4;

Duration RandomTime(Random& random, std::uint64_t min_ms,
                    std::uint64_t max_ms) {
  return std::chrono::milliseconds(min_ms + random.Below(max_ms - min_ms));
}

// Returns at least 2.
unsigned RandomFactor(Random& random, std::uint64_t max) {
  return static_cast<unsigned>(2 + random.Below(max - 1));
}

}  // namespace

void SoakSchedule::ScheduleEvacuation() {
  next_evacuation_ = world_.timer().After(
      RandomTime(evacuation_random_, kMinEvacuationGapMs, kMaxEvacuationGapMs),
      [this] { InjectEvacuation(); });
}

void SoakSchedule::InjectEvacuation() {
  const std::string domain =
      kDomains.at(evacuation_random_.Below(kDomains.size()));
  const Duration time =
      RandomTime(evacuation_random_, kMinEvacuationMs, kMaxEvacuationMs);
  if (!world_.CanEvacuate(domain)) return ScheduleEvacuation();
  world_.EvacuateDomain(domain);
  evacuated_ = domain;
  next_evacuation_ = world_.timer().After(time, [this] {
    EndEvacuation();
    ScheduleEvacuation();
  });
}

void SoakSchedule::EndEvacuation() {
  if (!evacuated_.empty()) world_.EndEvacuation(evacuated_);
  evacuated_.clear();
}

void SoakSchedule::EvacuateAnyDomain() {
  for (const char* const domain : kDomains) {
    if (!world_.CanEvacuate(domain)) continue;
    evacuated_ = domain;
    return world_.EvacuateDomain(domain);
  }
}

void SoakSchedule::ScheduleRewrite() {
  world_.timer().After(RandomTime(evacuation_random_, 0, kMaxRewriteMs),
                       [this] { world_.RewriteEvacuations(); });
}

void SoakSchedule::ScheduleLoadFault() {
  next_load_fault_ = world_.timer().After(
      RandomTime(load_random_, kMinLoadGapMs, kMaxLoadGapMs),
      [this] { InjectLoadFault(); });
}

void SoakSchedule::InjectLoadFault() {
  const bool is_burst = load_random_.Below(2) == 0;
  if (is_burst) {
    world_.SetLoadFactor(RandomFactor(load_random_, kMaxLoadFactor));
  } else {
    slow_target_ = load_random_.Below(world_.targets());
    world_.SlowTarget(*slow_target_, RandomFactor(load_random_, kMaxSlowness));
  }
  const Duration time = is_burst
                            ? RandomTime(load_random_, kMinBurstMs, kMaxBurstMs)
                            : RandomTime(load_random_, kMinSlowMs, kMaxSlowMs);
  next_load_fault_ = world_.timer().After(time, [this] {
    EndLoadFault();
    ScheduleLoadFault();
  });
}

void SoakSchedule::EndLoadFault() {
  if (slow_target_) world_.SlowTarget(*slow_target_, 1);
  slow_target_.reset();
  world_.SetLoadFactor(1);
}

}  // namespace sapphirestream::soak
