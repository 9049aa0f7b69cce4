// One session per connection. Requests on a connection are served in order.
#include "testing/standins/http_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <memory>
#include <utility>

namespace sapphirestream::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, HttpServer& server)
      : stream_(std::move(socket)), server_(server) {
    ++server_.connections_;
  }
  ~Session() { --server_.connections_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](ErrorCode error, std::size_t) {
          if (error == http::error::body_limit) {
            self->Reply(MakeResponse(http::status::payload_too_large, ""));
          } else if (!error) {
            self->Handle();
          }
        });
  }

 private:
  void Handle() {
    server_.handler_(parser_->get(), [self = shared_from_this()](
                                         std::optional<HttpResponse> response) {
      if (response) {
        self->Reply(*std::move(response));
      } else {
        self->stream_.close();
      }
    });
  }

  void Reply(HttpResponse response) {
    response_ = std::move(response);
    response_.keep_alive(parser_->get().keep_alive());
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](ErrorCode error, std::size_t) {
          if (error || self->response_.need_eof()) return;
          self->Read();
        });
  }

  beast::tcp_stream stream_;
  HttpServer& server_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpResponse response_;
};

HttpServer::HttpServer(asio::io_context& io, const Endpoint& endpoint,
                       HttpHandler handler)
    : acceptor_(
          io, Tcp::endpoint(asio::ip::make_address(ToString(endpoint.address)),
                            endpoint.port)),
      handler_(std::move(handler)) {
  Accept();
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && connections_ < kMaxConnections) {
      std::make_shared<Session>(std::move(socket), *this)->Read();
    }
    Accept();
  });
}

HttpResponse MakeResponse(http::status status, std::string body,
                          std::string_view content_type) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

}  // namespace sapphirestream::standins
