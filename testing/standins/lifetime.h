// Stops the event loop of a stand-in on SIGTERM or SIGINT, or after a time
// limit.
#ifndef SAPPHIRESTREAM_TESTING_STANDINS_LIFETIME_H_
#define SAPPHIRESTREAM_TESTING_STANDINS_LIFETIME_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>

namespace sapphirestream::standins {

class Lifetime {
 public:
  Lifetime(boost::asio::io_context& io, std::chrono::seconds limit)
      : signals_(io, SIGTERM, SIGINT), timer_(io, limit) {
    signals_.async_wait([&io](auto error, int) {
      if (!error) io.stop();
    });
    timer_.async_wait([&io](auto error) {
      if (!error) io.stop();
    });
  }

 private:
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
};

}  // namespace sapphirestream::standins

#endif  // SAPPHIRESTREAM_TESTING_STANDINS_LIFETIME_H_
