// Measures the cost of one instance in each role as a function of the number of
// services, targets, records, members and neighbours, and prints the slopes
// used in docs/CAPACITY.md. CPU time depends on the machine; bytes and memory
// do not.
//
//   role_slopes
#include <malloc.h>

#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/domain/dissemination.h"
#include "sapphirestream/domain/membership.h"
#include "sapphirestream/flow/snapshot_builder.h"
#include "sapphirestream/flow/steering.h"
#include "sapphirestream/instance/text_delta.h"
#include "sapphirestream/link/peer_message.h"
#include "sapphirestream/target/scheduler_factory.h"

namespace sapphirestream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr WallTime kWallStart{seconds(1000)};
// Size of the UDP and IPv4 headers and of the authenticated datagram's header.
constexpr std::size_t kDatagramOverhead = 28 + 44;
constexpr std::size_t kTargetsPerService = 7;
constexpr std::size_t kDomains = 12;

double CpuSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

double MeasureCpuSeconds(const std::function<void()>& work) {
  const double start = CpuSeconds();
  work();
  return CpuSeconds() - start;
}

double HeapMegabytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

template <typename Message>
std::size_t WireBytes(const Message& message) {
  std::vector<std::byte> bytes;
  std::visit([&](const auto& m) { EncodePeerMessage(m, bytes); }, message);
  return bytes.size() + kDatagramOverhead;
}

Configuration MakeConfiguration(std::size_t services) {
  Configuration configuration;
  configuration.version = ConfigVersion{1};
  configuration.preset = "ordinary";
  configuration.presets.push_back({.name = "ordinary"});
  for (std::size_t d = 0; d < kDomains; ++d) {
    configuration.domains.push_back(static_cast<DomainId>(d + 1));
  }
  for (std::size_t i = 0; i < services; ++i) {
    Service service;
    service.id = static_cast<ServiceId>(i + 1);
    service.name = "service-" + std::to_string(i);
    service.address = {MakeV4(10, 1, static_cast<std::uint8_t>(i >> 8),
                              static_cast<std::uint8_t>(i)),
                       443};
    for (std::size_t t = 0; t < kTargetsPerService; ++t) {
      Target target;
      target.id = static_cast<TargetId>(configuration.next_target_id++);
      target.tunnel = {MakeV4(10, static_cast<std::uint8_t>(2 + (i >> 16)),
                              static_cast<std::uint8_t>(i >> 8),
                              static_cast<std::uint8_t>(i)),
                       static_cast<std::uint16_t>(6081 + t)};
      target.domain = static_cast<DomainId>(t % kDomains + 1);
      target.added = ConfigVersion{1};
      service.targets.push_back(target);
    }
    configuration.services.push_back(std::move(service));
  }
  return configuration;
}

Configuration DrainFirstTarget(const Configuration& configuration) {
  Configuration next = configuration;
  next.version = ConfigVersion{2};
  Target& target = next.services.front().targets.front();
  target.drained = next.version;
  target.drained_at = kWallStart;
  return next;
}

std::vector<Member> MakeMembers(std::size_t count) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({static_cast<InstanceId>(i + 1),
                       static_cast<DomainId>(i % kDomains + 1),
                       MemberState::kAlive, Incarnation{1}});
  }
  return members;
}

class CountingSink final : public SteeringSink, public DomainSink {
 public:
  void Send(InstanceId /*to*/, const FlowMessage& message) override {
    ++messages;
    bytes += WireBytes(message);
  }
  void Send(InstanceId /*to*/, const DomainMessage& message) override {
    ++messages;
    bytes += WireBytes(message);
  }
  void Release(std::uint64_t /*token*/, const Verdict& /*verdict*/) override {}
  void LearnFlow(const FlowKey& /*key*/, TargetId /*target*/) override {}
  void ForgetFlow(const FlowKey& /*key*/) override {}

  std::size_t messages = 0;
  std::size_t bytes = 0;
};

SnapshotInputs MakeInputs(
    const std::shared_ptr<const Configuration>& configuration,
    std::size_t members) {
  return {.self = InstanceId{1},
          .own_domain = DomainId{1},
          .active = configuration,
          .newest = configuration,
          .members = MemberView(MakeMembers(members)),
          .previous_members = MemberView(MakeMembers(members)),
          .confirmed = true,
          .authority_until = kStart + std::chrono::hours(1),
          .now = kWallStart};
}

