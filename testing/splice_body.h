// ConfigBody for tests: a delta replaces the part of the base between the
// common prefix and suffix.
#ifndef SAPPHIRESTREAM_TESTING_SPLICE_BODY_H_
#define SAPPHIRESTREAM_TESTING_SPLICE_BODY_H_

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/domain/config_body.h"

namespace sapphirestream::testing {

class SpliceBody final : public ConfigBody {
 public:
  [[nodiscard]] std::string Diff(std::string_view base,
                                 std::string_view next) const override {
    Header header{};
    header.base_hash = HashBytes(base.data(), base.size(), 0);
    const std::size_t shorter = std::min(base.size(), next.size());
    while (header.prefix < shorter &&
           base[header.prefix] == next[header.prefix]) {
      ++header.prefix;
    }
    while (header.prefix + header.suffix < shorter &&
           base[base.size() - 1 - header.suffix] ==
               next[next.size() - 1 - header.suffix]) {
      ++header.suffix;
    }
    std::string delta(sizeof header, '\0');
    std::memcpy(delta.data(), &header, sizeof header);
    delta +=
        next.substr(header.prefix, next.size() - header.prefix - header.suffix);
    return delta;
  }

  [[nodiscard]] std::optional<std::string> Apply(
      std::string_view base, std::string_view delta) const override {
    Header header{};
    if (delta.size() < sizeof header) return std::nullopt;
    std::memcpy(&header, delta.data(), sizeof header);
    if (header.base_hash != HashBytes(base.data(), base.size(), 0)) {
      return std::nullopt;
    }
    std::string next(base.substr(0, header.prefix));
    next += delta.substr(sizeof header);
    next += base.substr(base.size() - header.suffix);
    return next;
  }

 private:
  struct Header {
    std::uint64_t base_hash;
    std::uint32_t prefix;
    std::uint32_t suffix;
  };
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_SPLICE_BODY_H_
