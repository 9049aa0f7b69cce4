// Lifecycle of a configuration version on one instance; the transition table is
// in docs/lifecycles.md, section "Configuration version".
#ifndef SAPPHIRESTREAM_DOMAIN_CONFIG_LIFECYCLE_H_
#define SAPPHIRESTREAM_DOMAIN_CONFIG_LIFECYCLE_H_

#include <cstdint>
#include <memory>
#include <string_view>

namespace sapphirestream {

enum class ConfigState : std::uint8_t {
  kPrepared,
  kActive,
  kRetained,
  kDropped,
};

[[nodiscard]] std::string_view Name(ConfigState state) noexcept;

enum class ConfigEvent : std::uint8_t {
  // All live instances prepared it, or the wait for them timed out.
  kActivated,
  // A higher version became active.
  kSuperseded,
  // The retention time is over: no flow without a record depends on it.
  kIdle,
};

class ConfigLifecycle {
 public:
  // Starts in kPrepared.
  ConfigLifecycle();
  ~ConfigLifecycle();
  ConfigLifecycle(ConfigLifecycle&&) noexcept;
  ConfigLifecycle& operator=(ConfigLifecycle&&) noexcept;

  [[nodiscard]] ConfigState state() const noexcept;
  // Applies an event; returns whether the state changed.
  bool Process(ConfigEvent event);

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_DOMAIN_CONFIG_LIFECYCLE_H_
