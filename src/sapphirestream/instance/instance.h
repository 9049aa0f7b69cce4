// One instance: wires the modules together, owns the threads and runs the
// control loop.
#ifndef SAPPHIRESTREAM_INSTANCE_INSTANCE_H_
#define SAPPHIRESTREAM_INSTANCE_INSTANCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirestream/admin/http_server.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/domain/membership.h"
#include "sapphirestream/instance/config_service.h"
#include "sapphirestream/instance/domain_status_store.h"
#include "sapphirestream/instance/flow_dispatcher.h"
#include "sapphirestream/instance/instance_list.h"
#include "sapphirestream/instance/operator_api.h"
#include "sapphirestream/instance/peer_transport.h"
#include "sapphirestream/instance/settings.h"
#include "sapphirestream/instance/snapshot_publisher.h"
#include "sapphirestream/instance/target_report_receiver.h"
#include "sapphirestream/instance/traffic_thread.h"
#include "sapphirestream/store/asio_timer.h"
#include "sapphirestream/store/object_store.h"
#include "sapphirestream/target/scheduler_factory.h"

namespace sapphirestream {

class Instance final : private OperatorBackend,
                       private DomainSink,
                       private PacketOutput {
 public:
  // Interval at which timers are polled.
  static constexpr std::chrono::milliseconds kTick{10};

  // Creates the client of the platform's object store on the instance's event
  // loop.
  using StoreFactory =
      std::function<std::unique_ptr<ObjectStore>(boost::asio::io_context&)>;

  // Opens all sockets. Errors: kInternal. `clock` and `log` must outlive the
  // instance.
  [[nodiscard]] static leaf::result<std::unique_ptr<Instance>> Open(
      const Settings& settings, const Clock& clock, EventLog& log,
      const StoreFactory& make_store);
  ~Instance() override;

  // Runs the control loop until a stop has completed.
  void Run();
  // Starts a planned stop, as SIGTERM does: announces it, hands over the
  // records and keeps forwarding until the drain time has passed. A second
  // call ends Run immediately. Thread-safe.
  void RequestStop();

  // The bound endpoints, for tests that bind to port 0.
  [[nodiscard]] Endpoint http_endpoint() const { return http_->local(); }
  [[nodiscard]] Endpoint peer_endpoint() const { return peers_->local(); }
  [[nodiscard]] Endpoint data_endpoint() const {
    return threads_.front()->data_endpoint();
  }

 private:
  // Updated when metrics are read.
  struct Gauges {
    explicit Gauges(CounterSet& counters);
    Counter& owned;
    Counter& replicas;
    Counter& held;
    Counter& prepared;
    Counter& active;
  };

  Instance(const Settings& settings, const Clock& clock, EventLog& log,
           const StoreFactory& make_store);
  leaf::result<void> OpenSockets();

  // OperatorBackend (instance_report.cc).
  [[nodiscard]] std::shared_ptr<const Configuration> configuration()
      const override {
    return config_.newest();
  }
  [[nodiscard]] bool is_ready() const override;
  void Submit(const Change& change, ConfigWriter::Done done) override;
  void ReadStatus(std::function<void(boost::json::object)> done) override;
  [[nodiscard]] boost::json::object Dump() const override;
  [[nodiscard]] std::string Metrics() const override;

  // Status of this instance only.
  [[nodiscard]] boost::json::object LocalStatus() const;
  // Status of this instance's domain, from the heartbeats of its members.
  [[nodiscard]] DomainStatus LocalDomainStatus() const;
  void WriteStatus(TimePoint now);

  // DomainSink.
  void Send(InstanceId to, const DomainMessage& message) override;
  // PacketOutput.
  bool Send(const Endpoint& to, std::span<const std::byte> datagram) override;

  void ScheduleTick();
  void OnTick();
  void AwaitWakeup();
  void OnPeerMessage(InstanceId from, PeerMessage message);
  void OnConfiguration();
  void OnTargetReport(const TargetReport& report);
  void OnInstances(std::span<const InstanceListing> instances,
                   const InstanceList::Addresses& addresses);
  void UpdateMembers();
  void BeginStop();
  void FinishStopIfDue(TimePoint now);

  const Settings settings_;
  const Clock& clock_;
  EventLog& log_;
  CounterSet counters_;
  Gauges gauges_{counters_};
  SeededRandom random_;
  const Incarnation incarnation_;
  const TimePoint started_;

  boost::asio::io_context io_{1};
  boost::asio::steady_timer tick_;
  boost::asio::signal_set signals_;
  Wakeup wakeup_;
  boost::asio::posix::stream_descriptor wakeup_readable_;

  PublishedState state_;
  std::vector<std::unique_ptr<TrafficThread>> threads_;
  std::optional<UdpSocket> packets_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<TargetReportReceiver> report_receiver_;
  std::unique_ptr<HttpServer> http_;

  OperatorApi api_;
  std::unique_ptr<ObjectStore> store_;
  AsioTimer timer_;
  SchedulerFactory placers_;
  std::unique_ptr<FlowDispatcher> dispatcher_;
  std::unique_ptr<SnapshotPublisher> publisher_;
  Membership membership_;
  InstanceList list_;
  ConfigService config_;
  DomainStatusStore status_store_;
  // Last heartbeat of each member that sends them to this instance.
  std::map<InstanceId, Heartbeat> heartbeats_;
  std::uint64_t seen_revision_ = 0;
  std::optional<TimePoint> stop_began_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_INSTANCE_H_
