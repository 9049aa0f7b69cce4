// Deltas between two JSON texts, which differ in a few objects only.
#ifndef SAPPHIRESTREAM_INSTANCE_TEXT_DELTA_H_
#define SAPPHIRESTREAM_INSTANCE_TEXT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirestream/domain/config_body.h"

namespace sapphirestream {

// Cuts both texts after each closing brace and describes the new one as runs of
// the old one's pieces and literal text. Works for any bytes.
class TextDelta final : public ConfigBody {
 public:
  // Larger results are refused; the store keeps no larger objects together.
  static constexpr std::size_t kMaxBodySize = 64 << 20;

  [[nodiscard]] std::string Diff(std::string_view base,
                                 std::string_view next) const override;
  // Returns nothing if `base` is not the one that the delta was made from, or
  // if the result is not the text that it was made for.
  [[nodiscard]] std::optional<std::string> Apply(
      std::string_view base, std::string_view delta) const override;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_TEXT_DELTA_H_
