// Forward declarations and ids of module base.
#ifndef SAPPHIRESTREAM_BASE_FWD_H_
#define SAPPHIRESTREAM_BASE_FWD_H_

#include <cstdint>

namespace sapphirestream {

class Clock;
class Counter;
class CounterSet;
class Random;
enum class ErrorKind : std::uint8_t;

enum class ServiceId : std::uint32_t;
enum class TargetId : std::uint32_t;
enum class InstanceId : std::uint32_t;
enum class DomainId : std::uint16_t;
enum class ConfigVersion : std::uint64_t;
enum class Incarnation : std::uint64_t;

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_FWD_H_
