// TCP proxy that injects faults: delays, resets, and data held back in one or
// both directions.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_TCP_PROXY_H_
#define SAPPHIRESTREAM_TESTING_SOAK_TCP_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string_view>

namespace sapphirestream::soak {

enum class LinkFault : std::uint8_t {
  kNone,
  kDelay,      // all data is delayed
  kReset,      // existing and new connections are reset
  kSilence,    // data is held back in both directions until the fault ends
  kNoAnswers,  // data from the server is held back until the fault ends
};

[[nodiscard]] std::string_view Name(LinkFault fault) noexcept;

class TcpProxy {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Starts listening. Throws boost::system::system_error on failure.
  TcpProxy(boost::asio::io_context& context, const Endpoint& local,
           const Endpoint& server);

  void SetFault(LinkFault fault);
  // Open connections carry nothing any more, without a reset; new ones work.
  void SilenceOpenConnections();
  [[nodiscard]] LinkFault fault() const noexcept { return fault_; }
  // Data from the server arrives at this rate, over all connections together;
  // zero is no limit.
  void SetRate(std::uint64_t bytes_per_s) noexcept { rate_ = bytes_per_s; }

 private:
  class Connection;

  void Accept();
  // Returns how long data of this size waits for what was sent before it, and
  // until it has been sent itself.
  [[nodiscard]] std::chrono::microseconds SendTime(std::size_t size);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Endpoint server_;
  LinkFault fault_ = LinkFault::kNone;
  std::uint64_t rate_ = 0;
  // When everything that was received from the server has been sent.
  std::chrono::steady_clock::time_point busy_until_{};
  std::list<std::weak_ptr<Connection>> connections_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_TCP_PROXY_H_