// Any role: memory and build time of the configuration and snapshot.
void MeasureSnapshots() {
  std::printf("\nevery instance: snapshot against services (7 targets each)\n");
  std::printf("%9s %9s %14s %12s %14s %12s\n", "services", "targets",
              "config MB", "tables MB", "first build ms", "rebuild ms");
  for (const std::size_t services : {1000, 4000, 17000}) {
    const double empty = HeapMegabytes();
    auto configuration =
        std::make_shared<const Configuration>(MakeConfiguration(services));
    const double with_configuration = HeapMegabytes();
    SnapshotBuilder builder(seconds(900));
    const SnapshotInputs inputs = MakeInputs(configuration, 36);
    std::shared_ptr<const Snapshot> snapshot;
    const double first =
        MeasureCpuSeconds([&] { snapshot = builder.Build(inputs); });
    const double with_snapshot = HeapMegabytes();
    const double rebuild =
        MeasureCpuSeconds([&] { snapshot = builder.Build(inputs); });
    std::printf("%9zu %9zu %14.1f %12.1f %14.1f %12.1f\n", services,
                services * kTargetsPerService, with_configuration - empty,
                with_snapshot - with_configuration, first * 1e3, rebuild * 1e3);
  }
}

// Any role: time to rank all instances for all services.
void MeasureRanks() {
  std::printf("\nevery instance: snapshot against members (1,000 services)\n");
  std::printf("%9s %14s\n", "members", "rebuild ms");
  auto configuration =
      std::make_shared<const Configuration>(MakeConfiguration(1000));
  for (const std::size_t members : {36, 360, 1800}) {
    SnapshotBuilder builder(seconds(900));
    const SnapshotInputs inputs = MakeInputs(configuration, members);
    (void)builder.Build(inputs);
    const double rebuild =
        MeasureCpuSeconds([&] { (void)builder.Build(inputs); });
    std::printf("%9zu %14.1f\n", members, rebuild * 1e3);
  }
}

Packet MakePacket(std::uint32_t n) {
  Packet packet;
  packet.key.service = ServiceId{1};
  packet.key.client =
      MakeV4(10, static_cast<std::uint8_t>(n >> 16),
             static_cast<std::uint8_t>(n >> 8), static_cast<std::uint8_t>(n));
  packet.key.client_port = 4000;
  packet.hash = HashFlow(packet.key);
  packet.syn = true;
  packet.sequence = n;
  return packet;
}

