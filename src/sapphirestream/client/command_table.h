// The commands of sapphirectl and the fields that their flags set.
#ifndef SAPPHIRESTREAM_CLIENT_COMMAND_TABLE_H_
#define SAPPHIRESTREAM_CLIENT_COMMAND_TABLE_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace sapphirestream::internal {

enum class FieldType : std::uint8_t {
  kText,
  kNumber,
  kTime,     // milliseconds since 1970 in JSON
  kFalse,    // flag without a value; sets the field to false
  kNumbers,  // list such as `1,2,3`
};

// A flag and the JSON field of the operation that it sets. The instance checks
// ranges.
struct FlagSpec {
  std::string_view flag;
  std::string_view field;
  FieldType type;
  std::string_view help;
};

// A command of a noun, an optional verb, operands and flags.
struct CommandSpec {
  std::string_view noun;
  std::string_view verb;
  // Operands in order, as JSON fields of the operation.
  std::span<const FlagSpec> operands;
  // Name of the operation for a change, empty for a read.
  std::string_view operation;
  // Path for a read; `{}` is replaced by the operand.
  std::string_view path;
  std::span<const FlagSpec> flags;
  // The first `required_flags` flags must be given.
  std::size_t required_flags;
  // Whether the fields belong to an object `preset` inside the operation.
  bool is_preset;
  std::string_view help;
};

[[nodiscard]] std::span<const CommandSpec> Commands() noexcept;

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_CLIENT_COMMAND_TABLE_H_
