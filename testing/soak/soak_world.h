// Environment of the instances in a soak test: the store behind proxies, the
// router, targets and clients. Verifies what clients and targets observe.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_WORLD_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_WORLD_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/random.h"
#include "sapphirestream/base/system_clock.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/store/asio_timer.h"
#include "testing/flow_ends/flow_client.h"
#include "testing/soak/edge_process.h"
#include "testing/soak/ready_check.h"
#include "testing/soak/returning_routes.h"
#include "testing/soak/soak_limits.h"
#include "testing/soak/soak_options.h"
#include "testing/soak/soak_target.h"
#include "testing/soak/split_flow.h"
#include "testing/soak/store_standin.h"
#include "testing/soak/tcp_proxy.h"

namespace sapphirestream::soak {

class SoakWorld final : public testing::FlowTarget::Observer {
 public:
  explicit SoakWorld(const SoakOptions& options);
  ~SoakWorld() override;
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  // Starts all processes, waits until they are ready, and starts the load.
  // Throws std::runtime_error if they are not ready in time.
  void Start();
  // Runs the event loop for `span`.
  void RunFor(Duration span);
  // From now on, each flow must be answered at its first attempt.
  void ExpectAllAnswered() { all_answered_from_ = clock_.Now(); }
  // Stops the load and the processes, and verifies that they exit cleanly.
  void Stop();

  // Prints a line prefixed with the time since the start.
  void Log(const std::string& line);

  // Faults and changes.
  void StopInstance(std::size_t index);
  void KillInstance(std::size_t index);
  void PauseInstance(std::size_t index);
  void ResumeInstance(std::size_t index);
  void ReloadInstance(std::size_t index, bool with_signal);
  void SetLinkFault(std::size_t index, LinkFault fault);
  // Whether the instance's link to the store has a fault.
  [[nodiscard]] bool HasLinkFault(std::size_t index) const {
    return instances_.at(index).link->fault() != LinkFault::kNone;
  }
  // Each instance's link to the store carries this much; zero is no limit.
  void SetLinkRate(std::uint64_t bytes_per_s);
  // The configuration has this many routes beside those that are used, and each
  // call writes another version of it.
  void WriteLargeRoutes(std::size_t unused, Random& random);
  void SetStoreFault(StoreFault fault);
  // Cached reads of the store return the state of this long ago.
  void SetCacheLag(Duration lag);
  // All open connections to the store go silent for good; new ones work.
  void SilenceConnections();
  void ForgetHistory();
  // ExpireEntries removes the entries of all targets; RestoreEntries writes
  // those of running targets again.
  void ExpireEntries();
  void RestoreEntries();
  // Ends an outage with a copy of the store that is about `age` old. What the
  // operator and the targets wrote since is written again.
  void RestoreStore(Duration age);
  // Removes the entries of targets that have been replaced.
  void ExpireReplacedEntries();
  // Another writer leaves an entry that must not matter: one that cannot be
  // used, or one of an unknown service with the address of a target.
  void WriteOddEntry(Random& random);
  // Another writer leaves entries that name the addresses of one or of all
  // targets, or that have their keys.
  void ClaimAddresses(Random& random);
  void RemoveClaims();
  void CrashTarget(std::size_t index);
  void RestartTarget(std::size_t index);
  // Removes or writes the entry of one target that is alive.
  void ExpireEntry(std::size_t index);
  void RestoreEntry(std::size_t index);
  // A target that is alive loses its entry for some time.
  void LoseEntry(std::size_t index);
  // All open connections of one instance to the store are reset.
  void ResetConnections(std::size_t index);
  void FreezeTarget(std::size_t index);
  void ThawTarget(std::size_t index);
  void DrainTarget(std::size_t index);
  // Stops a drained target and starts a new one at its address.
  void ReplaceTarget(std::size_t index);
  void ChangeRoutes(Random& random);
  // Removes a route, or adds it again at the same address.
  void ToggleReturningRoute(std::size_t index, Random& random);
  // Asks for no new flows at the targets of a failure domain, and allows them
  // again.
  void EvacuateDomain(const std::string& domain);
  void EndEvacuation(const std::string& domain);
  // The operator writes the evacuations again that a restored store lacks, and
  // removes those that have ended.
  void RewriteEvacuations();
  // Requests at a target take `factor` times as long.
  void SlowTarget(std::size_t index, unsigned factor);
  // `factor` times as many clients open flows.
  void SetLoadFactor(unsigned factor);
  // Share of the packets from clients to instances that is lost.
  void SetLoss(unsigned percent);

