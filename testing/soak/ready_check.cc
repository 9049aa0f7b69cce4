#include "testing/soak/ready_check.h"

#include <boost/asio/ip/address_v4.hpp>
#include <chrono>
#include <utility>

namespace sapphirestream::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kPeriod{500};
constexpr std::chrono::milliseconds kTimeout{400};

}  // namespace

ReadyCheck::ReadyCheck(asio::io_context& context, V4Endpoint address,
                       std::string path)
    : context_(context),
      address_(address),
      path_(std::move(path)),
      timer_(context) {}

void ReadyCheck::Start() { SendCheck(); }

void ReadyCheck::SendCheck() {
  constexpr unsigned http11 = 11;
  constexpr unsigned ok = 200;
  // Each check uses a new connection, so that a frozen process fails only the
  // current one.
  channel_ = std::make_shared<internal::HttpChannel>(
      context_,
      asio::ip::tcp::endpoint(asio::ip::address_v4(address_.address),
                              address_.port),
      kMaxValueBytes);
  internal::HttpChannel::Request request(http::verb::get, path_, http11);
  request.set(http::field::host, ToString(address_));
  channel_->Call(
      std::move(request), {.deadline = kTimeout},
      [this](const internal::HttpReply& reply) {
        OnResponse(reply.outcome == internal::HttpOutcome::kAnswered &&
                   reply.status == ok);
      });
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    channel_->Close();
    SendCheck();
  });
}

void ReadyCheck::OnResponse(bool is_ready) {
  failures_ = is_ready ? 0 : failures_ + 1;
}

}  // namespace sapphirestream::soak
