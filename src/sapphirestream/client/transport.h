// The border between the client and the network: one HTTP call to one instance.
#ifndef SAPPHIRESTREAM_CLIENT_TRANSPORT_H_
#define SAPPHIRESTREAM_CLIENT_TRANSPORT_H_

#include <cstdint>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"

namespace sapphirestream {

// What is known about a call's way to the instance and back.
enum class Delivery : std::uint8_t {
  kAnswered,  // `status` and `body` are the instance's answer
  kNotSent,   // the instance never got the request
  kLost,      // the instance may have got the request; its answer is missing
};

struct HttpCall {
  // A POST has a body, a GET has none.
  std::string path;
  std::string body;
};

struct HttpAnswer {
  Delivery delivery = Delivery::kNotSent;
  int status = 0;
  std::string body;
};

class Transport {
 public:
  virtual ~Transport() = default;
  // Returns after `deadline` at the latest.
  virtual HttpAnswer Send(const Endpoint& instance, const HttpCall& call,
                          Duration deadline) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_TRANSPORT_H_
