// Sample configurations and changes for tests.
#ifndef SAPPHIRESTREAM_TEST_CONTRACT_SAMPLE_H_
#define SAPPHIRESTREAM_TEST_CONTRACT_SAMPLE_H_

#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/contract/change.h"

namespace sapphirestream::sample {

inline constexpr WallTime kNow{std::chrono::seconds(1'000'000)};

inline Endpoint Tunnel(std::uint8_t n) { return {MakeV4(127, 0, 1, n), 6081}; }

inline Change MakeChange(std::string id, std::vector<Operation> operations) {
  return Change{std::move(id), "ana", false, std::move(operations)};
}

inline Operation Add(std::uint8_t n) {
  return AddTarget{"orders", Tunnel(n), DomainId{1}, 2, 2000, 100};
}
inline Operation Remove(std::uint8_t n) {
  return RemoveTarget{"orders", Tunnel(n)};
}

// Returns a configuration with service `orders` (id 7) with targets 1 and 2,
// and presets `ordinary` (in force) and `peak`.
inline Configuration TwoTargets() {
  Preset peak;
  peak.name = "peak";
  return Apply(InitialConfiguration(),
               MakeChange("setup",
                          {CreateService{"orders", ServiceId{7},
                                         Endpoint{MakeV4(10, 0, 0, 1), 443},
                                         FlowKind::kRequest, false},
                           Add(1), Add(2), PutPreset{peak}}),
               kNow)
      .value();
}

// Runs `call` and returns its error, which has kind kNone on success.
template <typename Call>
Error ErrorOf(Call call) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Error> {
        BOOST_LEAF_CHECK(call());
        return Error{ErrorKind::kNone, ""};
      },
      [](const Error& error) { return error; },
      [] {
        return Error{ErrorKind::kInternal, "error without detail"};
      });
}

}  // namespace sapphirestream::sample

#endif  // SAPPHIRESTREAM_TEST_CONTRACT_SAMPLE_H_
