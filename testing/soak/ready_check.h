// Simulates the fabric's readiness check of an instance: runs twice a second,
// removes the instance from rotation after two failures, and adds it again
// after one success.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_READY_CHECK_H_
#define SAPPHIRESTREAM_TESTING_SOAK_READY_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "sapphirestream/edge/v4_endpoint.h"
#include "sapphirestream/store/http_channel.h"

namespace sapphirestream::soak {

class ReadyCheck {
 public:
  ReadyCheck(boost::asio::io_context& context, V4Endpoint address,
             std::string path);

  void Start();
  [[nodiscard]] bool is_ready() const noexcept {
    return failures_ < kMaxFailures;
  }

 private:
  static constexpr int kMaxFailures = 2;

  void SendCheck();
  void OnResponse(bool is_ready);

  boost::asio::io_context& context_;
  V4Endpoint address_;
  std::string path_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<internal::HttpChannel> channel_;
  int failures_ = kMaxFailures;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_READY_CHECK_H_
