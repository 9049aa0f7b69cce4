// Each call runs on its own event loop, since Beast's synchronous functions
// have no timeouts.
#include "sapphirestream/client/beast_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace sapphirestream {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using ErrorCode = boost::system::error_code;

// Fits a dump, which contains every service and target.
constexpr std::size_t kMaxAnswerBytes = 256U << 20;

class HttpExchange {
 public:
  HttpExchange(const Endpoint& instance, const HttpCall& call)
      : endpoint_(asio::ip::make_address(ToString(instance.address)),
                  instance.port),
        stream_(io_),
        request_(call.body.empty() ? http::verb::get : http::verb::post,
                 call.path, 11) {
    request_.set(http::field::host, ToString(instance));
    request_.set(http::field::connection, "close");
    if (!call.body.empty()) {
      request_.set(http::field::content_type, "application/json");
      request_.body() = call.body;
    }
    request_.prepare_payload();
    parser_.body_limit(kMaxAnswerBytes);
  }

  HttpAnswer Run(Duration deadline) {
    stream_.expires_after(deadline);
    stream_.async_connect(endpoint_, [this](ErrorCode error) {
      if (!error) Write();
    });
    io_.run();
    return std::move(answer_);
  }

 private:
  void Write() {
    answer_.delivery = Delivery::kNoAnswer;
    http::async_write(stream_, request_, [this](ErrorCode error, std::size_t) {
      if (!error) Read();
    });
  }

  void Read() {
    http::async_read(stream_, buffer_, parser_,
                     [this](ErrorCode error, std::size_t) {
                       if (error) return;
                       answer_ = {Delivery::kAnswered,
                                  static_cast<int>(parser_.get().result_int()),
                                  std::move(parser_.get().body())};
                     });
  }

  asio::io_context io_{1};
  asio::ip::tcp::endpoint endpoint_;
  beast::tcp_stream stream_;
  http::request<http::string_body> request_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  HttpAnswer answer_;
};

}  // namespace

HttpAnswer BeastTransport::Send(const Endpoint& instance, const HttpCall& call,
                                Duration deadline) {
  return HttpExchange(instance, call).Run(deadline);
}

}  // namespace sapphirestream
