#include "sapphirestream/edge/client_shares.h"

#include <algorithm>

#include "sapphirestream/base/hash.h"

namespace sapphirestream {

double ClientShares::OnOpening(std::uint32_t client_address, TimePoint now) {
  Age(now);
  Entry& entry = EntryOf(client_address);
  entry.openings += 1;
  openings_ += 1;
  return PartOf(entry);
}

double ClientShares::PartOf(std::uint32_t client_address) const {
  for (const Entry& entry : sets_.at(SetOf(client_address))) {
    if (entry.openings > 0 && entry.address == client_address) {
      return PartOf(entry);
    }
  }
  return 1;
}

double ClientShares::PartOf(const Entry& entry) const {
  const double average = openings_ / static_cast<double>(clients_);
  const double fair = std::max(kMinFairCount, kFairMultiple * average);
  return std::min(1.0, fair / entry.openings);
}

std::size_t ClientShares::SetOf(std::uint32_t client_address) {
  return HashPair(client_address, kSets) % kSets;
}

void ClientShares::Age(TimePoint now) {
  const Duration elapsed = now - period_began_;
  if (elapsed < kPeriod) return;
  period_began_ = now;
  const float kept = elapsed < 2 * kPeriod ? 0.5F : 0.0F;
  openings_ = 0;
  clients_ = 0;
  for (auto& set : sets_) {
    for (Entry& entry : set) {
      entry.openings *= kept;
      // Openings of more than a period ago say little; the entry is reused.
      if (entry.openings < 0.5F) entry = {};
      openings_ += entry.openings;
      if (entry.openings > 0) ++clients_;
    }
  }
}

ClientShares::Entry& ClientShares::EntryOf(std::uint32_t client_address) {
  auto& set = sets_.at(SetOf(client_address));
  for (Entry& entry : set) {
    if (entry.openings > 0 && entry.address == client_address) return entry;
  }
  Entry& fewest = *std::min_element(
      set.begin(), set.end(),
      [](const Entry& a, const Entry& b) { return a.openings < b.openings; });
  if (fewest.openings > 0) {
    openings_ -= fewest.openings;
  } else {
    ++clients_;
  }
  fewest = {client_address, 0};
  return fewest;
}

}  // namespace sapphirestream
