#include "testing/soak/tcp_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <ratio>
#include <utility>

namespace sapphirestream::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kDelay{250};
// Interval at which held-back data checks whether the fault has ended.
constexpr std::chrono::milliseconds kHoldCheckInterval{50};
constexpr std::size_t kBufferSize = 16384;

void ResetSocket(tcp::socket& socket) {
  error_code ignored;  // the socket may be closed already
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

std::string_view Name(LinkFault fault) noexcept {
  constexpr std::array<std::string_view, 5> names{"none", "delay", "reset",
                                                  "silence", "no_answers"};
  return names[static_cast<std::size_t>(fault)];
}

// A proxied connection with one pump per direction; kept alive by the pending
// operations of the pumps.
class TcpProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(TcpProxy& proxy, tcp::socket client)
      : proxy_(proxy),
        client_(std::move(client)),
        server_(proxy.context_),
        requests_{client_, server_, asio::steady_timer(proxy.context_), {}, 0},
        responses_{
            server_, client_, asio::steady_timer(proxy.context_), {}, 0} {}

  void Start() {
    server_.async_connect(proxy_.server_,
                          [self = shared_from_this()](const error_code& error) {
                            if (error) return self->Reset();
                            self->Read(self->requests_);
                            self->Read(self->responses_);
                          });
  }
  void Reset() {
    ResetSocket(client_);
    ResetSocket(server_);
  }
  void Silence() noexcept { is_silent_ = true; }

 private:
  struct Pump {
    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    std::array<char, kBufferSize> buffer;
    std::size_t size;
  };

  void Read(Pump& pump) {
    pump.from.async_read_some(asio::buffer(pump.buffer),
                              [self = shared_from_this(), &pump](
                                  const error_code& error, std::size_t size) {
                                if (error) return self->Reset();
                                pump.size = size;
                                self->WriteAfter(pump, self->DelayOf(pump));
                              });
  }

  [[nodiscard]] bool IsHeld(const Pump& pump) const {
    return proxy_.fault_ == LinkFault::kSilence ||
           (proxy_.fault_ == LinkFault::kNoAnswers && &pump == &responses_);
  }

  [[nodiscard]] std::chrono::microseconds DelayOf(const Pump& pump) {
    if (proxy_.fault_ == LinkFault::kDelay) return kDelay;
    return &pump == &responses_ ? proxy_.SendTime(pump.size)
                                : std::chrono::microseconds{};
  }

  void WriteAfter(Pump& pump, std::chrono::microseconds wait) {
    if (wait == std::chrono::microseconds{}) return Write(pump);
    pump.timer.expires_after(wait);
    pump.timer.async_wait(
        [self = shared_from_this(), &pump](const error_code& error) {
          if (!error) self->Write(pump);
        });
  }

  void Write(Pump& pump) {
    if (is_silent_) return Read(pump);
    if (IsHeld(pump)) return WriteAfter(pump, kHoldCheckInterval);
    asio::async_write(pump.to, asio::buffer(pump.buffer.data(), pump.size),
                      [self = shared_from_this(), &pump](
                          const error_code& error, std::size_t /*size*/) {
                        if (error) return self->Reset();
                        self->Read(pump);
                      });
  }

  TcpProxy& proxy_;
  tcp::socket client_;
  tcp::socket server_;
  Pump requests_;
  Pump responses_;
  // Whether all data is discarded.
  bool is_silent_ = false;
};

TcpProxy::TcpProxy(asio::io_context& context, const Endpoint& local,
                   const Endpoint& server)
    : context_(context), acceptor_(context, local), server_(server) {
  Accept();
}

void TcpProxy::SetFault(LinkFault fault) {
  fault_ = fault;
  if (fault_ != LinkFault::kReset) return;
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) connection->Reset();
  }
  connections_.clear();
}

std::chrono::microseconds TcpProxy::SendTime(std::size_t size) {
  if (rate_ == 0) return {};
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::microseconds own(size * std::micro::den / rate_);
  busy_until_ = std::max(busy_until_, now) + own;
  return std::chrono::ceil<std::chrono::microseconds>(busy_until_ - now);
}

void TcpProxy::SilenceOpenConnections() {
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) connection->Silence();
  }
}

void TcpProxy::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && fault_ == LinkFault::kReset) ResetSocket(socket);
    if (!error && socket.is_open()) {
      std::erase_if(connections_, [](const auto& c) { return c.expired(); });
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.push_back(connection);
      connection->Start();
    }
    Accept();
  });
}

}  // namespace sapphirestream::soak
