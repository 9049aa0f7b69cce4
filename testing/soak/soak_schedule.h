// Schedules random, overlapping faults and changes. Always leaves enough usable
// instances and targets for the guarantees of the edge program to hold.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_SCHEDULE_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_SCHEDULE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {

class SoakSchedule {
 public:
  static constexpr Duration kQuietCut = std::chrono::seconds(4);

  // `world` must outlive the schedule.
  explicit SoakSchedule(SoakWorld& world);
  ~SoakSchedule();
  SoakSchedule(const SoakSchedule&) = delete;
  SoakSchedule& operator=(const SoakSchedule&) = delete;

  void Start();
  // Ends all active faults and injects no more.
  void EndAllFaults();
  // Drains a target until the end. While no fault is active, each instance must
  // learn of it.
  void DrainAnyTarget();
  // Another writer names the addresses of targets until the end. While no fault
  // is active, each flow must be answered.
  void ClaimAddresses() { world_.ClaimAddresses(claim_random_); }
  // Evacuates a failure domain until the end, if another one can serve.
  void EvacuateAnyDomain();
  // Resets connections to the store, and then removes the entry of a target
  // that serves on. While no other fault is active, each instance must learn of
  // it.
  void LoseAnyEntry();
  // Removes a route for good. While no fault is active, the clients of all its
  // flows must be told.
  void RemoveReturningRoute();
  // Ends the evacuation that is in force, if there is one.
  void EndEvacuation();
  // Cuts one instance off from the store for kQuietCut. A target loses its
  // entry soon after it, which must be treated as at any other time.
  void CutOffAnyInstance();
  // Writes large configurations in quick succession over the slowest links, and
  // changes a route with the last one. While no fault is active, each instance
  // must apply it.
  void WriteStorm();

 private:
  // A succession of large configurations.
  struct Storm {
    std::uint64_t bytes_per_s = 0;  // of the link of each instance
    std::size_t unused_routes = 0;
    unsigned versions = 0;
  };

  struct ActiveFault {
    TimerId timer = kNoTimer;
    std::function<void()> end;
  };

  void ScheduleNext();
  void InjectRandomFault();
  // Ends a fault after a random time, or in EndAllFaults().
  void ScheduleEnd(std::function<void()> end);
  void ScheduleEnd(Duration time, std::function<void()> end);

  void InjectInstanceFault();
  void InjectLinkFault();
  void InjectStoreFault();
  // Restorations have a random source of their own, so that the other faults of
  // a seed do not depend on them.
  void ScheduleRestoration();
  void InjectRestoration();
  [[nodiscard]] Duration RestorationTime(Duration min, Duration max);
  // So have faults of the view: a cache that lags, connections to the store
  // that go silent, and targets whose entry expires while they are cut off.
  void ScheduleViewFault();
  void InjectViewFault();
  void CutOffTarget();
  // And so have entries that another writer leaves among those of the targets.
  void ScheduleOddEntry();
  // Evacuations of failure domains, and slow targets and bursts of clients, of
  // which one is active at a time, each have a random source of their own too.
  void ScheduleEvacuation();
  void InjectEvacuation();
  void ScheduleLoadFault();
  void InjectLoadFault();
  void EndLoadFault();
  // And so have living targets that lose their entry just after connections to
  // the store were reset.
  void ScheduleLostEntry();
  // Takes the entry of the first target from this one on that can be spared.
  void LoseEntryFrom(std::size_t first);
  // And so have entries of another writer that name the addresses of targets.
  void ScheduleClaims();
  void InjectClaims();
  // And so have targets that lapse while one instance is cut off from the
  // store, or soon after.
  void ScheduleLoneCut();
  void InjectLoneCut();
  // Does nothing if the instance's link has a fault.
  void CutOff(std::size_t instance, LinkFault fault, Duration length);
  // And so have large configurations in quick succession, over slow links.
  void ScheduleStorm();
  void BeginStorm(const Storm& storm);
  void ContinueStorm(Storm storm);
  void EndStorm();
  // And so have routes that are removed and added again at the same address.
  // Instances are stopped soon after the addition.
  void ScheduleReturningRoute();
  void InjectReturningRoute();
  // The operator writes evacuations again some time after a restoration.
  void ScheduleRewrite();
  void InjectTargetFault();
  void DrainAndReplaceRandomTarget();
  // Does nothing if the service needs the target.
  void DrainAndReplaceTarget(std::size_t index, Duration time);
  // Whether the target serves and its service has another one.
  [[nodiscard]] bool IsDispensable(std::size_t index) const;
  // Whether the instance can be stopped while the others serve.
  [[nodiscard]] bool MayStop(std::size_t instance);
  void StopIfDispensable(std::size_t instance);
  [[nodiscard]] std::size_t RandomInstance();
  [[nodiscard]] std::size_t RandomTarget();

  SoakWorld& world_;
  SeededRandom restoration_random_;
  SeededRandom view_random_;
  SeededRandom entry_random_;
  SeededRandom evacuation_random_;
  SeededRandom load_random_;
  SeededRandom route_random_;
  SeededRandom lost_entry_random_;
  SeededRandom claim_random_;
  SeededRandom cut_random_;
  SeededRandom storm_random_;
  TimerId next_ = kNoTimer;
  TimerId next_restoration_ = kNoTimer;
  TimerId next_view_fault_ = kNoTimer;
  TimerId next_odd_entry_ = kNoTimer;
  TimerId next_evacuation_ = kNoTimer;
  TimerId next_load_fault_ = kNoTimer;
  TimerId next_returning_route_ = kNoTimer;
  TimerId next_lost_entry_ = kNoTimer;
  TimerId next_claims_ = kNoTimer;
  TimerId next_lone_cut_ = kNoTimer;
  TimerId next_storm_ = kNoTimer;
  std::list<ActiveFault> active_faults_;
  bool store_fault_active_ = false;
  bool packet_loss_active_ = false;
  bool storm_active_ = false;
  // The failure domain that is evacuated; empty if there is none.
  std::string evacuated_;
  std::optional<std::size_t> slow_target_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_SCHEDULE_H_
