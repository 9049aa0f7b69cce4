// Recent openings of each client, so that the retries of a few clients do not
// crowd out the others under overload.
#ifndef SAPPHIRESTREAM_EDGE_CLIENT_SHARES_H_
#define SAPPHIRESTREAM_EDGE_CLIENT_SHARES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "sapphirestream/base/clock.h"

namespace sapphirestream {

// Counts openings by client address; ports change with each attempt. Clients
// that open rarely may be missing.
class ClientShares {
 public:
  // Entries for 512 clients; clients that open more often replace the others.
  static constexpr std::size_t kSets = 256;
  static constexpr std::size_t kWays = 2;
  // Counts are halved after each period. A client makes its attempts at one
  // request within a few periods.
  static constexpr Duration kPeriod = std::chrono::seconds(1);
  // A client with three attempts at one request is never limited.
  static constexpr double kMinFairCount = 3;
  // A client is limited above this multiple of the average client's openings.
  static constexpr double kFairMultiple = 2;

  // Counts an opening and returns the part of it, above 0 and at most 1, that
  // lies within the client's fair share.
  double OnOpening(std::uint32_t client_address, TimePoint now);
  // Returns the part of the client's last opening that was within its fair
  // share; 1 if there is none.
  [[nodiscard]] double PartOf(std::uint32_t client_address) const;

 private:
  struct Entry {
    std::uint32_t address = 0;
    // Zero if the entry is free.
    float openings = 0;
  };

  void Age(TimePoint now);
  [[nodiscard]] static std::size_t SetOf(std::uint32_t client_address);
  [[nodiscard]] double PartOf(const Entry& entry) const;
  // Returns the client's entry, which replaces that with fewest openings.
  [[nodiscard]] Entry& EntryOf(std::uint32_t client_address);

  std::array<std::array<Entry, kWays>, kSets> sets_{};
  // Sums over all entries.
  double openings_ = 0;
  std::size_t clients_ = 0;
  TimePoint period_began_{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_CLIENT_SHARES_H_
