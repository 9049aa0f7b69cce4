// Options of a soak test, and what it counts.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_SOAK_OPTIONS_H_
#define SAPPHIRESTREAM_TESTING_SOAK_SOAK_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>

namespace sapphirestream::soak {

struct SoakOptions {
  // The program under test.
  std::string program;
  std::filesystem::path folder;
  std::uint64_t seed = 1;
  // Time with faults. After it all faults end, and every request must be
  // answered again.
  std::chrono::seconds length{10};
  std::uint32_t instances = 4;
  // Second byte of the loopback addresses; allows several soak tests in
  // parallel.
  std::uint8_t net = 0;
};

struct SoakCounts {
  std::uint64_t flows = 0;
  std::uint64_t answered = 0;
  std::uint64_t retried = 0;
  std::uint64_t given_up = 0;
  std::uint64_t config_checks = 0;
  // Flows from a port that an earlier flow had.
  std::uint64_t reused_ports = 0;
  // Opening packets sent after the bound on the removal of a living target's
  // entry, wherever they went.
  std::uint64_t removal_checks = 0;
  // Flows whose route was removed meanwhile, and those of them that were reset.
  std::uint64_t removed_flows = 0;
  std::uint64_t told_flows = 0;
  // Opening packets sent after the bound on an evacuation that was in force,
  // wherever they went.
  std::uint64_t evacuation_checks = 0;
  // New flows at cold targets of the service that limits them.
  std::uint64_t cold_flows = 0;
  // Those at new targets, and of instances that knew that the target's domain
  // had been evacuated.
  std::uint64_t limited_cold_flows = 0;
  // Flows that failed without an unplanned fault while their service had no
  // target that all instances could use.
  std::uint64_t unserved = 0;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_SOAK_OPTIONS_H_
