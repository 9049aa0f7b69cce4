// The objects that a change touches, and whether racing changes contradict each
// other.
#ifndef SAPPHIRESTREAM_CONTRACT_TOUCHED_H_
#define SAPPHIRESTREAM_CONTRACT_TOUCHED_H_

#include <string>
#include <vector>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/configuration.h"

namespace sapphirestream {

// Returns the paths of the objects that the change touches, sorted and unique.
[[nodiscard]] std::vector<std::string> TouchedBy(const Change& change);

// Returns whether the lists, both from TouchedBy, share a path or one has a
// path above one of the other's: deleting a service contradicts adding a target
// to it, while adding two different targets is compatible.
[[nodiscard]] bool Contradict(const std::vector<std::string>& a,
                              const std::vector<std::string>& b);

enum class RaceVerdict : std::uint8_t {
  kCompatible,    // the change may be re-applied to the head
  kContradicted,  // `winner` touches one of the same objects
  kForgotten,     // the head no longer remembers every change since the base
};

struct RaceOutcome {
  RaceVerdict verdict = RaceVerdict::kCompatible;
  // The accepted change that contradicts; its version is what operators get.
  ConfigVersion winner{};
};

// Judges a change that was made against version `base` when `head` is the
// newest accepted configuration.
[[nodiscard]] RaceOutcome JudgeRace(const Change& change, ConfigVersion base,
                                    const Configuration& head);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_TOUCHED_H_
