// A minimal single-threaded HTTP/1.1 server with asynchronous handlers.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_HTTP_SERVER_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "sapphirestream/base/endpoint.h"

namespace sapphirestream::standins {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
// Sends the response. Without one, closes the connection.
using HttpReply = std::function<void(std::optional<HttpResponse>)>;
// Must call the reply exactly once, immediately or later.
using HttpHandler = std::function<void(const HttpRequest&, HttpReply)>;

// Maximum body size; the object API stores values of up to 1 MB.
inline constexpr std::size_t kMaxBodyBytes = 1'000'000;
// Maximum number of concurrent connections; further ones are closed
// immediately.
inline constexpr std::size_t kMaxConnections = 1'000;

class HttpServer {
 public:
  // Listens on `endpoint`. Throws boost::system::system_error on failure.
  HttpServer(boost::asio::io_context& io, const Endpoint& endpoint,
             HttpHandler handler);

 private:
  class Session;
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  HttpHandler handler_;
  std::size_t connections_ = 0;
};

[[nodiscard]] HttpResponse MakeResponse(
    http::status status, std::string body,
    std::string_view content_type = "application/json");

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_HTTP_SERVER_H_
