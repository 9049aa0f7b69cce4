// Strong id types. Objects are stored in containers and refer to each other by
// id.
#ifndef SAPPHIRESTREAM_BASE_ID_H_
#define SAPPHIRESTREAM_BASE_ID_H_

#include <cstdint>
#include <functional>
#include <type_traits>

namespace sapphirestream {

// Identifies a service; at most 24 bits, since it is the Geneve network
// identifier.
enum class ServiceId : std::uint32_t {};

// Identifies one incarnation of a target: an address that is removed and added
// again gets a new id. Zero means "no target".
enum class TargetId : std::uint32_t {};

// Identifies an instance. Zero means "no instance" (the packet came from the
// fabric).
enum class InstanceId : std::uint32_t {};

// Identifies a failure domain.
enum class DomainId : std::uint16_t {};

// Version of an accepted configuration; incremented by one with every change.
enum class ConfigVersion : std::uint64_t {};

// Distinguishes runs of an instance; a later run has a higher value.
enum class Incarnation : std::uint64_t {};

inline constexpr std::uint32_t kMaxServiceId = (1U << 24) - 1;
inline constexpr TargetId kNoTarget{0};
inline constexpr InstanceId kNoInstance{0};

// Returns the numeric value of an id, for codecs, hashing and logs.
template <typename Id>
requires std::is_enum_v<Id>
[[nodiscard]] constexpr std::underlying_type_t<Id> Value(Id id) noexcept {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_ID_H_
