// An edge instance: connects EdgeSteering to sockets, store clients, timers and
// signals.
#ifndef SAPPHIRESTREAM_EDGE_IO_EDGE_INSTANCE_H_
#define SAPPHIRESTREAM_EDGE_IO_EDGE_INSTANCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/admin/http_server.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/drain_timer.h"
#include "sapphirestream/edge/edge_lifecycle.h"
#include "sapphirestream/edge/edge_steering.h"
#include "sapphirestream/edge/load_decisions.h"
#include "sapphirestream/edge/suspend_detector.h"
#include "sapphirestream/edge_io/edge_settings.h"
#include "sapphirestream/edge_io/edge_view.h"
#include "sapphirestream/edge_io/line_writer.h"
#include "sapphirestream/edge_io/load_report.h"
#include "sapphirestream/edge_io/packet_port.h"
#include "sapphirestream/edge_io/peer_link.h"
#include "sapphirestream/edge_io/target_prober.h"
#include "sapphirestream/store/asio_timer.h"
#include "sapphirestream/store/collection_checker.h"
#include "sapphirestream/store/collection_reader.h"
#include "sapphirestream/store/revision_clock.h"

namespace sapphirestream {

// Clients of the collections that an instance follows.
struct StoreClients {
  std::unique_ptr<CollectionClient<TargetRecord>> targets;
  std::unique_ptr<CollectionClient<RouteConfig>> routes;
  std::unique_ptr<CollectionClient<Evacuation>> evacuations;
};

// Platform-specific parts of an instance; implemented by the platform adapter.
class EdgePlatform {
 public:
  virtual ~EdgePlatform() = default;
  [[nodiscard]] virtual const PacketFormat& format() const noexcept = 0;
  // Each client has a connection of its own, so that a pending watch does not
  // block the calls of the others. A client makes no calls by itself.
  [[nodiscard]] virtual StoreClients MakeClients(
      boost::asio::io_context& context, const Endpoint& store,
      CounterSet& counters) const = 0;
  // The clients share a connection: if it is silent, one failed call replaces
  // it for all.
  [[nodiscard]] virtual StoreClients MakeCheckClients(
      boost::asio::io_context& context, const Endpoint& store,
      CounterSet& counters) const = 0;
  // Returns a function that maps the name of a target's entry to its key.
  [[nodiscard]] virtual EdgeView::KeyOf key_of() const noexcept = 0;
  // HTTP header field that identifies the target in a health check response.
  [[nodiscard]] virtual std::string_view identity_field() const noexcept = 0;
  // HTTP path of the readiness check.
  [[nodiscard]] virtual std::string_view ready_path() const noexcept = 0;
};

class EdgeInstance final : private EdgeSink {
 public:
  // Reads the settings again. Returns nothing if their text has not changed, or
  // if they are invalid; errors are logged.
  using ReadSettings = std::function<std::optional<EdgeSettings>()>;

  // The references must outlive the instance. Errors: kInternal if an address
  // cannot be opened.
  [[nodiscard]] static leaf::result<std::unique_ptr<EdgeInstance>> Open(
      const EdgeSettings& settings, const EdgePlatform& platform,
      const Clock& clock, LineWriter& lines, EventLog& log,
      ReadSettings read_settings);

  // Runs until the instance has stopped after a signal.
  void Run();

 private:
  EdgeInstance(const EdgeSettings& settings, const EdgePlatform& platform,
               const Clock& clock, LineWriter& lines, EventLog& log,
               ReadSettings read_settings);

  // EdgeSink.
  void Forward(TargetKey target, V4Endpoint address,
               std::span<const std::byte> packet,
               std::optional<FlowToken> token) override;
  void Reset(const ClientReset& reset) override;
  void Probe(const ProbeRequest& probe) override;
  void RefreshTargets() override;
  void ConfirmRoutes() override;

  leaf::result<void> OpenSockets();
  void StartReaders();
  // Reads evacuations as well, if the settings call for it.
  void StartEvacuationReader(const ReaderContext& shared);
  // Ends the backoff of all readers and starts the checks that are due.
  void RetryReaders();
  // Makes all readers replace a view from before an era.
  void RelistFor(StoreEra era);
  void OnPacket(const EdgePacket& packet);
  [[nodiscard]] ViewGaps GapsOfView() const;
  // Sets the steering timer to the next deadline of EdgeSteering.
  void ArmSteering();
  // Periodic tasks; run every kHousekeepingPeriod.
  void Housekeep();
  // Gives up the targets and evacuations that have not been written again, and
  // requests the reads that decide about the others.
  void ExpireEntries();
  void WatchSignals();
  void OnSignal(int number);
  void ReloadSettings(std::string_view cause);
  // Reads the view again if the process was paused.
  void CheckForSuspend();
  void RequestStop();
  void StopWhenDrained(TimePoint now);
  [[nodiscard]] HttpResponse HandleReadinessCheck(const HttpRequest& request);
  // Answers with the metrics, or with an explanation of a placement.
  [[nodiscard]] HttpResponse HandleOperatorRequest(const HttpRequest& request);
  [[nodiscard]] HttpResponse Explain(const HttpRequest& request);
  void OnViewChanged();
  // Updates the ages of the view, and starts the checks that are due.
  void CheckAges();

  boost::asio::io_context context_{1};
  EdgeSettings settings_;
  const EdgePlatform& platform_;
  const Clock& clock_;
  LineWriter& lines_;
  EventLog& log_;
  ReadSettings read_settings_;
  SeededRandom random_;
  CounterSet counters_;
  RouteTable routes_;
  TargetDirectory targets_;
  EdgeLog flow_log_;
  TierPlacer tier_placer_;
  // Null unless targets are judged by what their flows show.
  std::unique_ptr<LoadDecisions> load_;
  std::unique_ptr<LoadReport> load_report_;
  EdgeSteering steering_;
  EdgeView view_;
  EdgeLifecycle lifecycle_;
  TargetProber prober_;
  SuspendDetector suspend_detector_;
  DrainTimer drain_timer_;
  AsioTimer timer_;
  boost::asio::steady_timer steering_timer_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer initial_load_timer_;
  boost::asio::signal_set signals_;
  std::unique_ptr<PacketPort> port_;
  // Null unless observations are exchanged with other instances.
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  StoreClients clients_;
  StoreClients check_clients_;
  ProbeTurns probe_turns_;
  RevisionClock revision_clock_;
  std::unique_ptr<CollectionReader<TargetRecord>> target_reader_;
  std::unique_ptr<CollectionReader<RouteConfig>> route_reader_;
  // Null unless domains are evacuated here.
  std::unique_ptr<CollectionReader<Evacuation>> evacuation_reader_;
  std::unique_ptr<CollectionChecker> checker_;

  // Expiry of steering_timer_, if it is set.
  std::optional<TimePoint> armed_;
  TimePoint last_settings_check_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_EDGE_INSTANCE_H_