  [[nodiscard]] std::size_t instances() const { return instances_.size(); }
  // Number of targets that faults may reach; they have the first indexes.
  [[nodiscard]] std::size_t targets() const;
  // Number of instances that are ready, not paused and not stopping.
  [[nodiscard]] std::size_t UsableInstances();
  [[nodiscard]] bool IsUsable(std::size_t index);
  // Number of other targets of the same service that serve and are not
  // draining.
  [[nodiscard]] std::size_t UsablePeersOf(std::size_t index) const;
  [[nodiscard]] bool IsUsableTarget(std::size_t index) const;
  [[nodiscard]] bool IsReturningRoutePresent(std::size_t index) const {
    return returning_.at(index).is_present;
  }
  // Whether each service has a target that all instances can use outside of
  // the failure domain, and no domain is evacuated.
  [[nodiscard]] bool CanEvacuate(const std::string& domain) const;
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] const SoakCounts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t seed() const { return options_.seed; }
  [[nodiscard]] Random& random() { return random_; }
  [[nodiscard]] Timer& timer() { return timer_; }

 private:
  struct Instance {
    std::unique_ptr<EdgeProcess> process;
    std::unique_ptr<TcpProxy> link;
    std::unique_ptr<ReadyCheck> check;
    bool paused = false;
    // Whether it was sent SIGTERM and SIGKILL, respectively.
    bool stopping = false;
    bool killed = false;
    // Whether it has ended and will be restarted shortly.
    bool is_restarting = false;
    // When its process last started or resumed, or its link fault last changed.
    TimePoint healthy_since;
    // When its process last started.
    TimePoint started;
  };
  struct Target {
    std::unique_ptr<SoakTarget> process;
    TimePoint drained;  // start of draining; unset before
  };
  struct Flow {
    std::unique_ptr<testing::FlowClient> client;
    bool non_idempotent = false;
    bool is_check = false;
    std::uint32_t attempts = 1;
    TimePoint began;
    // When the copies of the opening packet were sent to an instance.
    std::array<TimePoint, 3> openings{};
    // By instance: token of the last packet after the opening.
    std::map<std::size_t, FlowToken> tokens;
    // Source of the last reset.
    V4Endpoint reset_by;
  };
  struct SoakEvacuation {
    TimePoint acknowledged;
    // When the entry was last written to a restored store.
    TimePoint rewritten;
    // Instances that were undisturbed for so long that they know of it. They
    // must keep it when they are cut off.
    std::set<std::size_t> informed;
  };
  struct ClosedPort {
    std::uint16_t port = 0;
    TimePoint closed;
  };
  struct ExtraRoute {
    V4Endpoint address;
    TimePoint accepted;
  };

  // FlowTarget::Observer.
  void OnRun(TargetKey target, const std::string& request) override;
  void OnOpeningPacket(TargetKey target, const testing::FlowPacket& packet,
                       bool is_new) override;
  void OnOpened(TargetKey target, V4Endpoint client) override;
  void OnUnknownFlow(TargetKey target,
                     const testing::FlowPacket& packet) override;

