// Persistent HTTP connection to the object API that processes queued calls one
// at a time. A call fails if its reply does not begin in time, or if the
// connection goes silent while it arrives.
#ifndef SAPPHIRESTREAM_STORE_HTTP_CHANNEL_H_
#define SAPPHIRESTREAM_STORE_HTTP_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/store_revision.h"
#include "sapphirestream/store/call_limits.h"
#include "sapphirestream/store/object_store.h"

namespace sapphirestream::internal {

enum class HttpOutcome : std::uint8_t {
  kAnswered,
  kNotSent,           // nothing was sent, so the request had no effect
  kConnectionFailed,  // connection error or invalid response after sending, or
                      // the connection went silent during the reply
  kTimedOut,          // no reply began before the deadline
  kTooLarge,          // the reply exceeds the limit
};

// Limit of a reply that contains several values: a page of a list may hold one
// of the largest size beside others, and a reply to a watch several versions of
// an object.
inline constexpr std::size_t kMaxListBytes = 4 * kMaxValueBytes;

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kNotSent;
  unsigned status = 0;
  std::string etag;
  // From the header field that names the era; kUnknownEra without one.
  StoreEra era = kUnknownEra;
  // Whether an earlier call was answered on the same connection.
  bool was_reused = false;
  std::string body;
};

class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Done = std::function<void(HttpReply)>;

  // `max_reply_bytes`: limit of a reply's body. `era_field`: header field of
  // replies that contains the era of the store; empty if the server has none.
  HttpChannel(boost::asio::io_context& context,
              boost::asio::ip::tcp::endpoint server,
              std::size_t max_reply_bytes, std::string_view era_field = {});

  // Time after which an attempt to connect is repeated, within the deadline of
  // the call. The opening packet may have been lost in a partition, and the
  // kernel repeats it after 1 s and more.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
  // Longest time without a byte of a reply that has begun to arrive.
  static constexpr Duration kMaxSilence = std::chrono::seconds(1);
  // Longest time in which a reply arrives.
  static constexpr Duration kMaxReplyTime = std::chrono::seconds(10);

  // Queues a request. The deadline starts now and includes the time in the
  // queue.
  void Call(Request request, const CallLimits& limits, Done done);
  // Drops all pending calls without invoking their callbacks. Later calls do
  // not wait for a response to a dropped one.
  void Cancel();
  // Drops all pending and later calls without invoking their callbacks.
  void Close();
  // Whether the reply to a call has begun to arrive, and has not ended yet.
  [[nodiscard]] bool IsReceiving() const noexcept {
    return current_ && current_->reply_began != TimePoint{};
  }

 private:
  struct Pending {
    explicit Pending(boost::asio::io_context& context) : timer(context) {}
    Request request;
    std::size_t max_bytes = 0;
    Done done;
    // Expires at the deadline, or when the reply that arrives has been silent
    // for too long.
    boost::asio::steady_timer timer;
    // When the first byte of the reply arrived; unset before.
    TimePoint reply_began{};
    bool timed_out = false;
    bool sending = false;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void CancelQueued();
  void StartNext();
  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void OnConnectTimeout();
  void Write();
  void Read();
  void ReadSome();
  // Bytes of the reply have arrived.
  void OnReplyProgress();
  void FinishAnswered();
  void ArmTimer(const PendingPtr& pending, Duration time);
  void OnDeadline(const PendingPtr& pending);
  void Finish(HttpReply reply);
  // Finishes the current call after its connection failed, its deadline passed
  // or its reply was too large.
  void FinishFailed(const boost::system::error_code& error);
  [[nodiscard]] HttpOutcome OutcomeOfFailure(
      const boost::system::error_code& error) const;
  // Whether the server has closed the idle connection.
  [[nodiscard]] bool IsStale();
  void CloseSocket();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::endpoint server_;
  std::size_t max_reply_bytes_;
  std::string era_field_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  bool is_connecting_ = false;
  // Whether the attempt to connect was given up and has to be repeated.
  bool is_connect_late_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  std::deque<PendingPtr> queue_;
  PendingPtr current_;
  // Whether the open connection has answered a call.
  bool has_answered_ = false;
  bool closed_ = false;
};

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_STORE_HTTP_CHANNEL_H_
