// Minimal HTTP server on an ephemeral loopback port. A handler of the test
// answers each request.
#ifndef SAPPHIRESTREAM_TEST_STORE_HTTP_SERVER_H_
#define SAPPHIRESTREAM_TEST_STORE_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sapphirestream/base/endpoint.h"

namespace sapphirestream {

namespace http = boost::beast::http;

class HttpServer {
 public:
  using Request = http::request<http::string_body>;
  using Response = http::response<http::string_body>;
  enum class After { kKeep, kClose };
  struct HandlerResult {
    // If empty, the server only closes the connection or leaves the request
    // unanswered.
    std::optional<Response> response;
    After after = After::kKeep;
  };
  using Handler = std::function<HandlerResult(const Request&)>;

  HttpServer(boost::asio::io_context& context, Handler handler)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
        handler_(std::move(handler)) {
    Accept();
  }

  [[nodiscard]] Endpoint endpoint() const {
    return {MakeV4(127, 0, 0, 1), acceptor_.local_endpoint().port()};
  }
  [[nodiscard]] std::size_t connections() const noexcept {
    return connections_;
  }
  void Close() { acceptor_.close(); }

 private:
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(boost::asio::ip::tcp::socket s, Handler r)
        : socket(std::move(s)), handler(std::move(r)) {}

    void Read() {
      request = {};
      http::async_read(socket, buffer, request,
                       [self = shared_from_this()](auto error, std::size_t) {
                         if (!error) self->Answer();
                       });
    }
    void Answer() {
      HandlerResult result = handler(request);
      after = result.after;
      if (!result.response) {
        if (after == After::kClose) {
          socket.close();
        } else {
          Read();
        }
        return;
      }
      response = std::move(*result.response);
      response.prepare_payload();
      http::async_write(socket, response,
                        [self = shared_from_this()](auto error, std::size_t) {
                          if (error) return;
                          if (self->after == After::kClose) {
                            self->socket.close();
                          } else {
                            self->Read();
                          }
                        });
    }

    boost::asio::ip::tcp::socket socket;
    Handler handler;
    boost::beast::flat_buffer buffer;
    Request request;
    Response response;
    After after = After::kKeep;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](auto error, boost::asio::ip::tcp::socket socket) {
          if (error) return;
          ++connections_;
          std::make_shared<Connection>(std::move(socket), handler_)->Read();
          Accept();
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::size_t connections_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_HTTP_SERVER_H_
