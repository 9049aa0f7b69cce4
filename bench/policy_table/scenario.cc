// Runs a scenario: opens the flows, waits until they have settled, triggers the
// event and continues.
#include "bench/policy_table/scenario.h"

#include <memory>

#include "bench/fleet/site.h"

namespace sapphirestream::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kSettleTime = seconds(40);
constexpr Duration kMeasuredTime = seconds(30);
constexpr Duration kTimeAfterEvent = seconds(40);
constexpr Duration kServiceTime = milliseconds(200);
constexpr std::size_t kLargeTargets = 14;
constexpr std::size_t kSmallTargets = 4;

FleetOptions FleetOptionsFor(const Scenario& scenario) {
  FleetOptions options;
  options.instances = scenario.instances;
  options.seed = scenario.seed;
  options.delay_between = scenario.delay_between;
  if (scenario.event == Event::kLoss2) options.loss = 0.02;
  if (scenario.event == Event::kLoss10) options.loss = 0.10;
  const bool is_uneven = scenario.event == Event::kUnevenUpdates ||
                         scenario.event == Event::kUnevenUpdatesUnprepared;
  if (is_uneven) options.spread = seconds(5);
  options.uses_prepare = scenario.event != Event::kUnevenUpdatesUnprepared;
  return options;
}

TrafficOptions TrafficOptionsFor(const Scenario& scenario) {
  TrafficOptions options;
  options.client_delay = scenario.client_delay;
  options.service_time = kServiceTime;
  if (scenario.event == Event::kOldReports) options.report_age = seconds(5);
  if (scenario.event == Event::kFabricLags) options.fabric_lag = seconds(10);
  return options;
}

void Drain(System& system, WallTime now) {
  Configuration next = DrainTarget(system.newest(), kBoard, now);
  for (const ServiceId service : {kOrders, kShortFlows}) {
    Configuration drained = DrainTarget(next, service, now);
    // Merges the drains into one change, so that all targets drain with the
    // same version.
    drained.version = next.version;
    for (Service& s : drained.services) {
      for (Target& target : s.targets) {
        if (target.drained > next.version) target.drained = next.version;
      }
    }
    next = std::move(drained);
  }
  system.Accept(std::move(next));
}

void TriggerEvent(const Scenario& scenario, System& system, Traffic& traffic) {
  const WallTime now{std::chrono::duration_cast<milliseconds>(
      system.queue().now().time_since_epoch())};
  switch (scenario.event) {
    case Event::kAddTarget:
      system.Accept(AddTarget(system.newest(), kBoard, DomainId{1}, now));
      return;
    case Event::kDrainTarget:
    case Event::kUnevenUpdates:
    case Event::kUnevenUpdatesUnprepared:
      Drain(system, now);
      return;
    case Event::kSwitchPreset:
      system.Accept(SwitchPreset(system.newest(),
                                 scenario.load_share_permille + 100, now));
      return;
    case Event::kInstanceLeaves:
      system.Leave(InstanceId{3});
      return;
    case Event::kInstanceJoins:
      system.Start(InstanceId{100}, DomainId{1});
      return;
    case Event::kTargetAndInstance:
      Drain(system, now);
      system.Leave(InstanceId{3});
      system.Start(InstanceId{100}, DomainId{1});
      return;
    case Event::kInstanceDies:
    case Event::kFabricLags:
      system.Kill(InstanceId{3});
      return;
    case Event::kTwoInstancesDie:
      system.Kill(InstanceId{3});
      system.Kill(InstanceId{2});
      return;
    case Event::kDomainCut:
      system.Partition(DomainId{2});
      return;
    case Event::kInstancePaused:
      system.Pause(InstanceId{3}, seconds(6));
      return;
    case Event::kDeadTarget:
      // The second target of the order service.
      traffic.KillTarget(static_cast<TargetId>(kLargeTargets + 2));
      return;
    case Event::kNone:
    case Event::kLoss2:
    case Event::kLoss10:
    case Event::kOldReports:
      return;
  }
}

}  // namespace

Outcome RunScenario(const Scenario& scenario) {
  SiteOptions site;
  site.load_share_permille = scenario.load_share_permille;
  const Configuration configuration = MakeSite(site);
  Traffic traffic(TrafficOptionsFor(scenario));
  std::unique_ptr<System> system;
  const FleetOptions options = FleetOptionsFor(scenario);
  if (scenario.policy) {
    system = std::make_unique<Baseline>(*scenario.policy, options,
                                        configuration, traffic);
  } else {
    system = std::make_unique<Fleet>(options, configuration, traffic);
  }
  traffic.Attach(*system);
  system->RunFor(seconds(1));
  const Duration event_time = scenario.event == Event::kDomainCut
                                  ? Duration(minutes(10))
                                  : kMeasuredTime;
  const TimePoint end =
      system->queue().now() + kSettleTime + event_time + seconds(10);
  const std::size_t connections = scenario.connections_per_target;
  traffic.OpenStreams(kBoard, connections * kLargeTargets, kSettleTime / 2);
  traffic.OpenStreams(kUploads, connections * kSmallTargets, kSettleTime / 2);
  const std::chrono::duration<double> service_time = kServiceTime;
  traffic.StartRequests(
      kOrders, scenario.load * kLargeTargets * 2 / service_time.count(), end);
  traffic.StartDatagrams(kDatagramOrders, 20, end);
  traffic.StartShortFlows(kShortFlows, scenario.short_flows_per_second, 3, end);
  system->RunFor(kSettleTime);
  traffic.StartMeasuring();
  system->ResetBytes();
  TriggerEvent(scenario, *system, traffic);
  system->RunFor(event_time);
  Outcome outcome;
  const std::chrono::duration<double> measured = event_time;
  outcome.control_bytes_per_second =
      static_cast<double>(system->control_bytes()) / measured.count() /
      static_cast<double>(scenario.instances);
  outcome.open_imbalance = traffic.OpenImbalance(kBoard);
  outcome.records = system->records();
  if (scenario.event == Event::kDomainCut) system->Heal(DomainId{2});
  system->RunFor(kTimeAfterEvent);
  outcome.busy_imbalance = traffic.BusyImbalance();
  outcome.traffic = traffic.Finish();
  return outcome;
}

}  // namespace sapphirestream::fleet
