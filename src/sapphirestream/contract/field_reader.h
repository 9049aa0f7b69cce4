// Reads typed fields from a JSON object and reports the first error with the
// path of the field, its value and the allowed range.
#ifndef SAPPHIRESTREAM_CONTRACT_FIELD_READER_H_
#define SAPPHIRESTREAM_CONTRACT_FIELD_READER_H_

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/base/error.h"

namespace sapphirestream {

// JSON name of an enum value.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

namespace internal {

// Keeps the first error of a parse; later errors are usually caused by it.
class ParseStatus {
 public:
  void Fail(ErrorKind kind, std::string detail) {
    if (!error_) error_ = Error{kind, std::move(detail)};
  }
  [[nodiscard]] bool ok() const noexcept { return !error_.has_value(); }
  [[nodiscard]] leaf::result<void> ToResult() const {
    if (error_) return MakeError(error_->kind, error_->detail);
    return {};
  }

 private:
  std::optional<Error> error_;
};

// Inclusive range of a number or of the length of a string in bytes.
struct Range {
  std::uint64_t min = 0;
  std::uint64_t max = 0;
};

// Latest accepted timestamp: the end of the year 9999, in milliseconds since
// 1970.
inline constexpr std::uint64_t kMaxTimestampMs = 253'402'300'799'999;

class FieldReader {
 public:
  // Fails with kWrongType if `value` is not an object. Both arguments must
  // outlive the reader.
  FieldReader(const boost::json::value& value, std::string path,
              ParseStatus& status);

  [[nodiscard]] bool Contains(std::string_view name);
  [[nodiscard]] std::string PathOf(std::string_view name) const;
  [[nodiscard]] ParseStatus& status() noexcept { return status_; }

  // Each of the following methods requires the field and marks its name as
  // known.
  [[nodiscard]] std::uint64_t Number(std::string_view name, Range range);
  [[nodiscard]] bool Bool(std::string_view name);
  // Rejects control characters.
  [[nodiscard]] std::string Text(std::string_view name, Range length);
  // A name: 1 to kMaxNameBytes of letters, digits, '-', '_' and '.'.
  [[nodiscard]] std::string Name(std::string_view name);
  [[nodiscard]] Endpoint EndpointWithPort(std::string_view name);
  [[nodiscard]] WallTime Timestamp(std::string_view name);
  // Returns the elements of an array; empty on failure.
  [[nodiscard]] std::span<const boost::json::value> Array(std::string_view name,
                                                          std::size_t max_size);
  [[nodiscard]] const boost::json::value* RawValue(std::string_view name);

  template <typename Out>
  void ReadNumber(std::string_view name, Range range, Out& out) {
    out = static_cast<Out>(Number(name, range));
  }
  // Like ReadNumber, but leaves `out` unchanged if the field is absent.
  template <typename Out>
  void ReadOptional(std::string_view name, Range range, Out& out) {
    if (Contains(name)) out = static_cast<Out>(Number(name, range));
  }
  void ReadOptional(std::string_view name, bool& out) {
    if (Contains(name)) out = Bool(name);
  }
  template <typename Enum, std::size_t kSize>
  void ReadEnum(std::string_view name, const EnumName<Enum> (&names)[kSize],
                Enum& out) {
    const std::string text = Text(name, {0, 1000});
    std::string allowed;
    for (const EnumName<Enum>& entry : names) {
      if (entry.name == text) {
        out = entry.value;
        return;
      }
      allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
    }
    status_.Fail(ErrorKind::kOutOfRange,
                 PathOf(name) + ": \"" + text + "\" is not one of " + allowed);
  }

  // Fails with kUnknownField if the object has a field that was not queried.
  void Finish();

 private:
  // Returns the field or null, and marks its name as known.
  [[nodiscard]] const boost::json::value* Lookup(std::string_view name);
  // Like Lookup, but fails if the field is missing.
  [[nodiscard]] const boost::json::value* Find(std::string_view name,
                                               std::string_view expected);
  void FailType(std::string_view name, std::string_view expected,
                const boost::json::value& value);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  ParseStatus& status_;
  // Bit i is set if the field at position i of the object was queried. Objects
  // with more fields than bits always have unknown fields.
  std::uint64_t known_ = 0;
};

// Reads every element of an array with `read(value, path, status)`.
template <typename T, typename Read>
[[nodiscard]] std::vector<T> ReadArray(FieldReader& reader,
                                       std::string_view name,
                                       std::size_t max_size, Read read) {
  std::vector<T> out;
  const auto elements = reader.Array(name, max_size);
  out.reserve(elements.size());
  for (std::size_t i = 0; i < elements.size() && reader.status().ok(); ++i) {
    out.push_back(read(elements[i],
                       reader.PathOf(name) + "[" + std::to_string(i) + "]",
                       reader.status()));
  }
  return out;
}

// Parses JSON; fails with kMalformedJson and the byte offset.
[[nodiscard]] leaf::result<boost::json::value> ParseJson(std::string_view text);

// Reads an integer from a value that is not a field.
[[nodiscard]] std::uint64_t ReadInteger(const boost::json::value& value,
                                        const std::string& path, Range range,
                                        ParseStatus& status);

}  // namespace internal
}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_FIELD_READER_H_
