#include "testing/soak/soak_target.h"

#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "platform/edge_platform.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream::soak {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// One target has enough capacity for the clients of its service.
constexpr Duration kServiceTime = std::chrono::milliseconds(10);

}  // namespace

std::string EntryName(TargetKey key) {
  std::array<char, 24> name{};
  std::snprintf(name.data(), name.size(), "i-%08llx",
                static_cast<unsigned long long>(Value(key)));
  return name.data();
}

SoakTarget::SoakTarget(asio::io_context& context, const TargetRecord& record,
                       const Udp::endpoint& clients, Timer& timer,
                       testing::FlowTarget::Observer& observer)
    : context_(context),
      record_(record),
      clients_(clients),
      timer_(timer),
      observer_(observer) {}

void SoakTarget::Start() {
  frozen_ = false;
  record_.draining = false;
  record_.incarnation = Incarnation{Value(record_.incarnation) + 1};
  socket_ = std::make_shared<Udp::socket>(
      context_, Udp::endpoint(asio::ip::address_v4(record_.address.address),
                              record_.address.port));
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(
            health_, HttpServer::Open(context_, ToEndpoint(record_.address),
                                      [this](const HttpRequest& /*request*/,
                                             const HttpServer::Reply& reply) {
                                        if (!frozen_) return AnswerCheck(reply);
                                        queued_checks_.push_back(reply);
                                      }));
        return {};
      },
      [](const Error& error) { throw std::runtime_error(error.detail); },
      [] { throw std::runtime_error("cannot open the sockets of a target"); });
  flows_ = std::make_unique<testing::FlowTarget>(
      testing::FlowTargetOptions{.key = record_.key,
                                 .slots = record_.slots,
                                 .service_time = slowness_ * kServiceTime},
      timer_,
      [this](std::span<const std::byte> packet) {
        if (!socket_) return;
        error_code ignored;  // lost packets are retransmitted
        socket_->send_to(asio::buffer(packet.data(), packet.size()), clients_,
                         0, ignored);
      },
      observer_);
  Read();
}

void SoakTarget::Crash() {
  flows_.reset();
  health_.reset();
  queued_.clear();
  queued_checks_.clear();
  if (socket_) socket_->close();
  socket_.reset();
}

void SoakTarget::Thaw() {
  frozen_ = false;
  for (const HttpServer::Reply& reply : std::exchange(queued_checks_, {})) {
    AnswerCheck(reply);
  }
  for (const Datagram& datagram : std::exchange(queued_, {})) Handle(datagram);
}

void SoakTarget::AnswerCheck(const HttpServer::Reply& reply) const {
  HttpResponse response;
  response.fields.emplace_back(platform::MakeEdgePlatform()->identity_field(),
                               EntryName(record_.key));
  reply(std::move(response));
}

void SoakTarget::Drain() {
  record_.draining = true;
  if (flows_) flows_->Drain();
}

void SoakTarget::SetSlowness(unsigned factor) {
  slowness_ = factor;
  if (flows_) flows_->SetServiceTime(factor * kServiceTime);
}

void SoakTarget::Read() {
  socket_->async_receive_from(
      asio::buffer(buffer_), from_,
      [this, socket = socket_](const error_code& error, std::size_t size) {
        if (socket != socket_ || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          Datagram datagram;
          datagram.from = {from_.address().to_v4().to_uint(), from_.port()};
          datagram.bytes.assign(
              buffer_.begin(),
              buffer_.begin() + static_cast<std::ptrdiff_t>(size));
          if (frozen_) {
            queued_.push_back(std::move(datagram));
          } else {
            Handle(datagram);
          }
        }
        Read();
      });
}

void SoakTarget::Handle(const Datagram& datagram) {
  sender_ = datagram.from;
  if (flows_) flows_->OnDatagram(datagram.bytes);
}

}  // namespace sapphirestream::soak
