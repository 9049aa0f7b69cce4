// Failover between instances, and polling of a rollout.
#include "sapphirestream/client/instance_client.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace sapphirestream {
namespace {

namespace json = boost::json;

std::string StringAt(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

// Whether another instance may succeed: it may already have a configuration, or
// reach the store from its own domain. Repeating a change is safe, since it
// keeps its id.
bool IsRetryableOnAnotherInstance(ErrorKind kind) noexcept {
  return kind == ErrorKind::kNotReady || kind == ErrorKind::kStoreUnavailable ||
         kind == ErrorKind::kOutcomeUnknown;
}

}  // namespace

InstanceClient::InstanceClient(std::vector<Endpoint> instances,
                               Transport& transport, SleepClock& clock)
    : instances_(std::move(instances)), transport_(transport), clock_(clock) {}

Error InstanceClient::ErrorOf(const HttpAnswer& answer) {
  boost::system::error_code error;
  const json::value value = json::parse(answer.body, error);
  if (error || !value.is_object() || !value.as_object().if_contains("error")) {
    return {ErrorKind::kInternal,
            "HTTP status " + std::to_string(answer.status)};
  }
  const json::object& object = value.as_object();
  Error result{ErrorKindFromName(StringAt(object, "error")),
               StringAt(object, "detail")};
  if (const json::value* const version = object.if_contains("version")) {
    if (!result.detail.empty()) result.detail += "; ";
    result.detail += "version " + json::serialize(*version);
  }
  return result;
}

void InstanceClient::RotateInstances() {
  std::rotate(instances_.begin(), instances_.begin() + 1, instances_.end());
}

leaf::result<std::string> InstanceClient::Read(const std::string& path) {
  Error last{ErrorKind::kUnreachable, {}};
  for (std::size_t i = 0; i < instances_.size(); ++i, RotateInstances()) {
    HttpAnswer answer =
        transport_.Send(instances_.front(), {path, {}}, kCallDeadline);
    if (answer.delivery != Delivery::kAnswered) continue;
    if (answer.status == 200) return std::move(answer.body);
    last = ErrorOf(answer);
    if (!IsRetryableOnAnotherInstance(last.kind)) break;
  }
  return MakeError(last.kind, last.detail);
}

leaf::result<json::object> InstanceClient::Submit(const json::object& change) {
  const HttpCall call{"/v1/changes", json::serialize(change)};
  Error last{ErrorKind::kUnreachable, {}};
  // Set once an instance may have accepted the change. If the other instances
  // are then unreachable or cannot process it, the outcome must be reported as
  // unknown, not as "nothing was changed".
  bool may_be_accepted = false;
  for (std::size_t i = 0; i < instances_.size(); ++i, RotateInstances()) {
    const HttpAnswer answer =
        transport_.Send(instances_.front(), call, kCallDeadline);
    if (answer.delivery == Delivery::kNotSent) continue;
    if (answer.delivery == Delivery::kNoAnswer) {
      may_be_accepted = true;
      continue;
    }
    if (answer.status == 200) {
      boost::system::error_code error;
      json::value value = json::parse(answer.body, error);
      if (!error && value.is_object()) return std::move(value.as_object());
      return MakeError(ErrorKind::kOutcomeUnknown,
                       "the answer is not a JSON object");
    }
    last = ErrorOf(answer);
    if (last.kind == ErrorKind::kOutcomeUnknown) may_be_accepted = true;
    if (!IsRetryableOnAnotherInstance(last.kind)) break;
  }
  if (may_be_accepted && (last.kind == ErrorKind::kUnreachable ||
                          IsRetryableOnAnotherInstance(last.kind))) {
    last = {ErrorKind::kOutcomeUnknown, "change id " + StringAt(change, "id")};
  }
  return MakeError(last.kind, last.detail);
}

leaf::result<Rollout> InstanceClient::WaitUntilActive(
    ConfigVersion version, Duration limit, const Progress& progress) {
  const TimePoint end = clock_.Now() + limit;
  Rollout last;
  while (true) {
    const Rollout now = leaf::try_handle_all(
        [&]() -> leaf::result<Rollout> {
          BOOST_LEAF_AUTO(body, Read("/v1/status"));
          return ParseRollout(body, version);
        },
        // Ignores errors until the limit, since an instance may be temporarily
        // unable to answer.
        [&] { return last; });
    if (now != last) progress(now);
    last = now;
    if (last.complete()) return last;
    if (clock_.Now() >= end) break;
    clock_.Sleep(std::min(kPollInterval, end - clock_.Now()));
  }
  return MakeError(ErrorKind::kTimedOut, ToString(last));
}

}  // namespace sapphirestream
