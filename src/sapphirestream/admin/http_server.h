// The HTTP server of the operators' interface: bounded bodies, connections and
// times, no routing.
#ifndef SAPPHIRESTREAM_ADMIN_HTTP_SERVER_H_
#define SAPPHIRESTREAM_ADMIN_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sapphirestream/admin/http_message.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"

namespace sapphirestream {

class HttpServer {
 public:
  // Largest request body; the largest valid change is below 128 KiB.
  static constexpr std::size_t kMaxBodySize = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxHeaderSize = std::size_t{8} * 1024;
  // Connections served at the same time; more are closed at once.
  static constexpr std::size_t kMaxConnections = 64;

  // Must call `reply` exactly once, at once or later.
  using Reply = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Reply)>;

  // Listens on `local`. Errors: kInternal if it cannot.
  [[nodiscard]] static leaf::result<std::unique_ptr<HttpServer>> Open(
      boost::asio::io_context& io, const Endpoint& local, Handler handler);

  // The bound endpoint.
  [[nodiscard]] Endpoint local() const;

 private:
  class Session;

  HttpServer(boost::asio::ip::tcp::acceptor acceptor, Handler handler)
      : acceptor_(std::move(acceptor)), handler_(std::move(handler)) {}
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  // Shared with sessions, which may outlive the server.
  std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_ADMIN_HTTP_SERVER_H_
