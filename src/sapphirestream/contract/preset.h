// A preset: the policy settings that operators switch as one.
#ifndef SAPPHIRESTREAM_CONTRACT_PRESET_H_
#define SAPPHIRESTREAM_CONTRACT_PRESET_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace sapphirestream {

struct Preset {
  std::string name;
  // Share of the flows of idempotent services that are placed by load and hence
  // recorded, in thousandths; 0 to 1,000. More means better balance, less means
  // fewer records and redirects.
  std::uint32_t load_share_permille = 200;
  // Requests per slot, in thousandths, above which a domain's flows spill to
  // other domains; 1 to 100,000.
  std::uint32_t spill_permille = 1000;
  // The score must fall this far below the threshold before spilling stops.
  std::uint32_t spill_hysteresis_permille = 200;
  // Time over which a new target ramps up to its full share; 0 to 600 s.
  std::chrono::milliseconds slow_start{30'000};
  // Longest time that a first packet waits for a slot; 0 to 60 s.
  std::chrono::milliseconds max_wait{2'000};
  // Share of a target's slots and connections that may be used, in thousandths;
  // 1 to 1,000. Lowering it slows clients down.
  std::uint32_t capacity_permille = 1000;
  // Redirects and retries allowed as a share of first packets, in thousandths;
  // 0 to 10,000.
  std::uint32_t retry_permille = 200;

  bool operator==(const Preset&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_PRESET_H_
