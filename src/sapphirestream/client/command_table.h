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
  kNo,       // a flag without a value that sets the field to false
  kNumbers,  // a list such as `1,2,3`
};

// A flag and the JSON field of the operation that it sets. Ranges are checked
// by the instance.
struct FlagRow {
  std::string_view flag;
  std::string_view field;
  FieldType type;
  std::string_view help;
};

// A command of one or two words with operands.
struct CommandRow {
  std::string_view noun;
  std::string_view verb;
  // Operands in order, as JSON fields of the operation.
  std::span<const FlagRow> operands;
  // Of a change: the operation. Empty for a read.
  std::string_view operation;
  // Of a read: the path; `{}` stands for the operand.
  std::string_view path;
  std::span<const FlagRow> flags;
  // Flags, from the first one on, that must be given.
  std::size_t required_flags;
  // Whether the fields are those of an object `preset` inside the operation.
  bool is_preset;
  std::string_view help;
};

// Returns all commands.
[[nodiscard]] std::span<const CommandRow> Commands() noexcept;

}  // namespace sapphirestream::internal

#endif  // SAPPHIRESTREAM_CLIENT_COMMAND_TABLE_H_
