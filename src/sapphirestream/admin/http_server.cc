// HTTP server of the operator API.
#include "sapphirestream/admin/http_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace sapphirestream {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

// Limits how long a slow or idle client can hold a connection.
constexpr std::chrono::seconds kIoTimeout{15};

}  // namespace

// One connection. Its pending operation holds a reference that keeps it alive.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Tcp::socket socket, Handler handler,
          std::shared_ptr<std::size_t> connections)
      : stream_(std::move(socket)),
        handler_(std::move(handler)),
        connections_(std::move(connections)) {
    ++*connections_;
  }
  ~Session() { --*connections_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void ReadRequest() {
    parser_.emplace();
    parser_->body_limit(kMaxBodySize);
    parser_->header_limit(kMaxHeaderSize);
    stream_.expires_after(kIoTimeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          self->OnRequest(error);
        });
  }

 private:
  void OnRequest(beast::error_code error) {
    if (error == http::error::body_limit) {
      keep_alive_ = false;
      SendResponse(
          MakeErrorResponse({ErrorKind::kOutOfRange,
                             "request body is larger than " +
                                 std::to_string(kMaxBodySize) + " bytes"}));
      return;
    }
    if (error) return;
    auto request = parser_->release();
    keep_alive_ = request.keep_alive();
    stream_.expires_never();
    handler_({.method = std::string(request.method_string()),
              .target = std::string(request.target()),
              .body = std::move(request.body())},
             [self = shared_from_this()](HttpResponse response) {
               self->SendResponse(std::move(response));
             });
  }

  void SendResponse(HttpResponse response) {
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(response.status));
    response_.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.fields) {
      response_.set(name, value);
    }
    response_.body() = std::move(response.body);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    stream_.expires_after(kIoTimeout);
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (error) return;
          if (self->keep_alive_) return self->ReadRequest();
          self->stream_.socket().shutdown(Tcp::socket::shutdown_send, error);
        });
  }

  beast::tcp_stream stream_;
  Handler handler_;
  std::shared_ptr<std::size_t> connections_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool keep_alive_ = false;
};

leaf::result<std::unique_ptr<HttpServer>> HttpServer::Open(
    asio::io_context& io, const Endpoint& local, Handler handler,
    std::size_t max_connections) {
  const Tcp::endpoint endpoint(asio::ip::make_address(ToString(local.address)),
                               local.port);
  Tcp::acceptor acceptor(io);
  beast::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorKind::kInternal,
                     "listen " + ToString(local) + ": " + error.message());
  }
  std::unique_ptr<HttpServer> server(
      new HttpServer(std::move(acceptor), std::move(handler), max_connections));
  server->Accept();
  return server;
}

Endpoint HttpServer::local() const {
  const Tcp::endpoint bound = acceptor_.local_endpoint();
  return {*ParseAddress(bound.address().to_string()), bound.port()};
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](beast::error_code error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && *connections_ < max_connections_) {
      std::make_shared<Session>(std::move(socket), handler_, connections_)
          ->ReadRequest();
    }
    Accept();
  });
}

}  // namespace sapphirestream