  void AddInstance(std::size_t index);
  void AddTarget(std::size_t index);
  [[nodiscard]] static std::string SpecOf(const TargetRecord& record);
  void WriteEntry(const SoakTarget& target);
  // Writes one of the entries of ClaimAddresses.
  void WriteClaim(const SoakTarget& target, Random& random);
  // Whether the store has the target's own entry.
  [[nodiscard]] bool HasEntry(const SoakTarget& target) const;
  // Removes the entries that have the key of a target: without the target's own
  // entry, nothing tells that they are another writer's.
  void RemoveNameClaims();
  // Writes the routes as a new version.
  void WriteRoutes(Random& random);
  void PutRoutes();
  void StartInstance(std::size_t index);
  void MonitorProcesses();
  void CheckExit(std::size_t index);

  void GenerateLoad();
  // Opens flows on the routes that are removed and added again.
  void GenerateReturningLoad();
  void OpenRandomFlow(Random& random);
  // Adds a flow from a new client; it is not started.
  Flow& AddFlow(testing::FlowPlan plan, testing::SendBytes send,
                testing::FlowClient::Done done);
  void OpenFlow(testing::FlowPlan plan, bool non_idempotent,
                std::uint32_t attempts);
  void OnFlowOver(const testing::FlowClient& client);
  void CheckOutcome(const Flow& flow);
  // Whether the flow is split, and the target that the client addresses has
  // crashed. Precondition: `holder` holds the flow.
  [[nodiscard]] bool IsResetExpected(const Flow& flow, TargetKey holder);
  void Retry(const Flow& flow);
  void Route(std::span<const std::byte> packet);
  // Returns the instances to which the fabric sends packets.
  const std::vector<std::size_t>& Rotation();
  void SendTo(std::size_t index, std::span<const std::byte> packet);
  void ReadClients();

  // Verifies on each healthy instance that recent route changes are applied.
  void CheckRoutes();
  void CheckRoute(std::size_t index, V4Endpoint route,
                  testing::FlowOutcome forbidden);
  // Whether the flow's route has been known to all instances since it began.
  [[nodiscard]] bool IsRouteInForce(const Flow& flow) const;
  // Verifies that a flow whose route was removed was reset in time, if no fault
  // can have prevented that.
  void CheckRemovedRoute(const Flow& flow);
  // Whether an instance that was disconnected from the store may not have known
  // the latest target changes when the flow began.
  [[nodiscard]] bool MayUseStaleView(const Flow& flow) const;
  // Targets confirm their entries while their domain is evacuated or they are
  // cold; at other times entries do not change.
  void ConfirmEntries();
  void SetCold(SoakTarget& target, bool is_new);
  [[nodiscard]] static bool IsLimited(const SoakTarget& target);
  // Returns the instance that sends from this address, if there is one.
  [[nodiscard]] std::optional<std::size_t> InstanceAt(V4Endpoint address) const;
  // Whether an instance was undisturbed since some time before a client sent.
  [[nodiscard]] bool WasUndisturbed(std::size_t index, TimePoint sent);
  // Notes which instances know of the evacuations.
  void ObserveEvacuations();
  // A new process of an instance does not know what the last one knew.
  void OnProcessStart(std::size_t index);
  void CheckEvacuation(const SoakTarget& target, TimePoint sent);
  void CheckRemoval(const SoakTarget& target, TimePoint sent);
  // Writes the entries again that living targets have lost.
  void RegainEntries();
  void CheckColdLimit(const SoakTarget& target, TimePoint sent);
  // Whether all instances can place new flows at the target, those of a view
  // that is as old as the bounds allow included.
  [[nodiscard]] bool IsAvailable(const SoakTarget& target) const;
  [[nodiscard]] bool HasAvailableTarget(const std::string& service,
                                        const std::string& excluded) const;
  void ObserveServices();
  // Whether the flow's service lacked available targets during the flow.
  [[nodiscard]] bool WasUnserved(const Flow& flow);
  // Returns a client whose port was not in use for a while, or never.
  [[nodiscard]] V4Endpoint NextClient();
  [[nodiscard]] bool IsHealthyFor(std::size_t index, Duration span);
  // Records that an unplanned fault starts or ends now.
  void RecordFault();
  void AddViolation(const std::string& text);
  [[nodiscard]] SoakTarget* Find(TargetKey key);
  [[nodiscard]] V4Endpoint Address(unsigned group, std::size_t index,
                                   std::uint16_t port) const;
  // Returns an address at which no target is.
  [[nodiscard]] V4Endpoint UnusedTargetAddress() const;

