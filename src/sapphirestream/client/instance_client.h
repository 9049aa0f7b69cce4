// Client of the operator API, with failover between instances.
#ifndef SAPPHIRESTREAM_CLIENT_INSTANCE_CLIENT_H_
#define SAPPHIRESTREAM_CLIENT_INSTANCE_CLIENT_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <vector>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/client/rollout.h"
#include "sapphirestream/client/sleep_clock.h"
#include "sapphirestream/client/transport.h"

namespace sapphirestream {

class InstanceClient {
 public:
  // Deadline of one call; longer than an instance's own deadline for the store.
  static constexpr Duration kCallDeadline = std::chrono::seconds(5);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(200);

  // Called whenever the state of the rollout has changed.
  using Progress = std::function<void(const Rollout&)>;

  // `instances` are tried in this order; must not be empty.
  InstanceClient(std::vector<Endpoint> instances, Transport& transport,
                 SleepClock& clock);

  // Reads a path of the operator API. Errors: kUnreachable and those of the
  // API.
  [[nodiscard]] leaf::result<std::string> Read(const std::string& path);

  // Submits a change (`id`, `author`, `dry_run`, `operations`) and returns the
  // answer. All attempts use the same id, so the change is applied at most
  // once. Errors: kUnreachable if no instance received it, kOutcomeUnknown if
  // one may have accepted it, and those of the API.
  [[nodiscard]] leaf::result<boost::json::object> Submit(
      const boost::json::object& change);

  // Waits until the version is active on all live instances. Errors: kTimedOut
  // after `limit`.
  [[nodiscard]] leaf::result<Rollout> WaitUntilActive(ConfigVersion version,
                                                      Duration limit,
                                                      const Progress& progress);

 private:
  // Parses the error in an instance's answer.
  [[nodiscard]] static Error ErrorOf(const HttpAnswer& answer);
  // Moves the first instance to the end of the list after a failed call.
  void RotateInstances();

  std::vector<Endpoint> instances_;
  Transport& transport_;
  SleepClock& clock_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_INSTANCE_CLIENT_H_
