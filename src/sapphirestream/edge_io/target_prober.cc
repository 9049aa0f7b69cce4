#include "sapphirestream/edge_io/target_prober.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace sapphirestream {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// The connections of one probe; kept alive by their operations.
class TargetProber::Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(asio::io_context& context, Done done)
      : context_(context),
        timer_(context),
        done_(std::move(done)),
        begun_(std::chrono::steady_clock::now()) {}

  void Start(V4Endpoint address, unsigned connections) {
    const tcp::endpoint target(asio::ip::address_v4(address.address),
                               address.port);
    sockets_.reserve(connections);
    for (unsigned i = 0; i < connections; ++i) sockets_.emplace_back(context_);
    open_ = connections;
    for (tcp::socket& socket : sockets_) {
      socket.async_connect(
          target, [self = shared_from_this()](const error_code& error) {
            self->OnConnect(error);
          });
    }
    Wait(kTimeout);
  }

 private:
  void Wait(std::chrono::milliseconds time) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->OnTimer();
    });
  }

  void OnTimer() {
    if (std::chrono::steady_clock::now() - timer_.expiry() >= kLateTimer) {
      Wait(kTimeout);
      return;
    }
    // Connections that were accepted meanwhile are reported first.
    asio::post(context_, [self = shared_from_this()] {
      self->Finish(self->refused_ ? ProbeOutcome::kRefused
                                  : ProbeOutcome::kSilent);
    });
  }

  void OnConnect(const error_code& error) {
    if (!done_) return;
    --open_;
    if (!error) {
      Finish(ProbeOutcome::kAccepted);
      return;
    }
    if (error == asio::error::connection_refused ||
        error == asio::error::connection_reset) {
      refused_ = true;
    } else if (error != asio::error::timed_out &&
               error != asio::error::host_unreachable &&
               error != asio::error::network_unreachable) {
      failed_ = true;
    }
    if (open_ == 0) Finish(OutcomeOfErrors());
  }

  [[nodiscard]] ProbeOutcome OutcomeOfErrors() const noexcept {
    if (refused_) return ProbeOutcome::kRefused;
    return failed_ ? ProbeOutcome::kFailed : ProbeOutcome::kSilent;
  }

  void Finish(ProbeOutcome outcome) {
    if (!done_) return;
    const Done done = std::exchange(done_, nullptr);
    timer_.cancel();
    for (tcp::socket& socket : sockets_) {
      error_code ignored;  // closing ends the operation in any case
      socket.close(ignored);
    }
    done(outcome, begun_);
  }

  asio::io_context& context_;
  asio::steady_timer timer_;
  Done done_;
  TimePoint begun_;
  std::vector<tcp::socket> sockets_;
  unsigned open_ = 0;
  bool refused_ = false;
  bool failed_ = false;
};

void TargetProber::Probe(V4Endpoint address, unsigned connections, Done done) {
  std::make_shared<Attempt>(context_, std::move(done))
      ->Start(address, connections);
}

}  // namespace sapphirestream
