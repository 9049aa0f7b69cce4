// Instances, store and targets. Faults are in soak_faults.cc, clients and
// checks in soak_clients.cc, routes in soak_routes.cc.
#include "testing/soak/soak_world.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "platform/edge_platform.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream::soak {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::uint16_t kDataPort = 7001;
constexpr std::uint16_t kReadyPort = 7002;
constexpr std::uint16_t kMetricsPort = 7003;
constexpr std::uint16_t kStorePort = 7000;
constexpr std::uint16_t kPeerPort = 7004;
constexpr std::uint16_t kTargetPort = 8080;
// Third byte of the addresses.
enum Group : std::uint8_t {
  kStoreGroup = 1,
  kInstanceGroup = 2,
  kLinkGroup = 3,
  kTargetGroup = 4,
  kClientGroup = 5,
};
constexpr std::size_t kDeskTargets = 4;
constexpr std::size_t kAllTargets = 6;
// A target that no fault of a single target or domain reaches. Temporary routes
// lead to it, so that a flow on one is refused only if the route is missing.
constexpr std::size_t kCheckTarget = kAllTargets;
constexpr std::uint64_t kBurstSeed = 0x8cb92ba72f3d8dd7;
constexpr std::uint64_t kReturningSeed = 0x589965cc75374cc3;
constexpr Duration kStartTimeout = 10s;
// Time for the last flows to complete.
constexpr Duration kLoadDrainTime = 6s;

asio::ip::tcp::endpoint Tcp(V4Endpoint address) {
  return {asio::ip::address_v4(address.address), address.port};
}

const char* DomainOf(std::size_t index) { return index % 2 == 0 ? "a" : "b"; }

const char* ServiceOf(std::size_t target) {
  if (target == kCheckTarget) return "checks";
  return target < kDeskTargets ? "desk" : "intake";
}

}  // namespace

SoakWorld::SoakWorld(const SoakOptions& options)
    : options_(options),
      random_(options.seed),
      start_(clock_.Now()),
      burst_random_(options.seed ^ kBurstSeed),
      returning_random_(options.seed ^ kReturningSeed) {
  const V4Endpoint store = Address(kStoreGroup, 0, kStorePort);
  store_ = std::make_unique<StoreStandin>(context_, ToEndpoint(store), timer_,
                                          clock_, random_);
  const V4Endpoint clients = Address(kClientGroup, 0, kDataPort);
  clients_socket_ = {
      context_, asio::ip::udp::endpoint(asio::ip::address_v4(clients.address),
                                        clients.port)};
  for (std::size_t i = 0; i <= kCheckTarget; ++i) AddTarget(i);
  WriteRoutes(random_);
  for (std::size_t i = 0; i < options.instances; ++i) AddInstance(i);
  ReadClients();
  MonitorProcesses();
  ConfirmEntries();
}

SoakWorld::~SoakWorld() = default;

V4Endpoint SoakWorld::Address(unsigned group, std::size_t index,
                              std::uint16_t port) const {
  constexpr std::uint32_t loopback = 127U << 24U;
  return {loopback | std::uint32_t{options_.net} << 16U | group << 8U |
              static_cast<std::uint32_t>(index + 1),
          port};
}

V4Endpoint SoakWorld::UnusedTargetAddress() const {
  return Address(kTargetGroup, kCheckTarget + 1, kTargetPort);
}

void SoakWorld::AddInstance(std::size_t index) {
  const V4Endpoint link = Address(kLinkGroup, index, kStorePort);
  const V4Endpoint ready = Address(kInstanceGroup, index, kReadyPort);
  Instance instance;
  instance.process = std::make_unique<EdgeProcess>(EdgeProcessOptions{
      .program = options_.program,
      .folder = options_.folder,
      .name = "edge-" + std::to_string(index + 1),
      .domain = DomainOf(index),
      .data = Address(kInstanceGroup, index, kDataPort),
      .ready = ready,
      .metrics = Address(kInstanceGroup, index, kMetricsPort),
      .store = link,
      .peer = Address(kInstanceGroup, index, kPeerPort),
      .evacuation_bound = kEvacuationBound,
      // The last one is stale.
      .seeds = ToString(Address(kInstanceGroup, 0, kPeerPort)) + "," +
               ToString(Address(kInstanceGroup, 1, kPeerPort)) + "," +
               ToString(Address(kClientGroup, 1, kPeerPort))});
  instance.link = std::make_unique<TcpProxy>(
      context_, Tcp(link), Tcp(Address(kStoreGroup, 0, kStorePort)));
  instance.check = std::make_unique<ReadyCheck>(
      context_, ready, std::string(platform::MakeEdgePlatform()->ready_path()));
  instances_.push_back(std::move(instance));
}

void SoakWorld::AddTarget(std::size_t index) {
  const V4Endpoint clients = Address(kClientGroup, 0, kDataPort);
  TargetRecord record;
  record.key = TargetKey{++last_key_};
  record.incarnation = Incarnation{static_cast<std::uint64_t>(
      (clock_.Now() - start_) / std::chrono::milliseconds(1))};
  record.service = ServiceOf(index);
  record.address = Address(kTargetGroup, index, kTargetPort);
  record.domain = index == kCheckTarget ? "c" : DomainOf(index);
  record.slots = 4;
  auto process = std::make_unique<SoakTarget>(
      context_, record,
      asio::ip::udp::endpoint(asio::ip::address_v4(clients.address),
                              clients.port),
      timer_, *this);
  process->Start();
  if (load_running_) SetCold(*process, /*is_new=*/true);
  WriteEntry(*process);
  targets_.resize(std::max(targets_.size(), index + 1));
  targets_.at(index) = {std::move(process), TimePoint{}};
}

