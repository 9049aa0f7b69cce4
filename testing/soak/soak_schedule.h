// Schedules random, overlapping faults and changes. Always leaves enough usable
// instances and targets for the guarantees of the edge program to hold.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_SCHEDULE_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_SCHEDULE_H_

#include <cstddef>
#include <functional>
#include <list>

#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {

class SoakSchedule {
 public:
  // `world` must outlive the schedule.
  explicit SoakSchedule(SoakWorld& world);
  ~SoakSchedule();
  SoakSchedule(const SoakSchedule&) = delete;
  SoakSchedule& operator=(const SoakSchedule&) = delete;

  void Start();
  // Ends all active faults and injects no more.
  void EndAllFaults();

 private:
  struct ActiveFault {
    TimerId timer = kNoTimer;
    std::function<void()> end;
  };

  void ScheduleNext();
  void InjectRandomFault();
  // Ends a fault after a random time, or in EndAllFaults().
  void ScheduleEnd(std::function<void()> end);

  void InjectInstanceFault();
  void InjectLinkFault();
  void InjectStoreFault();
  void InjectTargetFault();
  void DrainAndReplaceTarget();
  [[nodiscard]] std::size_t RandomInstance();
  [[nodiscard]] std::size_t RandomTarget();

  SoakWorld& world_;
  TimerId next_ = kNoTimer;
  std::list<ActiveFault> active_faults_;
  bool store_fault_active_ = false;
  bool packet_loss_active_ = false;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_SCHEDULE_H_
