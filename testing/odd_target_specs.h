// Entries that other writers may leave among those of the targets.
#ifndef SAPPHIRESTREAM_TESTING_ODD_TARGET_SPECS_H_
#define SAPPHIRESTREAM_TESTING_ODD_TARGET_SPECS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace sapphirestream::testing {

// Returns the spec of a valid entry, as JSON, in which one field has another
// value, or is missing if the value is empty.
[[nodiscard]] std::string TargetSpecWith(const std::string& field,
                                         const std::string& value);
// Returns an array that contains `depth - 1` arrays within each other.
[[nodiscard]] std::string NestedArrays(std::size_t depth);
// Specs that name no target to use. Those of the first list are nested deeply
// or contain text that is no Unicode, so that a JSON library may reject them;
// those of the second one have names, numbers or addresses out of range.
[[nodiscard]] std::vector<std::string> UndecodableTargetSpecs();
[[nodiscard]] std::vector<std::string> OutOfRangeTargetSpecs();
// Each field of a valid entry in turn is missing, or of each other JSON type.
[[nodiscard]] std::vector<std::string> ForeignTargetSpecs();

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_ODD_TARGET_SPECS_H_
