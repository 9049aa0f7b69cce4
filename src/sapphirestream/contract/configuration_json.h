// JSON serialization of the configuration and its parts. Parsing rejects
// unknown fields, wrong types and values out of range.
#ifndef SAPPHIRESTREAM_CONTRACT_CONFIGURATION_JSON_H_
#define SAPPHIRESTREAM_CONTRACT_CONFIGURATION_JSON_H_

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/contract/field_reader.h"

namespace sapphirestream {

inline constexpr EnumName<FlowKind> kFlowKindNames[] = {
    {FlowKind::kRequest, "request"},
    {FlowKind::kStream, "stream"},
};
[[nodiscard]] std::string_view Name(FlowKind kind) noexcept;

[[nodiscard]] boost::json::object ToJson(const Target& target);
[[nodiscard]] boost::json::object ToJson(const FormerLoadShare& former);
[[nodiscard]] boost::json::object ToJson(const Service& service);
[[nodiscard]] boost::json::object ToJson(const Preset& preset);
[[nodiscard]] boost::json::object ToJson(const Announcement& announcement);
[[nodiscard]] boost::json::object ToJson(const ChangeRecord& record);
[[nodiscard]] boost::json::object ToJson(const Configuration& configuration);

// Parses and validates a complete configuration (see Validate).
[[nodiscard]] leaf::result<Configuration> ParseConfiguration(
    std::string_view text);

// Checks constraints between fields: order, uniqueness and references. Fails
// with kOutOfRange, kAlreadyExists or kNotFound and the path of the object.
[[nodiscard]] leaf::result<void> Validate(const Configuration& configuration);

namespace internal {

[[nodiscard]] Target ReadTarget(const boost::json::value& value,
                                const std::string& path, ParseStatus& status);
[[nodiscard]] Service ReadService(const boost::json::value& value,
                                  const std::string& path, ParseStatus& status);
// Reads the fields of a service other than its targets. The caller must call
// `reader.Finish()`.
void ReadServiceFields(FieldReader& reader, Service& service);
[[nodiscard]] Preset ReadPreset(const boost::json::value& value,
                                const std::string& path, ParseStatus& status);
[[nodiscard]] Announcement ReadAnnouncement(const boost::json::value& value,
                                            const std::string& path,
                                            ParseStatus& status);
[[nodiscard]] ChangeRecord ReadChangeRecord(const boost::json::value& value,
                                            const std::string& path,
                                            ParseStatus& status);
[[nodiscard]] DomainId ReadDomain(const boost::json::value& value,
                                  const std::string& path, ParseStatus& status);
// Reads all fields other than services, presets and announcements. The caller
// must call `reader.Finish()`.
void ReadHeadFields(FieldReader& reader, Configuration& configuration);
// Writes the fields that ReadHeadFields reads.
void WriteHeadFields(const Configuration& configuration,
                     boost::json::object& out);

// Converts every element with ToJson.
template <typename T>
[[nodiscard]] boost::json::array ToArray(const std::vector<T>& elements) {
  boost::json::array out;
  out.reserve(elements.size());
  for (const T& element : elements) out.emplace_back(ToJson(element));
  return out;
}

}  // namespace internal
}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CONFIGURATION_JSON_H_
