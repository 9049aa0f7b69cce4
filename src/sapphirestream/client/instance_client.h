// Calls to the operators' interface of whichever instance answers.
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
#include "sapphirestream/client/pause.h"
#include "sapphirestream/client/rollout.h"
#include "sapphirestream/client/transport.h"

namespace sapphirestream {

class InstanceClient {
 public:
  // Longest time for one call: longer than an instance's own deadline for the
  // store's answer.
  static constexpr Duration kCallDeadline = std::chrono::seconds(5);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(200);

  // Calls `progress` whenever the number of instances changed.
  using Progress = std::function<void(const Rollout&)>;

  // `instances` are tried in this order; must not be empty.
  InstanceClient(std::vector<Endpoint> instances, Transport& transport,
                 Pause& pause);

  // Reads a path of the interface. Errors: kUnreachable and those of the
  // interface.
  [[nodiscard]] leaf::result<std::string> Read(const std::string& path);

  // Sends a change (`id`, `author`, `dry_run`, `operations`) and returns the
  // answer. Every instance gets the same id, so the change takes effect at most
  // once. Errors: kUnreachable if no instance got it, kOutcomeUnknown if one
  // may have accepted it, and those of the interface.
  [[nodiscard]] leaf::result<boost::json::object> Submit(
      const boost::json::object& change);

  // Waits until the version is in force on all live instances. Errors:
  // kTimedOut after `limit`.
  [[nodiscard]] leaf::result<Rollout> WaitInForce(ConfigVersion version,
                                                  Duration limit,
                                                  const Progress& progress);

 private:
  // Returns the error that an instance's answer carries.
  [[nodiscard]] static Error ErrorOf(const HttpAnswer& answer);
  // Moves an instance that does not answer to the end of the list.
  void Demote();

  std::vector<Endpoint> instances_;
  Transport& transport_;
  Pause& pause_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_INSTANCE_CLIENT_H_