std::string SoakWorld::SpecOf(const TargetRecord& record) {
  return R"({"Service":")" + record.service + R"(","Address":")" +
         ToString(record.address) + R"(","Zone":")" + record.domain +
         R"(","Version":"v1","Slots":)" + std::to_string(record.slots) +
         R"(,"State":")" + (record.draining ? "draining" : "ready") +
         R"(","ColdRemainingMs":)" +
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            record.cold_remaining)
                            .count()) +
         R"(,"Seq":1,"born":)" + std::to_string(Value(record.incarnation)) +
         "}";
}

void SoakWorld::WriteEntry(const SoakTarget& target) {
  TargetRecord record = target.record();
  record.cold_remaining =
      std::max(target.cold_until() - clock_.Now(), Duration::zero());
  store_->Put("servers", EntryName(record.key), SpecOf(record));
}

void SoakWorld::Start() {
  for (std::size_t i = 0; i < instances_.size(); ++i) StartInstance(i);
  for (Instance& instance : instances_) instance.check->Start();
  const TimePoint limit = clock_.Now() + kStartTimeout;
  const auto is_ready = [](const Instance& i) { return i.check->is_ready(); };
  while (!std::all_of(instances_.begin(), instances_.end(), is_ready)) {
    if (clock_.Now() > limit) {
      throw std::runtime_error("not all instances are ready after 10 s");
    }
    RunFor(100ms);
  }
  last_fault_ = clock_.Now();
  load_running_ = true;
  GenerateLoad();
  GenerateReturningLoad();
  CheckRoutes();
}

void SoakWorld::RunFor(Duration span) {
  context_.restart();
  context_.run_for(span);
}

void SoakWorld::Stop() {
  load_running_ = false;
  RunFor(kLoadDrainTime);
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    instances_[i].stopping = true;
    instances_[i].process->Signal(SIGTERM);
  }
  RunFor(std::chrono::seconds(EdgeProcess::kGraceSeconds));
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].process->is_running()) {
      AddViolation("edge-" + std::to_string(i + 1) +
                   " is still running after its grace period");
      instances_[i].process->Kill();
    }
  }
}

void SoakWorld::StartInstance(std::size_t index) {
  Instance& instance = instances_.at(index);
  instance.process->Start();
  OnProcessStart(index);
  instance.paused = false;
  instance.stopping = false;
  instance.healthy_since = clock_.Now();
  instance.started = clock_.Now();
  rotation_changed_ = clock_.Now();
}

void SoakWorld::MonitorProcesses() {
  for (std::size_t i = 0; i < instances_.size(); ++i) CheckExit(i);
  ObserveServices();
  ObserveEvacuations();
  timer_.After(100ms, [this] { MonitorProcesses(); });
}

void SoakWorld::CheckExit(std::size_t index) {
  Instance& instance = instances_.at(index);
  if (instance.process->is_running() || instance.is_restarting) return;
  if (instance.healthy_since == TimePoint{}) return;  // not yet started
  const std::string name = "edge-" + std::to_string(index + 1);
  const int status = instance.process->status();
  Log(name + " ended with " + std::to_string(status));
  const bool is_expected =
      instance.stopping ? status == 0 : instance.killed && status == -SIGKILL;
  if (!is_expected) {
    AddViolation(name + " ended with " + std::to_string(status));
  }
  instance.killed = false;
  instance.is_restarting = true;
  if (!load_running_) return;
  timer_.After(std::chrono::milliseconds(100 + random_.Below(1500)),
               [this, index] {
                 if (!load_running_) return;
                 instances_.at(index).is_restarting = false;
                 StartInstance(index);
               });
}

void SoakWorld::Log(const std::string& line) {
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now() - start_);
  std::cout << since.count() << " ms: " << line << "\n";
}

void SoakWorld::RecordFault() { last_fault_ = clock_.Now(); }

void SoakWorld::AddViolation(const std::string& text) {
  Log("VIOLATION: " + text);
  violations_.push_back(text);
}

std::size_t SoakWorld::targets() const { return kAllTargets; }

bool SoakWorld::IsUsable(std::size_t index) {
  Instance& instance = instances_.at(index);
  return instance.process->is_running() && !instance.paused &&
         !instance.stopping && instance.check->is_ready();
}

std::size_t SoakWorld::UsableInstances() {
  std::size_t usable = 0;
  for (std::size_t i = 0; i < instances_.size(); ++i) usable += IsUsable(i);
  return usable;
}

bool SoakWorld::IsUsableTarget(std::size_t index) const {
  const Target& target = targets_.at(index);
  return target.process->is_serving() && target.drained == TimePoint{} &&
         !target.process->is_unlisted();
}

std::size_t SoakWorld::UsablePeersOf(std::size_t index) const {
  const std::string& service = targets_.at(index).process->record().service;
  std::size_t usable = 0;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    const bool is_peer =
        i != index && targets_[i].process->record().service == service;
    if (is_peer && IsUsableTarget(i)) ++usable;
  }
  return usable;
}

SoakTarget* SoakWorld::Find(TargetKey key) {
  for (const Target& target : targets_) {
    if (target.process->record().key == key) return target.process.get();
  }
  return nullptr;
}

}  // namespace sapphirestream::soak
