// Deltas between two JSON texts that differ in only a few objects.
#ifndef SAPPHIRESTREAM_INSTANCE_TEXT_DELTA_H_
#define SAPPHIRESTREAM_INSTANCE_TEXT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/domain/config_body.h"

namespace sapphirestream {

// Splits both texts after closing braces and encodes the new one as copies of
// pieces of the old one and literal text. Works for any bytes.
class TextDelta final : public ConfigBody {
 public:
  // Larger results are rejected; the store does not hold larger bodies.
  static constexpr std::size_t kMaxBodySize = 64 << 20;

  [[nodiscard]] std::string Diff(std::string_view base,
                                 std::string_view next) const override;
  // Returns nothing if the hash of `base` or of the result does not match the
  // delta.
  [[nodiscard]] std::optional<std::string> Apply(
      std::string_view base, std::string_view delta) const override;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TEXT_DELTA_H_