  SoakOptions options_;
  boost::asio::io_context context_{1};
  SystemClock clock_;
  AsioTimer timer_{context_};
  SeededRandom random_;
  TimePoint start_;
  std::unique_ptr<StoreStandin> store_;
  std::vector<Instance> instances_;
  std::vector<Target> targets_;
  // Targets that were replaced.
  std::vector<std::unique_ptr<SoakTarget>> retired_;
  // When the set of targets last changed.
  TimePoint targets_changed_;
  std::uint64_t last_key_ = 0x1000;
  // Names of the entries of ClaimAddresses.
  std::vector<std::string> claims_;
  std::uint64_t last_claim_ = 0x900000;

  boost::asio::ip::udp::socket clients_socket_{context_};
  boost::asio::ip::udp::endpoint from_;
  std::array<std::byte, 2048> buffer_{};
  // By client endpoint.
  std::map<std::uint64_t, Flow> flows_;
  std::uint16_t next_port_ = 2000;
  // Ports of flows that are over, the first one first.
  std::deque<ClosedPort> closed_ports_;
  std::uint64_t next_flow_ = 0;
  std::uint32_t opened_flows_ = 0;
  bool load_running_ = false;
  // Flows that start later must be answered at their first attempt.
  TimePoint all_answered_from_ = TimePoint::max();
  unsigned loss_percent_ = 0;
  unsigned load_factor_ = 1;
  // Source of the clients beyond the usual ones, so that a burst does not
  // change the faults of a seed.
  SeededRandom burst_random_;

  // Version of the route configuration.
  std::uint64_t version_ = 0;
  std::uint32_t extra_routes_ = 0;
  // The routes of WriteLargeRoutes.
  std::string unused_routes_;
  std::deque<ExtraRoute> added_;
  std::deque<ExtraRoute> removed_;
  ReturningRoutes returning_;
  SeededRandom returning_random_;

  // By failure domain: evacuations in force, and the ends of others.
  std::map<std::string, SoakEvacuation> evacuations_;
  std::map<std::string, TimePoint> evacuation_ended_;
  // By service: when it last lacked available targets.
  std::map<std::string, TimePoint> unserved_at_;
  // When opening packets were sent that created flows at a cold target.
  std::map<TargetKey, std::multiset<TimePoint>> cold_flows_;
  // By target: the instances that knew of the last evacuation of its domain.
  std::map<TargetKey, std::set<std::size_t>> informed_of_end_;

  // When the store fault last changed.
  TimePoint store_healthy_since_;
  StoreFault store_fault_ = StoreFault::kNone;
  // Start or end of the last unplanned fault.
  TimePoint last_fault_;
  unsigned open_faults_ = 0;

  std::map<std::string, int> runs_;
  std::set<std::string> non_idempotent_flows_;
  std::map<std::uint64_t, TargetKey> opened_;
  std::map<std::uint64_t, Incarnation> incarnation_of_;
  // Opening packets that targets have handled, and flows whose packets may
  // reach one of these targets after another one has opened the flow: see
  // docs/soak.md.
  std::map<std::uint64_t, std::vector<OpeningReceipt>> opening_receipts_;
  std::set<std::uint64_t> split_flows_;
  // When the set of instances in rotation last changed, or an instance started:
  // flows may then reach an instance that has not seen them before.
  TimePoint rotation_changed_;
  std::vector<std::size_t> rotation_;
  std::vector<std::string> violations_;
  SoakCounts counts_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_WORLD_H_
