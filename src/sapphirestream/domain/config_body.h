// What dissemination needs to know about the form of a configuration.
#ifndef SAPPHIRESTREAM_DOMAIN_CONFIG_BODY_H_
#define SAPPHIRESTREAM_DOMAIN_CONFIG_BODY_H_

#include <optional>
#include <string>
#include <string_view>

namespace sapphirestream {

// Makes and applies deltas between two bodies, which are opaque bytes here.
class ConfigBody {
 public:
  virtual ~ConfigBody() = default;
  // Returns a delta that leads from `base` to `next`.
  [[nodiscard]] virtual std::string Diff(std::string_view base,
                                         std::string_view next) const = 0;
  // Returns the body that `delta` makes of `base`; nothing if it does not fit.
  [[nodiscard]] virtual std::optional<std::string> Apply(
      std::string_view base, std::string_view delta) const = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CONFIG_BODY_H_
