// Interface through which dissemination computes and applies deltas.
#ifndef SAPPHIRESTREAM_DOMAIN_CONFIG_BODY_H_
#define SAPPHIRESTREAM_DOMAIN_CONFIG_BODY_H_

#include <optional>
#include <string>
#include <string_view>

namespace sapphirestream {

// Computes and applies deltas between configuration bodies, which are opaque
// bytes to this module.
class ConfigBody {
 public:
  virtual ~ConfigBody() = default;
  // Returns a delta that turns `base` into `next`.
  [[nodiscard]] virtual std::string Diff(std::string_view base,
                                         std::string_view next) const = 0;
  // Returns `base` with `delta` applied, or nothing if the delta does not match
  // the base.
  [[nodiscard]] virtual std::optional<std::string> Apply(
      std::string_view base, std::string_view delta) const = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CONFIG_BODY_H_
