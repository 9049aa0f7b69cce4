// Network interface of the client: one HTTP call to one instance.
#ifndef SAPPHIRESTREAM_CLIENT_TRANSPORT_H_
#define SAPPHIRESTREAM_CLIENT_TRANSPORT_H_

#include <cstdint>
#include <string>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"

namespace sapphirestream {

// Delivery state of a call.
enum class Delivery : std::uint8_t {
  kAnswered,  // `status` and `body` are the instance's answer
  kNotSent,   // the instance did not receive the request
  kNoAnswer,  // the instance may have received the request, but no answer came
};

struct HttpCall {
  // A call with a body is a POST, otherwise a GET.
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
  // Returns within `deadline`.
  virtual HttpAnswer Send(const Endpoint& instance, const HttpCall& call,
                          Duration deadline) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_TRANSPORT_H_
