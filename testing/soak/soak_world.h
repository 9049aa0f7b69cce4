// Everything around the instances that a soak runs: the store behind proxies,
// the router, targets and clients; checks what callers and targets see.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_WORLD_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_WORLD_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
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
#include "testing/soak/soak_target.h"
#include "testing/soak/store_standin.h"
#include "testing/soak/tcp_proxy.h"

namespace sapphirestream::soak {

// Routes that are always there; the first one's requests are idempotent.
inline constexpr V4Endpoint kFeed{0xc6120001, 8443};
inline constexpr V4Endpoint kOrders{0xc6120001, 8080};
inline constexpr V4Endpoint kPhotos{0xc6120002, 8443};
// Routes that come and go have the addresses after this one.
inline constexpr V4Endpoint kExtraRoutes{0xc6130000, 80};

struct SoakOptions {
  // The program under test.
  std::string program;
  std::filesystem::path folder;
  std::uint64_t seed = 1;
  // Time with faults; then all heals, and every request must be answered.
  std::chrono::seconds length{10};
  std::uint32_t instances = 4;
  // Second byte of the loopback addresses, so that soaks run side by side.
  std::uint8_t net = 0;
};

struct SoakCounts {
  std::uint64_t flows = 0;
  std::uint64_t answered = 0;
  std::uint64_t retried = 0;
  std::uint64_t given_up = 0;
  std::uint64_t config_checks = 0;
};

class SoakWorld final : public testing::FlowTarget::Observer {
 public:
  explicit SoakWorld(const SoakOptions& options);
  ~SoakWorld() override;
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  // Starts all processes and the load; returns when they serve. Throws
  // std::runtime_error if they do not in time.
  void Start();
  // Lets time pass.
  void RunFor(Duration span);
  // After it, each first try has to be answered.
  void ExpectService() { service_expected_from_ = clock_.Now(); }
  // Ends the load and the processes; checks how they end.
  void Stop();

  // Prints a line with the time since the start.
  void Note(const std::string& line);

  // Faults and changes.
  void StopInstance(std::size_t index);
  void KillInstance(std::size_t index);
  void PauseInstance(std::size_t index);
  void ResumeInstance(std::size_t index);
  void ReloadInstance(std::size_t index, bool with_signal);
  void SetLinkFault(std::size_t index, LinkFault fault);
  void SetStoreFault(StoreFault fault);
  void ForgetHistory();
  // All entries of targets vanish; Relist writes those of living ones again.
  void LapseEntries();
  void RelistEntries();
  void CrashTarget(std::size_t index);
  void RestartTarget(std::size_t index);
  void FreezeTarget(std::size_t index);
  void ThawTarget(std::size_t index);
  void DrainTarget(std::size_t index);
  // The drained target has ended; another one starts in its place.
  void ReplaceTarget(std::size_t index);
  void ChangeRoutes();
  // Of clients' packets on their way to instances.
  void SetLoss(unsigned percent);

  [[nodiscard]] std::size_t instances() const { return instances_.size(); }
  [[nodiscard]] std::size_t targets() const { return targets_.size(); }
  // Instances that run, are not paused and were not asked to stop.
  [[nodiscard]] std::size_t UsableInstances();
  [[nodiscard]] bool IsUsable(std::size_t index);
  // Targets of the same service as this one that serve and do not drain.
  [[nodiscard]] std::size_t UsablePeersOf(std::size_t index) const;
  [[nodiscard]] bool IsUsableTarget(std::size_t index) const;
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] const SoakCounts& counts() const { return counts_; }
  [[nodiscard]] Random& random() { return random_; }
  [[nodiscard]] Timer& timer() { return timer_; }

 private:
  struct Instance {
    std::unique_ptr<EdgeProcess> process;
    std::unique_ptr<TcpProxy> link;
    std::unique_ptr<ReadyCheck> check;
    bool paused = false;
    // Asked to stop, and killed.
    bool stopping = false;
    bool killed = false;
    // It ended and starts again shortly.
    bool is_restarting = false;
    // When it last was without a fault of its own: process, link.
    TimePoint healthy_since;
  };
  struct Target {
    std::unique_ptr<SoakTarget> process;
    TimePoint drained;  // unset while it does not drain
  };
  struct Flow {
    std::unique_ptr<testing::FlowClient> client;
    bool is_once = false;
    bool is_check = false;
    std::uint32_t tries = 1;
    TimePoint began;
  };
  struct ExtraRoute {
    V4Endpoint address;
    TimePoint accepted;
  };

