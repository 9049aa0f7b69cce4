// Parsing and formatting of the rollout state.
#include "sapphirestream/client/rollout.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace sapphirestream {
namespace {

namespace json = boost::json;

std::uint64_t NumberAt(const json::object& object, std::string_view name) {
  const json::value* const value = object.if_contains(name);
  boost::system::error_code error;
  const auto number =
      value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

std::vector<InstanceId> ReadIds(const json::value* ids) {
  std::vector<InstanceId> out;
  if (ids == nullptr || !ids->is_array()) return out;
  for (const json::value& id : ids->as_array()) {
    boost::system::error_code error;
    const auto number = id.to_number<std::uint32_t>(error);
    if (!error) out.push_back(InstanceId{number});
  }
  return out;
}

}  // namespace

leaf::result<Rollout> ParseRollout(std::string_view status,
                                   ConfigVersion version) {
  boost::system::error_code error;
  const json::value value = json::parse(status, error);
  if (error || !value.is_object()) {
    return MakeError(ErrorKind::kMalformedJson, "status is not a JSON object");
  }
  const json::object& object = value.as_object();
  // The instance reports its newest version, which includes all earlier ones.
  if (ConfigVersion{NumberAt(object, "version")} < version) return Rollout{};
  return Rollout{NumberAt(object, "live"), NumberAt(object, "prepared"),
                 NumberAt(object, "active"),
                 ReadIds(object.if_contains("lagging"))};
}

std::string ToString(const Rollout& rollout) {
  std::string text = "in force on " + std::to_string(rollout.active) + " of " +
                     std::to_string(rollout.live) + " instances";
  if (rollout.lagging.empty()) return text;
  text += ", lagging:";
  for (const InstanceId id : rollout.lagging) {
    text += ' ' + std::to_string(Value(id));
  }
  return text;
}

}  // namespace sapphirestream
