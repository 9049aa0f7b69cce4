// Tells whether something accepts connections at a target's address.
#ifndef SAPPHIRESTREAM_EDGE_IO_TARGET_PROBER_H_
#define SAPPHIRESTREAM_EDGE_IO_TARGET_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/target_health.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

class TargetProber {
 public:
  // A connection within or across failure domains is accepted in a third of
  // this time.
  static constexpr std::chrono::milliseconds kTimeout{60};
  // A timer that fires this late shows that this process did not run, so that
  // answers may wait to be read.
  static constexpr std::chrono::milliseconds kLateTimer{10};

  // `begun` is when the probe was asked for.
  using Done = std::function<void(ProbeOutcome outcome, TimePoint begun)>;

  explicit TargetProber(boost::asio::io_context& context) : context_(context) {}

  // Tries `connections` connections at the same time and closes them at once.
  // Calls `done` later, when the outcome is known.
  void Probe(V4Endpoint address, unsigned connections, Done done);

 private:
  class Attempt;

  boost::asio::io_context& context_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_TARGET_PROBER_H_
