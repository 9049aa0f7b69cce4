// State machine of the ownership of the flows of one service (Boost.MSM).
#ifndef SAPPHIRESTREAM_FLOW_OWNERSHIP_MACHINE_H_
#define SAPPHIRESTREAM_FLOW_OWNERSHIP_MACHINE_H_

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sapphirestream {

enum class OwnershipState : std::uint8_t { kIdle, kRecovering, kDeciding };

[[nodiscard]] constexpr std::string_view Name(OwnershipState state) noexcept {
  constexpr std::string_view names[] = {"idle", "recovering", "deciding"};
  return names[static_cast<std::size_t>(state)];
}

namespace internal {

struct RankedFirst {};
struct RecordsPulled {};
struct RankLost {};

// Transition table:
//   idle        RankedFirst    recovering  (pull the records)
//   recovering  RecordsPulled  deciding
//   recovering  RankLost       idle
//   deciding    RankLost       idle        (hand the records over)
// NOLINTBEGIN(readability-identifier-naming): names required by Boost.MSM
struct OwnershipDef : boost::msm::front::state_machine_def<OwnershipDef> {
  struct Idle : boost::msm::front::state<> {};
  struct Recovering : boost::msm::front::state<> {};
  struct Deciding : boost::msm::front::state<> {};
  using initial_state = Idle;
  template <class From, class Event, class To>
  using Row = boost::msm::front::Row<From, Event, To>;
  struct transition_table
      : boost::mpl::vector<Row<Idle, RankedFirst, Recovering>,
                           Row<Recovering, RecordsPulled, Deciding>,
                           Row<Recovering, RankLost, Idle>,
                           Row<Deciding, RankLost, Idle>> {};
  // Events without a transition are ignored.
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) noexcept {}
};
// NOLINTEND(readability-identifier-naming)

}  // namespace internal

class OwnershipMachine {
 public:
  OwnershipMachine() { machine_.start(); }

  // Called when this instance has become the scheduler of the service in its
  // domain.
  void OnRankedFirst() { machine_.process_event(internal::RankedFirst{}); }
  void OnRecordsPulled() { machine_.process_event(internal::RecordsPulled{}); }
  void OnRankLost() { machine_.process_event(internal::RankLost{}); }

  [[nodiscard]] OwnershipState state() const noexcept {
    return static_cast<OwnershipState>(machine_.current_state()[0]);
  }

 private:
  // The state ids of Boost.MSM, and so OwnershipState, follow the order in
  // which the transition table first names the states.
  boost::msm::back::state_machine<internal::OwnershipDef> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_OWNERSHIP_MACHINE_H_
