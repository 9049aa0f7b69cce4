// Checks whether a target's address accepts connections, and whether the target
// itself responds there.
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
  // Simultaneous connection attempts per probe, since packets of one may be
  // lost.
  static constexpr unsigned kConnections = 2;
  // Connections within and across failure domains are accepted within a third
  // of this time.
  static constexpr std::chrono::milliseconds kConnectTimeout{60};
  // Includes the time that a health check waits for a slot of the target.
  static constexpr std::chrono::milliseconds kResponseTimeout{300};
  // If a timer fires this late, the process was not running, and responses may
  // be waiting in the sockets.
  static constexpr std::chrono::milliseconds kTimerLatenessLimit{10};

  using Done = std::function<void(const ProbeResult& result)>;
  using KeyOf = std::optional<TargetKey> (*)(std::string_view name);

  // `identity_field` is the HTTP header field that identifies a target in its
  // response.
  TargetProber(boost::asio::io_context& context,
               std::string_view identity_field, KeyOf key_of)
      : context_(context), identity_field_(identity_field), key_of_(key_of) {}

  // Calls `done` asynchronously with the outcome. kSilent is reported only if
  // the control target, if there is one, answers while the target does not.
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
