// HTTP server of the operator API, with limits on body size, connections and
// time. Does not route requests.
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
  // Maximum request body size; the largest valid change is below 128 KiB.
  static constexpr std::size_t kMaxBodySize = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxHeaderSize = std::size_t{8} * 1024;
  // Default limit of concurrent connections.
  static constexpr std::size_t kMaxConnections = 64;

  // A handler must call `reply` exactly once, immediately or later.
  using Reply = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Reply)>;

  // Listens on `local`. Connections beyond `max_connections` are closed
  // immediately. Errors: kInternal if it cannot listen.
  [[nodiscard]] static leaf::result<std::unique_ptr<HttpServer>> Open(
      boost::asio::io_context& io, const Endpoint& local, Handler handler,
      std::size_t max_connections = kMaxConnections);

  // The bound endpoint, with the actual port if port 0 was requested.
  [[nodiscard]] Endpoint local() const;

 private:
  class Session;

  HttpServer(boost::asio::ip::tcp::acceptor acceptor, Handler handler,
             std::size_t max_connections)
      : acceptor_(std::move(acceptor)),
        handler_(std::move(handler)),
        max_connections_(max_connections) {}
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::size_t max_connections_;
  // Open connections; shared with sessions, which may outlive the server.
  std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_ADMIN_HTTP_SERVER_H_
