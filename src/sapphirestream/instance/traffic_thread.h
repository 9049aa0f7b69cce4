// A thread that receives encapsulated packets from the fabric in batches and
// forwards, redirects, escalates or drops each.
#ifndef SAPPHIRESTREAM_INSTANCE_TRAFFIC_THREAD_H_
#define SAPPHIRESTREAM_INSTANCE_TRAFFIC_THREAD_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <thread>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/flow/fast_path.h"
#include "sapphirestream/instance/datagram_batch.h"
#include "sapphirestream/instance/traffic_counters.h"
#include "sapphirestream/instance/traffic_queues.h"
#include "sapphirestream/instance/traffic_state.h"
#include "sapphirestream/instance/udp_socket.h"
#include "sapphirestream/instance/wakeup.h"
#include "sapphirestream/link/geneve.h"
#include "sapphirestream/link/inner_packet.h"
#include "sapphirestream/link/peer_datagram.h"

namespace sapphirestream {

class TrafficThread {
 public:
  struct Options {
    InstanceId self = kNoInstance;
    Incarnation incarnation{};
    PeerKey key{};
    // Index among the traffic threads, from 0. Its peer channel is index + 1.
    std::uint16_t index = 0;
    // Listen endpoint for packets from the fabric; shared by all threads.
    Endpoint data;
    // Source address of redirects; the system chooses the port.
    IpAddress peer_address;
    FastPath::Options fast_path;
  };
  // Objects shared with the control thread; must outlive this thread.
  struct Shared {
    const Clock& clock;
    const PublishedState& state;
    const Wakeup& wakeup;
    CounterSet& counters;
  };

  // Opens the sockets. Errors: kInternal.
  [[nodiscard]] static leaf::result<std::unique_ptr<TrafficThread>> Open(
      const Options& options, const Shared& shared);

  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  void Start();
  // Ends the thread after its current batch, within about 50 ms.
  void Stop();
  // Handles one batch, or returns after the receive timeout. Called by the
  // thread, and by tests that do not start it.
  void RunOnce();

  // Queues shared with the control thread.
  [[nodiscard]] TrafficQueues& queues() noexcept { return queues_; }
  // The bound endpoint for packets from the fabric.
  [[nodiscard]] Endpoint data_endpoint() const noexcept {
    return data_.local();
  }

 private:
  TrafficThread(const Options& options, const Shared& shared, UdpSocket data,
                UdpSocket peer);

  void ApplyCommands(TimePoint now);
  void OnDatagram(std::span<std::byte> datagram, const TrafficState& state,
                  TimePoint now);
  void DecideAndForward(std::span<std::byte> inner, const InnerPacket& parsed,
                        const ServiceView& service, const TrafficState& state,
                        TimePoint now);
  void Forward(std::span<std::byte> inner, TargetId target,
               const ServiceView& service);
  void Escalate(std::span<const std::byte> inner, ServiceId service,
                bool repeated);
  void SendRedirect(std::span<const std::byte> inner, const Verdict& verdict,
                    ServiceId service, bool repeated,
                    const TrafficState& state);
  void FinishBatch();

  Options options_;
  const Clock& clock_;
  const Wakeup& wakeup_;
  PublishedState::Reader state_;
  TrafficCounters counters_;
  UdpSocket data_;
  UdpSocket peer_;
  PeerSealer sealer_;
  FastPath fast_path_;
  TrafficQueues queues_;
  ReceiveBatch received_;
  SendBatch forwarded_;
  std::vector<std::byte> peer_datagram_;
  bool must_notify_ = false;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TRAFFIC_THREAD_H_
