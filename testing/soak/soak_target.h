// A target with real sockets: packets over UDP and an HTTP health check.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_TARGET_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_TARGET_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sapphirestream/admin/http_server.h"
#include "sapphirestream/edge/target_record.h"
#include "testing/flow_ends/flow_target.h"

namespace sapphirestream::soak {

// Returns the name of a target's entry in the store.
[[nodiscard]] std::string EntryName(TargetKey key);

class SoakTarget {
 public:
  using Udp = boost::asio::ip::udp;

  // Packets for clients are sent to `clients`. The references must outlive the
  // target.
  SoakTarget(boost::asio::io_context& context, const TargetRecord& record,
             const Udp::endpoint& clients, Timer& timer,
             testing::FlowTarget::Observer& observer);

  // Simulates the start of a new process, which has no flows. Throws if the
  // address is in use.
  void Start();
  // Simulates the end of the process; the address refuses connections.
  void Crash();
  // A frozen process handles pending packets and checks after Thaw().
  void Freeze() noexcept { frozen_ = true; }
  void Thaw();
  void Drain();
  // Requests take `factor` times as long, also after a restart.
  void SetSlowness(unsigned factor);
  // `is_new`: no instance has seen an entry of the target yet.
  void SetColdUntil(TimePoint time, bool is_new) noexcept {
    cold_until_ = time;
    was_always_cold_ = is_new;
  }

  // Since when its entry is missing although it is alive; unset if it is not.
  void SetUnlistedSince(TimePoint time) noexcept { unlisted_since_ = time; }
  [[nodiscard]] TimePoint unlisted_since() const noexcept {
    return unlisted_since_;
  }
  [[nodiscard]] bool is_unlisted() const noexcept {
    return unlisted_since_ != TimePoint{};
  }
  [[nodiscard]] const TargetRecord& record() const noexcept { return record_; }
  [[nodiscard]] bool is_running() const noexcept { return flows_ != nullptr; }
  [[nodiscard]] bool is_serving() const noexcept {
    return is_running() && !frozen_;
  }
  [[nodiscard]] bool Holds(V4Endpoint client) const {
    return flows_ && flows_->Holds(client);
  }
  // Whether its entry has shown that it is cold ever since there was one.
  [[nodiscard]] bool was_always_cold() const noexcept {
    return was_always_cold_;
  }
  [[nodiscard]] TimePoint cold_until() const noexcept { return cold_until_; }
  // Address of the instance whose datagram is being handled.
  [[nodiscard]] V4Endpoint sender() const noexcept { return sender_; }

 private:
  struct Datagram {
    V4Endpoint from;
    testing::Bytes bytes;
  };

  // Answers a health check, naming the target.
  void AnswerCheck(const HttpServer::Reply& reply) const;
  void Read();
  void Handle(const Datagram& datagram);

  boost::asio::io_context& context_;
  TargetRecord record_;
  Udp::endpoint clients_;
  Timer& timer_;
  testing::FlowTarget::Observer& observer_;
  bool frozen_ = false;
  unsigned slowness_ = 1;
  TimePoint cold_until_{};
  bool was_always_cold_ = false;
  TimePoint unlisted_since_{};
  std::vector<Datagram> queued_;
  std::vector<HttpServer::Reply> queued_checks_;
  V4Endpoint sender_;
  // Shared with the pending read, which may complete after a crash.
  std::shared_ptr<Udp::socket> socket_;
  Udp::endpoint from_;
  std::array<std::byte, 2048> buffer_{};
  std::unique_ptr<HttpServer> health_;
  std::unique_ptr<testing::FlowTarget> flows_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_TARGET_H_
