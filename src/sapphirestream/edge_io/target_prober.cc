#include "sapphirestream/edge_io/target_prober.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace sapphirestream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

ProbeOutcome OutcomeOf(const error_code& error) {
  if (!error) return ProbeOutcome::kAccepted;
  if (error == asio::error::connection_refused ||
      error == asio::error::connection_reset) {
    return ProbeOutcome::kRefused;
  }
  const bool is_timeout = error == asio::error::timed_out ||
                          error == asio::error::host_unreachable ||
                          error == asio::error::network_unreachable;
  return is_timeout ? ProbeOutcome::kSilent : ProbeOutcome::kFailed;
}

tcp::endpoint ToTcp(V4Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace

// A probe in progress; kept alive by its pending operations.
class TargetProber::Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(asio::io_context& context, Done done)
      : context_(context), timer_(context), done_(std::move(done)) {}
  virtual ~Attempt() = default;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  // Connects to the control target as well: without an answer from it, an
  // unanswered probe says nothing about the probed target.
  void ConnectToControl(const std::optional<V4Endpoint>& control) {
    if (!control) return;
    control_sockets_.reserve(kConnections);
    for (unsigned i = 0; i < kConnections; ++i) {
      control_sockets_.emplace_back(context_).async_connect(
          ToTcp(*control),
          [this, self = shared_from_this()](const error_code& error) {
            if (!is_over()) OnControl(OutcomeOf(error));
          });
    }
  }

 protected:
  // Ends the attempt after `time`. Another call replaces the timeout.
  void SetTimeout(std::chrono::milliseconds time) {
    timer_.expires_after(time);
    timer_.async_wait(
        [self = shared_from_this(), time](const error_code& error) {
          if (!error) self->OnTimer(time);
        });
  }

  void Finish(ProbeOutcome outcome) {
    if (!done_) return;
    const Done done = std::exchange(done_, nullptr);
    timer_.cancel();
    CloseSockets();
    const bool needs_control = outcome == ProbeOutcome::kSilent &&
                               !control_sockets_.empty() && !control_answered_;
    control_sockets_.clear();
    done({.outcome = needs_control ? ProbeOutcome::kFailed : outcome,
          .begun = begun_,
          .answered_by = answered_by_,
          .answered_name = std::move(answered_name_)});
  }

  [[nodiscard]] bool is_over() const noexcept { return !done_; }
  void SetAnsweredBy(TargetKey key, std::string_view name) {
    answered_by_ = key;
    answered_name_ = name;
  }
  // Returns the outcome if the timeout expires.
  [[nodiscard]] virtual ProbeOutcome OutcomeOnTimeout() const noexcept = 0;
  virtual void CloseSockets() = 0;

 private:
  void OnControl(ProbeOutcome outcome) {
    control_answered_ |=
        outcome == ProbeOutcome::kAccepted || outcome == ProbeOutcome::kRefused;
  }

  void OnTimer(std::chrono::milliseconds time) {
    if (std::chrono::steady_clock::now() - timer_.expiry() >=
        kTimerLatenessLimit) {
      SetTimeout(time);
      return;
    }
    // Lets completed connection attempts be reported first.
    asio::post(context_, [self = shared_from_this()] {
      self->Finish(self->OutcomeOnTimeout());
    });
  }

  asio::io_context& context_;
  asio::steady_timer timer_;
  Done done_;
  std::vector<tcp::socket> control_sockets_;
  bool control_answered_ = false;
  TargetKey answered_by_{};
  std::string answered_name_;
  TimePoint begun_ = std::chrono::steady_clock::now();
};

class TargetProber::ConnectionAttempt final : public Attempt {
 public:
  ConnectionAttempt(asio::io_context& context, Done done)
      : Attempt(context, std::move(done)) {
    sockets_.reserve(kConnections);
    for (unsigned i = 0; i < kConnections; ++i) sockets_.emplace_back(context);
  }

  void Start(const tcp::endpoint& target) {
    for (tcp::socket& socket : sockets_) {
      socket.async_connect(
          target, [this, self = shared_from_this()](const error_code& error) {
            if (!is_over()) OnConnect(OutcomeOf(error));
          });
    }
    SetTimeout(kConnectTimeout);
  }

