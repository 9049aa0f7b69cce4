// Fixture of the steering tests: records what EdgeSteering sends, and finishes
// probes.
#ifndef SAPPHIRESTREAM_TEST_EDGE_EDGE_STEERING_FIXTURE_H_
#define SAPPHIRESTREAM_TEST_EDGE_EDGE_STEERING_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "sapphirestream/edge/edge_steering.h"
#include "test/edge/sample.h"
#include "testing/manual_clock.h"

namespace sapphirestream {

struct EdgeSteeringFixture : EdgeSink, LogSink {
  struct Sent {
    TargetKey target{};
    std::optional<FlowToken> token;
  };

  EdgeSteeringFixture() {
    routes.Apply(sample::Routes(1));
    for (std::uint64_t key : {1, 2, 3}) Add(sample::Target(key, "a"));
    Add(sample::Target(9, "a", "intake"));
  }

  void Forward(TargetKey target, V4Endpoint /*address*/,
               std::span<const std::byte> /*packet*/,
               std::optional<FlowToken> token) override {
    sent.push_back({target, token});
  }
  void Reset(const ClientReset& reset) override { resets.push_back(reset); }
  void Probe(const ProbeRequest& probe) override {
    probes.push_back(probe.target);
    control = probe.control;
    probe_begun = clock.Now();
  }
  void RefreshTargets() override { ++refreshes; }
  void ConfirmRoutes() override { ++route_reads; }
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }

  void Add(const TargetRecord& record) {
    targets.Upsert(record, {StoreEra{1}, ++revision}, /*propagated=*/true,
                   clock.Now());
  }
  // Removes a target's entry; the store was available.
  void Remove(TargetKey target) {
    targets.Erase(target, {StoreEra{1}, ++revision},
                  /*store_returned_at=*/std::nullopt, clock.Now());
  }
  void Handle(const EdgePacket& packet) {
    steering.OnPacket(packet, clock.Now());
  }
  // The routes are read; nothing has changed since the last version.
  void ReadRoutes(TimePoint begun) {
    steering.OnRoutesRead(begun, clock.Now());
  }
  void Advance(Duration by) {
    clock.Advance(by);
    steering.Tick(clock.Now());
  }
  // `answered_by`: the target that identified itself.
  void FinishProbe(TargetKey target, ProbeOutcome outcome,
                   TargetKey answered_by = {}) {
    steering.OnProbe(
        target,
        {.outcome = outcome, .begun = probe_begun, .answered_by = answered_by},
        clock.Now());
  }
  // Opens a flow and completes its first request; returns its target.
  TargetKey Open(std::uint32_t client, V4Endpoint service = sample::kFeed) {
    Handle(sample::Syn(client, service));
    const TargetKey target = sent.back().target;
    clock.Advance(std::chrono::milliseconds(10));
    Handle(sample::Data(client, service, targets.TokenOf(target), 101, 100, 1));
    clock.Advance(std::chrono::milliseconds(30));
    Handle(
        sample::Data(client, service, targets.TokenOf(target), 201, 0, 2001));
    return target;
  }
  // Sends the flow's second request; repeated calls are retransmissions.
  void Request(std::uint32_t client, TargetKey target,
               V4Endpoint service = sample::kFeed) {
    Handle(
        sample::Data(client, service, targets.TokenOf(target), 201, 100, 2001));
  }
  // Makes a probe report that the target is unreachable.
  void MakeUnreachable(TargetKey target,
                       ProbeOutcome outcome = ProbeOutcome::kSilent) {
    EdgeTarget& unreachable = *targets.Find(target);
    (void)unreachable.health.OnUnanswered(
        clock.Now(), true, clock.Now() + std::chrono::milliseconds(1));
    probe_begun = clock.Now() + std::chrono::milliseconds(1);
    clock.Advance(std::chrono::milliseconds(60));
    FinishProbe(target, outcome);
  }

  testing::ManualClock clock;
  EventLog log{*this, clock, 10000};
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  EdgeLog flow_log{log, routes};
  CounterSet counters;
  TierPlacer placer;
  SteeringDecisions decisions{.placer = placer};
  SteeringOptions options{.flow_capacity = 256, .evacuates_domains = true};
  EdgeSteering steering{routes,   targets,   *this,  flow_log,
                        counters, decisions, options};
  std::uint64_t revision = 0;
  std::vector<Sent> sent;
  std::vector<ClientReset> resets;
  std::vector<TargetKey> probes;
  // Control target of the last probe.
  std::optional<V4Endpoint> control;
  TimePoint probe_begun;
  int refreshes = 0;
  // Reads of the routes that were requested.
  int route_reads = 0;
  std::vector<std::string> lines;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_EDGE_EDGE_STEERING_FIXTURE_H_
