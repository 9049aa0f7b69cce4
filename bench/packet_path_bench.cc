// Measures the time and heap allocations of one decision for known and unknown
// flows, and the memory per recorded flow.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <new>
#include <vector>

#include "sapphirestream/flow/fast_path.h"
#include "sapphirestream/flow/snapshot_builder.h"
#include "sapphirestream/flow/stateless_rule.h"
#include "sapphirestream/flow/steering.h"
#include "sapphirestream/link/geneve.h"
#include "sapphirestream/link/inner_packet.h"
#include "sapphirestream/link/packet_builder.h"
#include "sapphirestream/target/scheduler_factory.h"

namespace {

// Updated by the allocation functions below.
std::atomic<std::uint64_t> allocations{0};
std::atomic<std::int64_t> live_bytes{0};

void* Allocate(std::size_t size, std::size_t alignment) {
  const std::size_t rounded = (size + alignment - 1) / alignment * alignment;
  void* memory = std::aligned_alloc(alignment, rounded);
  if (memory == nullptr) throw std::bad_alloc();
  allocations.fetch_add(1, std::memory_order_relaxed);
  live_bytes.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)),
                       std::memory_order_relaxed);
  return memory;
}

void Free(void* memory) noexcept {
  if (memory == nullptr) return;
  live_bytes.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)),
                       std::memory_order_relaxed);
  std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) {
  return Allocate(size, __STDCPP_DEFAULT_NEW_ALIGNMENT__);
}
void* operator new(std::size_t size, std::align_val_t alignment) {
  return Allocate(size, static_cast<std::size_t>(alignment));
}
void operator delete(void* memory) noexcept { Free(memory); }
void operator delete(void* memory, std::size_t) noexcept { Free(memory); }
void operator delete(void* memory, std::align_val_t) noexcept { Free(memory); }
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept {
  Free(memory);
}

namespace sapphirestream {
namespace {

constexpr ServiceId kService{1};
constexpr std::size_t kTargets = 14;
constexpr std::size_t kFlows = 1 << 16;
constexpr TimePoint kNow{std::chrono::seconds(1000)};
constexpr WallTime kWallNow{std::chrono::hours(1'000'000)};

class NullSink final : public SteeringSink {
 public:
  void Send(InstanceId, const FlowMessage&) override {}
  void Release(std::uint64_t, const Verdict&) override {}
  void LearnFlow(const FlowKey&, TargetId) override {}
  void ForgetFlow(const FlowKey&) override {}
};

// Returns a snapshot with one service of 14 targets, the last of which was
// drained a minute ago, and one instance, which owns all flows.
std::shared_ptr<const Snapshot> MakeSnapshot(std::uint32_t load_share) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion{2};
  configuration->preset = "ordinary";
  configuration->presets.emplace_back();
  configuration->presets.back().name = "ordinary";
  configuration->presets.back().load_share_permille = load_share;
  configuration->domains = {DomainId{1}};
  Service service;
  service.id = kService;
  service.address = *ParseEndpoint("10.9.0.1:443");
  for (std::uint32_t i = 1; i <= kTargets; ++i) {
    Target target;
    target.id = TargetId{i};
    target.tunnel = *ParseEndpoint("127.0.1.1:6081");
    target.domain = DomainId{1};
    target.max_connections = 1'000'000;
    target.added = ConfigVersion{1};
    target.added_at = kWallNow - std::chrono::hours(48);
    service.targets.push_back(target);
  }
  service.targets.back().drained = ConfigVersion{2};
  service.targets.back().drained_at = kWallNow - std::chrono::minutes(1);
  configuration->services.push_back(service);
  const MemberView members({{.id = InstanceId{1}, .domain = DomainId{1}}});
  return SnapshotBuilder(std::chrono::seconds(900))
      .Build({.self = InstanceId{1},
              .own_domain = DomainId{1},
              .active = configuration,
              .newest = configuration,
              .members = members,
              .previous_members = members,
              .authority_until = TimePoint::max(),
              .now = kWallNow});
}

enum class Bucket { kStable, kChanged };

// Returns packets of different flows, none of which is placed by load.
std::vector<Packet> MakePackets(const Snapshot& snapshot, Bucket bucket,
                                bool opens) {
  const ServiceView& view = snapshot.services.at(kService);
  std::vector<Packet> packets;
  for (std::uint32_t i = 0; packets.size() < kFlows; ++i) {
    Packet packet;
    packet.key = {MakeV4(10, static_cast<std::uint8_t>(i >> 24),
                         static_cast<std::uint8_t>(i >> 16),
                         static_cast<std::uint8_t>(i >> 8)),
                  kService, static_cast<std::uint16_t>(1024 + (i & 0xff)),
                  Protocol::kTcp};
    packet.hash = HashFlow(packet.key);
    packet.syn = opens;
    packet.ack = !opens;
    packet.sequence = i;
    packet.payload_size = opens ? 0 : 100;
    const bool is_stable = IsBucketStable(view, packet.hash);
    if (is_stable == (bucket == Bucket::kStable)) packets.push_back(packet);
  }
  return packets;
}

// Reports the allocations per iteration since its construction.
class AllocationCount {
 public:
  explicit AllocationCount(benchmark::State& state)
      : state_(state), before_(allocations.load()) {}
  ~AllocationCount() {
    state_.counters["allocs"] =
        benchmark::Counter(static_cast<double>(allocations.load() - before_),
                           benchmark::Counter::kAvgIterations);
  }