 private:
  void OnConnect(ProbeOutcome outcome) {
    ++completed_;
    // A refused attempt is more significant than an unanswered one.
    if (failure_ != ProbeOutcome::kRefused) failure_ = outcome;
    if (outcome == ProbeOutcome::kAccepted || completed_ == sockets_.size()) {
      Finish(outcome == ProbeOutcome::kAccepted ? outcome : failure_);
    }
  }

  [[nodiscard]] ProbeOutcome OutcomeOnTimeout() const noexcept override {
    return failure_ == ProbeOutcome::kRefused ? failure_
                                              : ProbeOutcome::kSilent;
  }

  void CloseSockets() override {
    for (tcp::socket& socket : sockets_) {
      error_code ignored;  // closing ends the operation in any case
      socket.close(ignored);
    }
  }

  std::vector<tcp::socket> sockets_;
  std::size_t completed_ = 0;
  ProbeOutcome failure_ = ProbeOutcome::kSilent;
};

class TargetProber::IdentityAttempt final : public Attempt {
 public:
  IdentityAttempt(asio::io_context& context, const TargetProber& prober,
                  const ProbeRequest& probe, Done done)
      : Attempt(context, std::move(done)),
        socket_(context),
        key_(probe.target),
        identity_field_(prober.identity_field_),
        key_of_(prober.key_of_) {
    constexpr unsigned http11 = 11;
    request_ = {http::verb::get, std::string(probe.health_path), http11};
    request_.set(http::field::host, ToString(probe.address));
    request_.set(http::field::connection, "close");
  }

  void Start(const tcp::endpoint& target) {
    socket_.async_connect(
        target, [this, self = shared_from_this()](const error_code& error) {
          if (is_over()) return;
          if (error || request_.target().empty()) {
            Finish(OutcomeOf(error));
          } else {
            SendRequest();
          }
        });
    SetTimeout(kConnectTimeout);
  }

 private:
  void SendRequest() {
    connected_ = true;
    SetTimeout(kResponseTimeout);
    http::async_write(socket_, request_,
                      [this, self = shared_from_this()](const error_code& error,
                                                        std::size_t /*size*/) {
                        if (is_over()) return;
                        if (error) {
                          Finish(ProbeOutcome::kFailed);
                        } else {
                          ReadResponse();
                        }
                      });
  }

  void ReadResponse() {
    http::async_read_header(
        socket_, buffer_, parser_,
        [this, self = shared_from_this()](const error_code& error,
                                          std::size_t /*size*/) {
          if (is_over()) return;
          Finish(error ? ProbeOutcome::kFailed : OutcomeOfResponse());
        });
  }

  [[nodiscard]] ProbeOutcome OutcomeOfResponse() {
    const auto& fields = parser_.get();
    const auto it = fields.find(identity_field_);
    // A response without the field is assumed to come from the target.
    if (it == fields.end()) return ProbeOutcome::kAccepted;
    const std::string_view name(it->value().data(), it->value().size());
    const auto key = key_of_(name);
    if (key) SetAnsweredBy(*key, name);
    return key == key_ ? ProbeOutcome::kAccepted : ProbeOutcome::kStranger;
  }

  // A target that is busy for a long time still accepts connections.
  [[nodiscard]] ProbeOutcome OutcomeOnTimeout() const noexcept override {
    return connected_ ? ProbeOutcome::kAccepted : ProbeOutcome::kSilent;
  }

  void CloseSockets() override {
    error_code ignored;  // closing ends the operation in any case
    socket_.close(ignored);
  }

  tcp::socket socket_;
  TargetKey key_;
  std::string identity_field_;
  KeyOf key_of_;
  http::request<http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::empty_body> parser_;
  bool connected_ = false;
};

void TargetProber::Probe(const ProbeRequest& probe, Done done) {
  const tcp::endpoint target = ToTcp(probe.address);
  switch (probe.kind) {
    case ProbeKind::kConnection: {
      const auto attempt =
          std::make_shared<ConnectionAttempt>(context_, std::move(done));
      attempt->Start(target);
      attempt->ConnectToControl(probe.control);
      return;
    }
    case ProbeKind::kIdentity: {
      const auto attempt = std::make_shared<IdentityAttempt>(
          context_, *this, probe, std::move(done));
      attempt->Start(target);
      attempt->ConnectToControl(probe.control);
      return;
    }
  }
}

}  // namespace sapphirestream
