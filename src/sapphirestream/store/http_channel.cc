// Sequential processing of queued calls: connect, write, read.
#include "sapphirestream/store/http_channel.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace sapphirestream::internal {
namespace {

// Detects a peer that lost power or its connection state and therefore answers
// no probe. The connection fails after the idle time plus all probes, 3 s.
void EnableKeepAlive(boost::asio::ip::tcp::socket& socket) {
  constexpr int idle_seconds = 1;
  constexpr int interval_seconds = 1;
  constexpr int probes = 2;
  using boost::asio::detail::socket_option::integer;
  boost::system::error_code ignored;  // the deadline of the call still applies
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(idle_seconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(interval_seconds),
                    ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(probes), ignored);
}

StoreEra ParseEra(std::string_view text) noexcept {
  std::uint64_t era = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), era);
  const bool is_valid =
      error == std::errc{} && end == text.data() + text.size();
  return is_valid ? StoreEra{era} : kUnknownEra;
}

}  // namespace

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpChannel::HttpChannel(asio::io_context& context,
                         asio::ip::tcp::endpoint server,
                         std::size_t max_reply_bytes,
                         std::string_view era_field)
    : context_(context),
      server_(std::move(server)),
      max_reply_bytes_(max_reply_bytes),
      era_field_(era_field),
      socket_(context),
      connect_timer_(context) {}

void HttpChannel::Call(Request request, const CallLimits& limits, Done done) {
  if (closed_) return;
  auto pending = std::make_shared<Pending>(context_);
  pending->request = std::move(request);
  pending->max_bytes = std::min(limits.max_bytes, max_reply_bytes_);
  pending->done = std::move(done);
  ArmTimer(pending, limits.deadline);
  queue_.push_back(std::move(pending));
  // Posted, so that `done` is never invoked from within this function.
  asio::post(context_, [self = shared_from_this()] { self->StartNext(); });
}

void HttpChannel::ArmTimer(const PendingPtr& pending, Duration time) {
  pending->timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(time));
  pending->timer.async_wait(
      [self = shared_from_this(), pending](const error_code& error) {
        if (!error) self->OnDeadline(pending);
      });
}

void HttpChannel::Cancel() {
  CancelQueued();
  if (!current_) return;
  // The pending operation fails, and its handler starts the next call.
  current_->done = [](const HttpReply&) {};
  current_->timed_out = true;
  current_->reply_began = {};
  CloseSocket();
}

void HttpChannel::CancelQueued() {
  for (const PendingPtr& pending : queue_) pending->timer.cancel();
  queue_.clear();
}

void HttpChannel::Close() {
  closed_ = true;
  CancelQueued();
  if (current_) current_->timer.cancel();
  connect_timer_.cancel();
  CloseSocket();
}

void HttpChannel::StartNext() {
  if (closed_ || current_ || queue_.empty()) return;
  current_ = std::move(queue_.front());
  queue_.pop_front();
  if (socket_.is_open() && IsStale()) CloseSocket();
  if (socket_.is_open()) {
    Write();
  } else {
    Connect();
  }
}

bool HttpChannel::IsStale() {
  error_code error;
  char byte = 0;
  socket_.non_blocking(true, error);
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                  error);
  // Unsolicited data makes the connection unusable too.
  return error != asio::error::would_block;
}

void HttpChannel::Connect() {
  has_answered_ = false;
  is_connecting_ = true;
  is_connect_late_ = false;
  connect_timer_.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(
          kConnectTimeout));
  connect_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error) self->OnConnectTimeout();
      });
  socket_.async_connect(server_,
                        [self = shared_from_this()](const error_code& error) {
                          if (!self->closed_) self->OnConnected(error);
                        });
}

void HttpChannel::OnConnectTimeout() {
  if (closed_ || !is_connecting_) return;
  is_connect_late_ = true;
  CloseSocket();
}

void HttpChannel::OnConnected(const error_code& error) {
  connect_timer_.cancel();
  is_connecting_ = false;
  if (error && is_connect_late_ && !current_->timed_out) return Connect();
  if (error || current_->timed_out) return FinishFailed(error);
  error_code ignored;  // works without it, with more delay
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableKeepAlive(socket_);
  Write();
}

void HttpChannel::Write() {
  current_->sending = true;
  http::async_write(
      socket_, current_->request,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->closed_) return;
        if (error) {
          self->FinishFailed(error);
        } else {
          self->Read();
        }
      });
}

void HttpChannel::Read() {
  parser_.emplace();
  parser_->body_limit(current_->max_bytes);
  ReadSome();
}

void HttpChannel::ReadSome() {
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->closed_) return;
        if (error) return self->FinishFailed(error);
        if (self->parser_->is_done()) return self->FinishAnswered();
        self->OnReplyProgress();
        self->ReadSome();
      });
}

void HttpChannel::OnReplyProgress() {
  const TimePoint now = asio::steady_timer::clock_type::now();
  if (current_->reply_began == TimePoint{}) current_->reply_began = now;
  const Duration left = current_->reply_began + kMaxReplyTime - now;
  if (!current_->timed_out) ArmTimer(current_, std::min(kMaxSilence, left));
}

void HttpChannel::FinishAnswered() {
  auto& message = parser_->get();
  HttpReply reply;
  reply.outcome = HttpOutcome::kAnswered;
  reply.status = message.result_int();
  reply.etag = std::string(message[http::field::etag]);
  reply.era = ParseEra(message[era_field_]);
  reply.body = std::move(message.body());
  if (!message.keep_alive()) CloseSocket();
  Finish(std::move(reply));
}

void HttpChannel::OnDeadline(const PendingPtr& pending) {
  pending->timed_out = true;
  if (pending == current_) {
    // The pending operation fails and its handler finishes the call.
    CloseSocket();
    return;
  }
  const auto it = std::find(queue_.begin(), queue_.end(), pending);
  if (it == queue_.end()) return;
  queue_.erase(it);
  pending->done(HttpReply{});
}

void HttpChannel::FinishFailed(const error_code& error) {
  CloseSocket();
  HttpReply reply;
  reply.outcome = OutcomeOfFailure(error);
  Finish(std::move(reply));
}

HttpOutcome HttpChannel::OutcomeOfFailure(const error_code& error) const {
  if (!current_->sending) return HttpOutcome::kNotSent;
  if (error == http::error::body_limit) return HttpOutcome::kTooLarge;
  const bool has_no_reply =
      current_->timed_out && current_->reply_began == TimePoint{};
  return has_no_reply ? HttpOutcome::kTimedOut : HttpOutcome::kConnectionFailed;
}

void HttpChannel::Finish(HttpReply reply) {
  reply.was_reused = has_answered_;
  has_answered_ = socket_.is_open();
  const PendingPtr finished = std::exchange(current_, nullptr);
  finished->timer.cancel();
  StartNext();
  finished->done(std::move(reply));
}

void HttpChannel::CloseSocket() {
  error_code ignored;
  socket_.close(ignored);
  buffer_.clear();
}

}  // namespace sapphirestream::internal
