// One persistent HTTP connection to the object API; calls queue on it.
#ifndef SAPPHIRESTREAM_STORE_HTTP_CHANNEL_H_
#define SAPPHIRESTREAM_STORE_HTTP_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sapphirestream/base/clock.h"

namespace sapphirestream::internal {

enum class HttpOutcome : std::uint8_t {
  kAnswered,
  kNotSent,   // no byte of the request left; it did not take effect
  kBroken,    // the connection failed or the answer was refused after sending
  kTimedOut,  // the deadline passed after sending
};

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kNotSent;
  unsigned status = 0;
  std::string etag;
  std::string body;
};

class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Done = std::function<void(HttpReply)>;

  HttpChannel(boost::asio::io_context& context,
              boost::asio::ip::tcp::endpoint server);

  // Sends a request when the earlier ones have ended. The deadline counts from
  // now and includes the time in the queue.
  void Call(Request request, Duration deadline, Done done);
  // Drops all calls without calling back; later calls are dropped too.
  void Close();

 private:
  struct Pending {
    explicit Pending(boost::asio::io_context& context) : timer(context) {}
    Request request;
    Done done;
    boost::asio::steady_timer timer;
    bool timed_out = false;
    bool sending = false;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void StartNext();
  void Connect();
  void Write();
  void Read();
  void OnDeadline(const PendingPtr& pending);
  void Finish(HttpReply reply);
  // Reports the failure of the current call's connection.
  void FinishBroken();
  // Whether the idle connection was closed by the server meanwhile.
  [[nodiscard]] bool IsStale();
  void CloseSocket();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  std::deque<PendingPtr> queue_;
  PendingPtr current_;
  bool closed_ = false;
};

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_STORE_HTTP_CHANNEL_H_