// Owner and scheduler: cost of flow records.
void MeasureRecords() {
  std::printf("\nowner: records (first packet, then a redirected one each)\n");
  std::printf("%9s %12s %14s %14s %12s %14s\n", "records", "bytes/rec",
              "us/first", "us/redirect", "us/tick", "wire bytes/rec");
  for (const std::uint32_t count : {10'000U, 50'000U, 250'000U}) {
    Configuration site = MakeConfiguration(1);
    site.domains = {DomainId{1}, DomainId{2}};
    site.presets.front().load_share_permille = 1000;
    for (Target& target : site.services.front().targets) {
      target.max_connections = 1'000'000;
    }
    auto configuration = std::make_shared<const Configuration>(site);
    SnapshotInputs inputs = MakeInputs(configuration, 2);
    SnapshotBuilder builder(seconds(900));
    CountingSink sink;
    CounterSet counters;
    SchedulerFactory factory;
    const double before = HeapMegabytes();
    Steering steering({}, factory, sink, counters);
    steering.SetSnapshot(builder.Build(inputs), kStart);
    std::vector<Packet> packets;
    packets.reserve(count);
    for (std::uint32_t n = 0; packets.size() < count; ++n) {
      packets.push_back(MakePacket(n));
    }
    TimePoint now = kStart;
    std::size_t owned = 0;
    const double first = MeasureCpuSeconds([&] {
      for (const Packet& packet : packets) {
        now += std::chrono::microseconds(100);
        (void)steering.OnPacket(packet, false, now);
      }
    });
    owned = steering.stats().owned;
    for (Packet& packet : packets) {
      packet.syn = false;
      packet.ack = true;
    }
    const double redirect = MeasureCpuSeconds([&] {
      for (const Packet& packet : packets) {
        (void)steering.OnRedirect(packet, false, InstanceId{2}, InstanceId{2},
                                  2, now);
      }
    });
    constexpr int tick_count = 100;
    const double ticks = MeasureCpuSeconds([&] {
      for (int i = 0; i < tick_count; ++i) {
        now += milliseconds(10);
        steering.OnTimer(now);
      }
    });
    const double bytes = (HeapMegabytes() - before) * 1e6;
    const auto records = static_cast<double>(owned);
    std::printf("%9zu %12.0f %14.2f %14.2f %12.1f %14.1f\n", owned,
                bytes / records, first * 1e6 / count, redirect * 1e6 / count,
                ticks * 1e6 / tick_count,
                static_cast<double>(sink.bytes) / records);
  }
}

// Simulates all instances of one domain without message loss. Messages arrive
// with the next tick.
class Domain final {
 public:
  explicit Domain(std::size_t size) : random_(1) {
    std::vector<InstanceListing> list;
    for (std::size_t i = 0; i < size; ++i) {
      list.push_back({static_cast<InstanceId>(i + 1), DomainId{1}});
    }
    for (std::size_t i = 0; i < size; ++i) {
      sinks_.push_back(std::make_unique<Outbox>(*this, list[i].id));
      members_.push_back(std::make_unique<Membership>(
          Membership::Options{.self = list[i].id,
                              .domain = DomainId{1},
                              .incarnation = Incarnation{1},
                              .ready = true},
          *sinks_.back(), random_, kStart));
      members_.back()->OnInstanceList(list, kStart);
    }
  }

  void Tick(TimePoint now) {
    for (auto& [to, from, message] : std::exchange(queue_, {})) {
      members_[Value(to) - 1]->OnMessage(from, message, now);
    }
    for (const auto& member : members_) member->OnTimer(now);
  }

  std::size_t messages = 0;
  std::size_t bytes = 0;

 private:
  struct InFlight {
    InstanceId to;
    InstanceId from;
    DomainMessage message;
  };
  class Outbox final : public DomainSink {
   public:
    Outbox(Domain& domain, InstanceId self) : domain_(domain), self_(self) {}
    void Send(InstanceId to, const DomainMessage& message) override {
      ++domain_.messages;
      domain_.bytes += WireBytes(message);
      domain_.queue_.push_back({to, self_, message});
    }

   private:
    Domain& domain_;
    InstanceId self_;
  };

  SeededRandom random_;
  std::vector<std::unique_ptr<Outbox>> sinks_;
  std::vector<std::unique_ptr<Membership>> members_;
  std::vector<InFlight> queue_;
};

// Any role: heartbeats and failure detection within the domain.
void MeasureMembership() {
  std::printf("\nevery instance: membership in its domain, after 40 s\n");
  std::printf("%9s %14s %14s %12s %12s\n", "instances", "bytes/s out",
              "msgs/s out", "cpu %", "KB/instance");
  for (const std::size_t size : {16, 64, 256}) {
    const double before = HeapMegabytes();
    Domain domain(size);
    TimePoint now = kStart;
    const auto run = [&](int ticks) {
      for (int i = 0; i < ticks; ++i) {
        now += milliseconds(100);
        domain.Tick(now);
      }
    };
    run(400);
    domain.messages = 0;
    domain.bytes = 0;
    constexpr double measured_seconds = 10;
    const double cpu = MeasureCpuSeconds([&] { run(100); });
    const auto instance_seconds = static_cast<double>(size) * measured_seconds;
    std::printf("%9zu %14.0f %14.1f %12.4f %12.1f\n", size,
                static_cast<double>(domain.bytes) / instance_seconds,
                static_cast<double>(domain.messages) / instance_seconds,
                cpu / instance_seconds * 100,
                (HeapMegabytes() - before) * 1e3 / static_cast<double>(size));
  }
}

// Store reader and relay: cost of a change of one target.
void MeasureDissemination() {
  std::printf("\nreader and leaf: one change against services\n");
  std::printf("%9s %12s %12s %14s %14s %14s\n", "services", "body KB",
              "delta B", "diff ms", "apply ms", "parse ms");
  const TextDelta format;
  for (const std::size_t services : {1000, 4000, 17000}) {
    const Configuration base = MakeConfiguration(services);
    const std::string body = boost::json::serialize(ToJson(base));
    const std::string next =
        boost::json::serialize(ToJson(DrainFirstTarget(base)));
    std::string delta;
    std::optional<std::string> applied;
    const double diff =
        MeasureCpuSeconds([&] { delta = format.Diff(body, next); });
    const double apply =
        MeasureCpuSeconds([&] { applied = format.Apply(body, delta); });
    const double parse =
        MeasureCpuSeconds([&] { (void)ParseConfiguration(next); });
    if (!applied || *applied != next) std::printf("delta does not apply\n");
    std::printf("%9zu %12.0f %12zu %14.1f %14.1f %14.1f\n", services,
                static_cast<double>(body.size()) / 1e3, delta.size(),
                diff * 1e3, apply * 1e3, parse * 1e3);
  }
}

}  // namespace
}  // namespace sapphirestream

int main() {
  sapphirestream::MeasureSnapshots();
  sapphirestream::MeasureRanks();
  sapphirestream::MeasureRecords();
  sapphirestream::MeasureMembership();
  sapphirestream::MeasureDissemination();
  return 0;
}
