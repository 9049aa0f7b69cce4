// Transport over HTTP/1.1 and TCP, with one connection per call.
#ifndef SAPPHIRESTREAM_CLIENT_BEAST_TRANSPORT_H_
#define SAPPHIRESTREAM_CLIENT_BEAST_TRANSPORT_H_

#include "sapphirestream/client/transport.h"

namespace sapphirestream {

class BeastTransport final : public Transport {
 public:
  HttpAnswer Send(const Endpoint& instance, const HttpCall& call,
                  Duration deadline) override;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_BEAST_TRANSPORT_H_
