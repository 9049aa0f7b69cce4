// Tells whether something accepts connections at a target's address, and
// whether it is that target.
#ifndef SAPPHIRESTREAM_EDGE_IO_TARGET_PROBER_H_
#define SAPPHIRESTREAM_EDGE_IO_TARGET_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/edge_sink.h"

namespace sapphirestream {

class TargetProber {
 public:
  // Connections that a probe tries at the same time: one may lose a packet.
  static constexpr unsigned kConnections = 2;
  // A connection within or across failure domains is accepted in a third of
  // this time.
  static constexpr std::chrono::milliseconds kConnectTimeout{60};
  // A health check waits for a slot of its target.
  static constexpr std::chrono::milliseconds kAnswerTimeout{300};
  // A timer that fires this late shows that this process did not run, so that
  // answers may wait to be read.
  static constexpr std::chrono::milliseconds kLateTimer{10};

  // `begun` is when the probe was asked for.
  using Done = std::function<void(ProbeOutcome outcome, TimePoint begun)>;
  using KeyOf = std::optional<TargetKey> (*)(std::string_view name);

  // `identity_field` is the header field that names a target in its answer.
  TargetProber(boost::asio::io_context& context,
               std::string_view identity_field, KeyOf key_of)
      : context_(context), identity_field_(identity_field), key_of_(key_of) {}

  // Calls `done` later, when the outcome is known.
  void Probe(const ProbeRequest& probe, Done done);

 private:
  class Attempt;
  class ConnectionAttempt;
  class IdentityAttempt;

  boost::asio::io_context& context_;
  std::string identity_field_;
  KeyOf key_of_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_TARGET_PROBER_H_
