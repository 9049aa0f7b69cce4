// A minimal HTTP server on a loopback port that the kernel chooses. It answers
// each request as the test says.
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
  struct Reaction {
    // Without a response the server closes the connection or stays silent.
    std::optional<Response> response;
    After after = After::kKeep;
  };
  using React = std::function<Reaction(const Request&)>;

  HttpServer(boost::asio::io_context& context, React react)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
        react_(std::move(react)) {
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
    Connection(boost::asio::ip::tcp::socket s, React r)
        : socket(std::move(s)), react(std::move(r)) {}

    void Read() {
      request = {};
      http::async_read(socket, buffer, request,
                       [self = shared_from_this()](auto error, std::size_t) {
                         if (!error) self->Answer();
                       });
    }
    void Answer() {
      Reaction reaction = react(request);
      after = reaction.after;
      if (!reaction.response) {
        if (after == After::kClose) {
          socket.close();
        } else {
          Read();
        }
        return;
      }
      response = std::move(*reaction.response);
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
    React react;
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
          std::make_shared<Connection>(std::move(socket), react_)->Read();
          Accept();
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  React react_;
  std::size_t connections_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_HTTP_SERVER_H_
