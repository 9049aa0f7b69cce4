// JSON form of changes, as in POST /v1/changes.
#ifndef SAPPHIRESTREAM_CONTRACT_CHANGE_JSON_H_
#define SAPPHIRESTREAM_CONTRACT_CHANGE_JSON_H_

#include <boost/json.hpp>
#include <string_view>

#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/change.h"

namespace sapphirestream {

// Returns the operation's name in JSON, such as `add_target`.
[[nodiscard]] std::string_view Name(const Operation& operation) noexcept;

[[nodiscard]] boost::json::object ToJson(const Operation& operation);
[[nodiscard]] boost::json::object ToJson(const Change& change);

// Parses a change. Errors: kMalformedJson, kUnknownField, kWrongType,
// kOutOfRange, with the field's path.
[[nodiscard]] leaf::result<Change> ParseChange(std::string_view text);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_CHANGE_JSON_H_
