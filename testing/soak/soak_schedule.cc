#include "testing/soak/soak_schedule.h"

#include <array>
#include <chrono>
#include <utility>

namespace sapphirestream::soak {
namespace {

using namespace std::chrono_literals;

// Minimum number of usable instances while others are stopped or paused.
constexpr std::size_t kMinUsableInstances = 2;
constexpr std::uint64_t kMaxGapMs = 900;
constexpr std::uint64_t kMinFaultMs = 400;
constexpr std::uint64_t kMaxFaultMs = 4000;
// Delay between the recovery of the store and the registration of expired
// entries.
constexpr Duration kRegistrationDelay = 1900ms;
// Time until the restored entry of a target that has stopped expires.
constexpr Duration kExpiryDelay = 3600ms;
// Restorations of the store: time between them, length of the outage, and age
// of the copy.
constexpr Duration kMinRestorationGap = 2s;
constexpr Duration kMaxRestorationGap = 7s;
constexpr Duration kMinOutage = 50ms;
constexpr Duration kMaxOutage = 1500ms;
constexpr Duration kMinCopyAge = 500ms;
constexpr Duration kMaxCopyAge = 11s;
// Minimum time for which a draining target continues to serve.
constexpr Duration kDrainTime = 5s;
// Time between a restoration and the drain of a target, whose entry may have
// been written in the lost part of the history. The target drains long enough
// to see that all instances know.
constexpr Duration kMinDrainDelay = 100ms;
constexpr Duration kMaxDrainDelay = 2500ms;
constexpr Duration kLongDrainTime = 12s;
// Faults of the view.
constexpr std::uint64_t kViewSeed = 0x9e3779b97f4a7c15;
constexpr std::uint64_t kMaxViewGapMs = 2500;
constexpr std::uint64_t kMaxCacheLagMs = 4000;
// Times after which the entry of a target that is cut off expires, after which
// it is reached again, and after which it writes its entry again.
constexpr Duration kCutExpiryDelay = 1500ms;
constexpr Duration kCutTime = 2500ms;
constexpr Duration kCutReturnDelay = 3200ms;
constexpr std::uint64_t kEntrySeed = 0xd1b54a32d192ed03;
constexpr std::uint64_t kEvacuationSeed = 0xa0761d6478bd642f;
constexpr std::uint64_t kLoadSeed = 0xe7037ed1a0b428db;
constexpr std::uint64_t kRouteSeed = 0x1d8e4e27c47d124f;
constexpr std::uint64_t kClaimSeed = 0xbf58476d1ce4e5b9;
constexpr std::uint64_t kLostEntrySeed = 0xc2b2ae3d27d4eb4f;
constexpr std::uint64_t kCutSeed = 0x94d049bb133111eb;
constexpr std::uint64_t kStormSeed = 0x2545f4914f6cdd1d;
// Routes that are removed and added again: time between two removals, time
// until the addition, and time from then until an instance is stopped.
constexpr std::uint64_t kMaxReturningGapMs = 1500;
constexpr std::uint64_t kMinRemovalMs = 200;
constexpr std::uint64_t kMaxRemovalMs = 2500;
constexpr std::uint64_t kMaxStopDelayMs = 800;

}  // namespace

SoakSchedule::SoakSchedule(SoakWorld& world)
    : world_(world),
      restoration_random_(~world.seed()),
      view_random_(world.seed() ^ kViewSeed),
      entry_random_(world.seed() ^ kEntrySeed),
      evacuation_random_(world.seed() ^ kEvacuationSeed),
      load_random_(world.seed() ^ kLoadSeed),
      route_random_(world.seed() ^ kRouteSeed),
      lost_entry_random_(world.seed() ^ kLostEntrySeed),
      claim_random_(world.seed() ^ kClaimSeed),
      cut_random_(world.seed() ^ kCutSeed),
      storm_random_(world.seed() ^ kStormSeed) {}

SoakSchedule::~SoakSchedule() { EndAllFaults(); }

void SoakSchedule::Start() {
  ScheduleNext();
  ScheduleRestoration();
  ScheduleViewFault();
  ScheduleOddEntry();
  ScheduleEvacuation();
  ScheduleLoadFault();
  ScheduleReturningRoute();
  ScheduleLostEntry();
  ScheduleClaims();
  ScheduleLoneCut();
  ScheduleStorm();
}

void SoakSchedule::ScheduleNext() {
  next_ = world_.timer().After(
      std::chrono::milliseconds(100 + world_.random().Below(kMaxGapMs)),
      [this] {
        InjectRandomFault();
        ScheduleNext();
      });
}

void SoakSchedule::EndAllFaults() {
  world_.timer().Cancel(next_);
  world_.timer().Cancel(next_restoration_);
  world_.timer().Cancel(next_view_fault_);
  world_.timer().Cancel(next_evacuation_);
  world_.timer().Cancel(next_load_fault_);
  // The entries stay: they are no fault that ends.
  world_.timer().Cancel(next_odd_entry_);
  world_.timer().Cancel(next_returning_route_);
  world_.timer().Cancel(next_lost_entry_);
  world_.timer().Cancel(next_claims_);
  world_.timer().Cancel(next_lone_cut_);
  world_.timer().Cancel(next_storm_);
  EndStorm();
  EndEvacuation();
  EndLoadFault();
  for (ActiveFault& fault : std::exchange(active_faults_, {})) {
    world_.timer().Cancel(fault.timer);
    fault.end();
  }
}

void SoakSchedule::ScheduleEnd(std::function<void()> end) {
  ScheduleEnd(
      std::chrono::milliseconds(
          kMinFaultMs + world_.random().Below(kMaxFaultMs - kMinFaultMs)),
      std::move(end));
}

void SoakSchedule::ScheduleEnd(Duration time, std::function<void()> end) {
  const auto it = active_faults_.insert(active_faults_.end(),
                                        ActiveFault{kNoTimer, std::move(end)});
  it->timer = world_.timer().After(time, [this, it] {
    const auto action = std::move(it->end);
    active_faults_.erase(it);
    action();
  });
}

void SoakSchedule::InjectRandomFault() {
  using Action = void (SoakSchedule::*)();
  constexpr std::array<Action, 5> actions{
      &SoakSchedule::InjectInstanceFault, &SoakSchedule::InjectLinkFault,
      &SoakSchedule::InjectStoreFault, &SoakSchedule::InjectTargetFault,
      &SoakSchedule::DrainAndReplaceRandomTarget};
  const std::uint64_t choice = world_.random().Below(actions.size() + 1);
  if (choice == actions.size()) {
    world_.ChangeRoutes(world_.random());
  } else {
    (this->*actions.at(choice))();
  }
}

std::size_t SoakSchedule::RandomInstance() {
  return world_.random().Below(world_.instances());
}

std::size_t SoakSchedule::RandomTarget() {
  return world_.random().Below(world_.targets());
}

void SoakSchedule::InjectInstanceFault() {
  const std::size_t index = RandomInstance();
  constexpr std::uint64_t ways = 5;
  const std::uint64_t way = world_.random().Below(ways);
  if (way == 0) {
    return world_.ReloadInstance(index, world_.random().Below(2) == 0);
  }
  if (way <= 2) return StopIfDispensable(index);
  if (!MayStop(index)) return;
  if (way == 3) return world_.KillInstance(index);
  world_.PauseInstance(index);
  ScheduleEnd([this, index] { world_.ResumeInstance(index); });
}

bool SoakSchedule::MayStop(std::size_t instance) {
  return world_.IsUsable(instance) &&
         world_.UsableInstances() > kMinUsableInstances;
}

void SoakSchedule::StopIfDispensable(std::size_t instance) {
  if (MayStop(instance)) world_.StopInstance(instance);
}

void SoakSchedule::InjectLinkFault() {
  constexpr std::array<LinkFault, 4> faults{
      LinkFault::kDelay, LinkFault::kReset, LinkFault::kSilence,
      LinkFault::kNoAnswers};
  const std::size_t index = RandomInstance();
  world_.SetLinkFault(index, faults.at(world_.random().Below(faults.size())));
  ScheduleEnd([this, index] { world_.SetLinkFault(index, LinkFault::kNone); });
}

void SoakSchedule::InjectStoreFault() {
  constexpr std::uint64_t ways = 5;
  const std::uint64_t way = world_.random().Below(ways);
  if (way == 0) return world_.ForgetHistory();
  if (way == 1 && !packet_loss_active_) {
    packet_loss_active_ = true;
    constexpr unsigned percent = 3;
    world_.SetLoss(percent);
    return ScheduleEnd([this] {
      packet_loss_active_ = false;
      world_.SetLoss(0);
    });
  }
  if (store_fault_active_) return;
  store_fault_active_ = true;
  constexpr std::array<StoreFault, 3> faults{
      StoreFault::kUnavailable, StoreFault::kSilent, StoreFault::kBusy};
  const StoreFault fault = faults.at(world_.random().Below(faults.size()));
  world_.SetStoreFault(fault);
  const bool expires_entries =
      fault != StoreFault::kBusy && world_.random().Below(3) == 0;
  if (expires_entries) world_.ExpireEntries();
  ScheduleEnd([this, expires_entries] {
    world_.SetStoreFault(StoreFault::kNone);
    if (expires_entries) {
      world_.timer().After(kRegistrationDelay,
                           [this] { world_.RestoreEntries(); });
    }
    store_fault_active_ = false;
  });
}

Duration SoakSchedule::RestorationTime(Duration min, Duration max) {
  const auto range = static_cast<std::uint64_t>((max - min).count());
  return min +
         Duration(static_cast<Duration::rep>(restoration_random_.Below(range)));
}

void SoakSchedule::ScheduleRestoration() {
  next_restoration_ = world_.timer().After(
      RestorationTime(kMinRestorationGap, kMaxRestorationGap), [this] {
        InjectRestoration();
        ScheduleRestoration();
      });
}

void SoakSchedule::InjectRestoration() {
  const Duration age = RestorationTime(kMinCopyAge, kMaxCopyAge);
  const Duration outage = RestorationTime(kMinOutage, kMaxOutage);
  if (store_fault_active_) return;
  store_fault_active_ = true;
  world_.SetStoreFault(StoreFault::kUnavailable);
  ScheduleEnd(outage, [this, age] {
    world_.RestoreStore(age);
    ScheduleRewrite();
    world_.timer().After(kRegistrationDelay,
                         [this] { world_.RestoreEntries(); });
    world_.timer().After(kExpiryDelay,
                         [this] { world_.ExpireReplacedEntries(); });
    world_.timer().After(
        RestorationTime(kMinDrainDelay, kMaxDrainDelay), [this] {
          DrainAndReplaceTarget(restoration_random_.Below(world_.targets()),
                                kLongDrainTime);
        });
    store_fault_active_ = false;
  });
}

void SoakSchedule::ScheduleViewFault() {
  next_view_fault_ = world_.timer().After(
      std::chrono::milliseconds(100 + view_random_.Below(kMaxViewGapMs)),
      [this] {
        InjectViewFault();
        ScheduleViewFault();
      });
}

void SoakSchedule::InjectViewFault() {
  constexpr std::uint64_t ways = 4;
  switch (view_random_.Below(ways)) {
    case 0:
      return world_.SilenceConnections();
    case 1:
      return CutOffTarget();
    default:
      // Not ended with the other faults: a cache may always lag.
      return world_.SetCacheLag(
          std::chrono::milliseconds(view_random_.Below(kMaxCacheLagMs)));
  }
}

void SoakSchedule::CutOffTarget() {
  const std::size_t index = view_random_.Below(world_.targets());
  if (!IsDispensable(index)) return;
  world_.FreezeTarget(index);
  world_.timer().After(kCutExpiryDelay,
                       [this, index] { world_.ExpireEntry(index); });
  world_.timer().After(kCutTime, [this, index] { world_.ThawTarget(index); });
  world_.timer().After(kCutReturnDelay,
                       [this, index] { world_.RestoreEntry(index); });
}

void SoakSchedule::ScheduleReturningRoute() {
  next_returning_route_ = world_.timer().After(
      std::chrono::milliseconds(100 + route_random_.Below(kMaxReturningGapMs)),
      [this] {
        InjectReturningRoute();
        ScheduleReturningRoute();
      });
}

void SoakSchedule::InjectReturningRoute() {
  const std::size_t index = route_random_.Below(ReturningRoutes::kCount);
  if (!world_.IsReturningRoutePresent(index)) return;
  world_.ToggleReturningRoute(index, route_random_);
  const std::chrono::milliseconds removal(
      kMinRemovalMs + route_random_.Below(kMaxRemovalMs - kMinRemovalMs));
  world_.timer().After(removal, [this, index] {
    world_.ToggleReturningRoute(index, route_random_);
  });
  const std::chrono::milliseconds stop(route_random_.Below(kMaxStopDelayMs));
  const std::size_t instance = route_random_.Below(world_.instances());
  world_.timer().After(removal + stop,
                       [this, instance] { StopIfDispensable(instance); });
}

void SoakSchedule::RemoveReturningRoute() {
  for (std::size_t i = 0; i < ReturningRoutes::kCount; ++i) {
    if (!world_.IsReturningRoutePresent(i)) continue;
    return world_.ToggleReturningRoute(i, route_random_);
  }
}

void SoakSchedule::InjectTargetFault() {
  const std::size_t index = RandomTarget();
  if (!IsDispensable(index)) return;
  if (world_.random().Below(2) == 0) {
    world_.FreezeTarget(index);
    return ScheduleEnd([this, index] { world_.ThawTarget(index); });
  }
  world_.CrashTarget(index);
  ScheduleEnd([this, index] { world_.RestartTarget(index); });
}

bool SoakSchedule::IsDispensable(std::size_t index) const {
  return world_.IsUsableTarget(index) && world_.UsablePeersOf(index) > 0;
}

void SoakSchedule::DrainAnyTarget() {
  for (std::size_t index = 0; index < world_.targets(); ++index) {
    if (IsDispensable(index)) return world_.DrainTarget(index);
  }
}

void SoakSchedule::DrainAndReplaceRandomTarget() {
  DrainAndReplaceTarget(RandomTarget(), kDrainTime);
}

void SoakSchedule::DrainAndReplaceTarget(std::size_t index, Duration time) {
  if (!IsDispensable(index)) return;
  world_.DrainTarget(index);
  world_.timer().After(time, [this, index] { world_.ReplaceTarget(index); });
}

}  // namespace sapphirestream::soak