 private:
  benchmark::State& state_;
  std::uint64_t before_;
};

void RunFastPath(benchmark::State& state, FastPath& fast_path,
                 const Snapshot& snapshot, std::vector<Packet>& packets,
                 VerdictKind expected) {
  std::size_t i = 0;
  std::uint32_t sequence = 0;
  const AllocationCount count(state);
  for (auto _ : state) {
    Packet& packet = packets[i++ % packets.size()];
    // A new sequence number each time; otherwise the packet would count as
    // repeated.
    packet.sequence = ++sequence;
    bool repeated = false;
    const Verdict verdict =
        fast_path.OnPacket(packet, snapshot, kNow, repeated);
    if (verdict.kind != expected) {
      state.SkipWithError("unexpected verdict");
      break;
    }
  }
}

void KnownFlow(benchmark::State& state) {
  const auto snapshot = MakeSnapshot(0);
  auto packets = MakePackets(*snapshot, Bucket::kChanged, false);
  // One sixteenth of the capacity, so that no set overflows.
  packets.resize(kFlows / 16);
  FastPath fast_path({.learned_capacity = kFlows});
  for (const Packet& packet : packets) {
    fast_path.Learn(packet.key, packet.hash, TargetId{1}, kNow);
  }
  RunFastPath(state, fast_path, *snapshot, packets, VerdictKind::kForward);
}
BENCHMARK(KnownFlow);

void UnknownFlowStableBucket(benchmark::State& state) {
  const auto snapshot = MakeSnapshot(0);
  auto packets = MakePackets(*snapshot, Bucket::kStable, true);
  FastPath fast_path({.learned_capacity = kFlows});
  RunFastPath(state, fast_path, *snapshot, packets, VerdictKind::kForward);
}
BENCHMARK(UnknownFlowStableBucket);

// First packet of a flow that needs a record: FastPath escalates it, and the
// Steering of the owner places and records it.
void UnknownFlowChangedBucket(benchmark::State& state) {
  const auto snapshot = MakeSnapshot(0);
  auto packets = MakePackets(*snapshot, Bucket::kChanged, true);
  FastPath fast_path({.learned_capacity = kFlows});
  SchedulerFactory placers;
  NullSink sink;
  CounterSet counters;
  auto make = [&] {
    auto steering = std::make_unique<Steering>(
        Steering::Options{.record_capacity = 2 * kFlows}, placers, sink,
        counters);
    steering->SetSnapshot(snapshot, kNow);
    return steering;
  };
  auto steering = make();
  std::size_t i = 0;
  std::uint64_t counted = 0;
  std::uint32_t sequence = 0;
  for (auto _ : state) {
    if (i == packets.size()) {
      state.PauseTiming();
      steering = make();
      i = 0;
      state.ResumeTiming();
    }
    const std::uint64_t before = allocations.load(std::memory_order_relaxed);
    Packet& packet = packets[i++];
    packet.sequence = ++sequence;
    bool repeated = false;
    const Verdict first = fast_path.OnPacket(packet, *snapshot, kNow, repeated);
    const Verdict second = steering->OnPacket(packet, repeated, kNow);
    counted += allocations.load(std::memory_order_relaxed) - before;
    if (first.kind != VerdictKind::kEscalate ||
        second.kind != VerdictKind::kForward) {
      state.SkipWithError("unexpected verdict");
      break;
    }
  }
  state.counters["allocs"] = benchmark::Counter(
      static_cast<double>(counted), benchmark::Counter::kAvgIterations);
}
BENCHMARK(UnknownFlowChangedBucket);

// Decodes the Geneve header and the inner packet, which precedes every
// decision.
void DecodePacket(benchmark::State& state) {
  PacketSpec spec;
  spec.source = *ParseEndpoint("10.0.0.1:4000");
  spec.destination = *ParseEndpoint("10.9.0.1:443");
  spec.ack = true;
  spec.payload = "0123456789";
  const auto datagram = EncapsulateInGeneve(kService, BuildPacket(spec));
  const AllocationCount count(state);
  for (auto _ : state) {
    GeneveHeader header;
    InnerPacket inner;
    benchmark::DoNotOptimize(datagram.data());
    if (DecodeGeneve(datagram, header) != ErrorKind::kNone ||
        ParseInnerPacket(std::span(datagram).subspan(header.size),
                         header.service, inner) != ErrorKind::kNone) {
      state.SkipWithError("packet rejected");
      break;
    }
    benchmark::DoNotOptimize(inner);
  }
}
BENCHMARK(DecodePacket);

// Reports the heap memory of a full record table per record.
void BytesPerRecord(benchmark::State& state) {
  const auto snapshot = MakeSnapshot(1000);
  const auto packets = MakePackets(*snapshot, Bucket::kStable, true);
  SchedulerFactory placers;
  NullSink sink;
  CounterSet counters;
  double bytes = 0;
  for (auto _ : state) {
    const std::int64_t before = live_bytes.load();
    Steering steering({.record_capacity = kFlows}, placers, sink, counters);
    steering.SetSnapshot(snapshot, kNow);
    for (const Packet& packet : packets) {
      benchmark::DoNotOptimize(steering.OnPacket(packet, false, kNow));
    }
    bytes = static_cast<double>(live_bytes.load() - before) /
            static_cast<double>(steering.stats().owned);
  }
  state.counters["bytes_per_record"] = bytes;
}
BENCHMARK(BytesPerRecord)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace sapphirestream

BENCHMARK_MAIN();
