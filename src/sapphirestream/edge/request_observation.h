// What an instance sees of a finished request, from the client's packets alone.
#ifndef SAPPHIRESTREAM_EDGE_REQUEST_OBSERVATION_H_
#define SAPPHIRESTREAM_EDGE_REQUEST_OBSERVATION_H_

#include <cstdint>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/fwd.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

struct RequestObservation {
  TargetKey target{};
  Incarnation incarnation{};
  // Virtual address of the request's route.
  V4Endpoint route;
  // From the first packet of the request to the client's first acknowledgement
  // of the answer.
  Duration took{};
  // Size of the answer as far as the client has acknowledged it; zero if the
  // client gave up without an answer.
  std::uint32_t answer_bytes = 0;
  // When the client first acknowledged the answer, or gave up.
  TimePoint at{};
};

class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  // Called at most once for each request: when its flow or its answer has
  // ended, or when it is too old to be tracked. A request whose answer is
  // acknowledged only by the next request is not reported, since the client may
  // have paused in between.
  virtual void OnRequest(const RequestObservation& observation) = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_REQUEST_OBSERVATION_H_