  // FlowTarget::Observer.
  void OnRun(TargetKey target, const std::string& request) override;
  void OnOpeningReceived(TargetKey target, V4Endpoint client) override;
  void OnOpened(TargetKey target, V4Endpoint client) override;
  void OnUnknownFlow(TargetKey target,
                     const testing::FlowPacket& packet) override;

  void AddInstance(std::size_t index);
  void AddTarget(std::size_t index);
  [[nodiscard]] static std::string EntryName(TargetKey key);
  void WriteEntry(const SoakTarget& target);
  void WriteRoutes();
  void StartInstance(std::size_t index);
  void WatchProcesses();
  void CheckExit(std::size_t index);

  void GenerateLoad();
  // Adds a flow from a new client; it is not started.
  Flow& AddFlow(testing::FlowPlan plan, testing::SendBytes send,
                testing::FlowClient::Done done);
  void OpenFlow(testing::FlowPlan plan, bool is_once, std::uint32_t tries);
  void OnFlowOver(const testing::FlowClient& client);
  void CheckOutcome(const Flow& flow);
  void Retry(const Flow& flow);
  void Route(std::span<const std::byte> packet);
  // Instances that get packets, as the fabric chooses them.
  const std::vector<std::size_t>& Rotation();
  void SendTo(std::size_t index, std::span<const std::byte> packet);
  void ReadClients();

  // Opens a flow through one instance and reports its outcome.
  void CheckRoutes();
  void CheckRoute(std::size_t index, V4Endpoint route,
                  testing::FlowOutcome forbidden);
  // Whether an instance that was cut off from the store may have missed a
  // change of targets when the flow began.
  [[nodiscard]] bool MayMeetOldView(const Flow& flow) const;
  [[nodiscard]] V4Endpoint NextClient();
  [[nodiscard]] bool IsHealthyFor(std::size_t index, Duration span);
  // Takes note of an unplanned fault that begins or ends now.
  void Disturb();
  void Violate(const std::string& text);
  [[nodiscard]] SoakTarget* Find(TargetKey key);
  [[nodiscard]] V4Endpoint Address(unsigned group, std::size_t index,
                                   std::uint16_t port) const;

  SoakOptions options_;
  boost::asio::io_context context_{1};
  SystemClock clock_;
  AsioTimer timer_{context_};
  SeededRandom random_;
  TimePoint start_;
  std::unique_ptr<StoreStandin> store_;
  std::vector<Instance> instances_;
  std::vector<Target> targets_;
  // Ended for good.
  std::vector<std::unique_ptr<SoakTarget>> retired_;
  // When targets came or left.
  TimePoint targets_changed_;
  std::uint64_t last_key_ = 0x1000;

  boost::asio::ip::udp::socket clients_socket_{context_};
  boost::asio::ip::udp::endpoint from_;
  std::array<std::byte, 2048> buffer_{};
  // By the client's end.
  std::map<std::uint64_t, Flow> flows_;
  std::uint16_t next_port_ = 2000;
  std::uint64_t next_flow_ = 0;
  bool loading_ = false;
  // Flows that begin later have to be answered at their first try.
  TimePoint service_expected_from_ = TimePoint::max();
  unsigned loss_percent_ = 0;

  // Of the routes' configuration.
  std::uint64_t version_ = 0;
  std::uint32_t extra_routes_ = 0;
  std::deque<ExtraRoute> added_;
  std::deque<ExtraRoute> removed_;

  // When the store was last without a fault.
  TimePoint store_healthy_since_;
  StoreFault store_fault_ = StoreFault::kNone;
  // Beginning or end of the last unplanned fault.
  TimePoint disturbed_;
  unsigned open_faults_ = 0;

  std::map<std::string, int> runs_;
  std::set<std::string> once_;
  std::map<std::uint64_t, TargetKey> opened_;
  std::map<std::uint64_t, Incarnation> incarnation_of_;
  // Targets that got a flow's opening packet, and flows that may meet one of
  // them after another one opened them: see docs/soak.md.
  std::map<std::uint64_t, std::set<TargetKey>> offered_;
  std::set<std::uint64_t> torn_;
  // When the set of instances that get packets changed, or one of them
  // started: flows meet an instance that has not seen them.
  TimePoint rotation_changed_;
  std::vector<std::size_t> rotation_;
  std::vector<std::string> violations_;
  SoakCounts counts_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_WORLD_H_
