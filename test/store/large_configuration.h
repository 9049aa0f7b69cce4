// Large configurations, of the size expected in two years.
#ifndef SAPPHIRESTREAM_TEST_STORE_LARGE_CONFIGURATION_H_
#define SAPPHIRESTREAM_TEST_STORE_LARGE_CONFIGURATION_H_

#include <cstdint>
#include <string>

#include "sapphirestream/contract/change.h"

namespace sapphirestream::sample {

// Returns `services` services with `targets` targets each. The names have a
// realistic length and the change history is full.
inline Configuration Large(std::uint32_t services, std::uint32_t targets) {
  const WallTime now{std::chrono::seconds(1'800'000'000)};
  Configuration out = InitialConfiguration();
  out.version = ConfigVersion{100'000};
  for (std::uint32_t s = 1; s <= services; ++s) {
    Service service;
    service.id = ServiceId{s};
    service.name = "region-4.order-desk." + std::to_string(s);
    service.address = {MakeV4(10, 1, static_cast<std::uint8_t>(s >> 8U),
                              static_cast<std::uint8_t>(s)),
                       443};
    service.version = ConfigVersion{s};
    for (std::uint32_t t = 0; t < targets; ++t) {
      const std::uint32_t n = out.next_target_id++;
      Target target;
      target.id = TargetId{n};
      target.tunnel = {MakeV4(10, static_cast<std::uint8_t>(128 + (n >> 16U)),
                              static_cast<std::uint8_t>(n >> 8U),
                              static_cast<std::uint8_t>(n)),
                       6081};
      target.domain = DomainId{static_cast<std::uint16_t>(t % 12)};
      target.added = ConfigVersion{s};
      target.added_at = now;
      service.targets.push_back(target);
    }
    out.services.push_back(service);
  }
  for (std::uint64_t i = 0; i < kMaxRecentChanges; ++i) {
    const auto version = Value(out.version) - kMaxRecentChanges + 1 + i;
    out.recent_changes.push_back(
        {"0b9f3c1e-2d84-4a55-9c1b-" + std::to_string(version),
         ConfigVersion{version},
         "operator",
         "add_target region-4.order-desk.12345 10.129.33.44:6081",
         {"service/region-4.order-desk.12345/target/10.129.33.44:6081"},
         now});
  }
  return out;
}

}  // namespace sapphirestream::sample

#endif  // SAPPHIRESTREAM_TEST_STORE_LARGE_CONFIGURATION_H_
