// Rendering of JSON as human-readable tables.
#ifndef SAPPHIRESTREAM_CLIENT_TABLE_H_
#define SAPPHIRESTREAM_CLIENT_TABLE_H_

#include <boost/json/value.hpp>
#include <string>

namespace sapphirestream {

// Renders an array of objects as a table with a column per field, and an object
// as one `name  value` line per field followed by its arrays as tables. Fields
// named `from`, `until` or `accepted`, or ending in `_at`, are shown as times.
[[nodiscard]] std::string RenderTable(const boost::json::value& value);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CLIENT_TABLE_H_
