// A preset: a set of policy settings that operators activate together.
#ifndef SAPPHIRESTREAM_CONTRACT_PRESET_H_
#define SAPPHIRESTREAM_CONTRACT_PRESET_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace sapphirestream {

struct Preset {
  std::string name;
  // Share of the flows of idempotent services that are placed by load and
  // therefore recorded, in thousandths; 0 to 1,000. Higher values improve the
  // balance, lower values need fewer records and redirects.
  std::uint32_t load_share_permille = 200;
  // Requests per slot, in thousandths, above which a domain's flows spill to
  // other domains; 1 to 100,000.
  std::uint32_t spill_permille = 1000;
  // The score must fall this far below the threshold before spilling stops.
  std::uint32_t spill_hysteresis_permille = 200;
  // Time over which the share of a new target ramps up to its full value; 0 to
  // 600 s.
  std::chrono::milliseconds slow_start{30'000};
  // Maximum time that the first packet of a flow waits for a slot; 0 to 60 s.
  std::chrono::milliseconds max_wait{2'000};
  // Usable share of the slots and connections of a target, in thousandths; 1 to
  // 1,000. Lowering it slows clients down.
  std::uint32_t capacity_permille = 1000;
  // Limit on redirects and retries as a share of first packets, in thousandths;
  // 0 to 10,000.
  std::uint32_t retry_permille = 200;

  bool operator==(const Preset&) const = default;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_CONTRACT_PRESET_H_
