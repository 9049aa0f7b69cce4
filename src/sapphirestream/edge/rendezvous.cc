#include "sapphirestream/edge/rendezvous.h"

#include <array>
#include <bit>
#include <cmath>
#include <tuple>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {
namespace {

using internal::kLogFractionBits;

constexpr unsigned kTableBits = 8;
using LogTable = std::array<std::uint32_t, (1U << kTableBits) + 1>;

// Returns log2(1 + index / 256) by repeated squaring.
constexpr std::uint32_t TableEntry(std::uint32_t index) {
  constexpr std::uint64_t one = std::uint64_t{1} << 31U;
  std::uint64_t x = one + (std::uint64_t{index} << (31U - kTableBits));
  std::uint32_t log = 0;
  for (unsigned i = 0; i < kLogFractionBits; ++i) {
    x = x * x >> 31U;
    log <<= 1U;
    if (x >= 2 * one) {
      x >>= 1U;
      log |= 1U;
    }
  }
  return log;
}

constexpr LogTable MakeLogTable() {
  LogTable table{};
  for (std::uint32_t i = 0; i + 1 < table.size(); ++i) table[i] = TableEntry(i);
  table.back() = 1U << kLogFractionBits;
  return table;
}

constexpr LogTable kLogTable = MakeLogTable();

std::uint32_t FixedWeight(double weight) noexcept {
  // Also true for a value that is not a number.
  if (!(weight > RendezvousScore::kMinWeight)) {
    weight = RendezvousScore::kMinWeight;
  }
  if (weight > RendezvousScore::kMaxWeight) {
    weight = RendezvousScore::kMaxWeight;
  }
  return static_cast<std::uint32_t>(
      std::lround(weight * RendezvousScore::kWeightUnit));
}

}  // namespace

namespace internal {

std::uint64_t NegativeLog2(std::uint64_t hash) noexcept {
  if (hash == 0) return 0;
  const std::uint64_t rest = -hash;
  const auto leading_zeros = static_cast<unsigned>(std::countl_zero(rest));
  // The bits after the highest one, left-aligned.
  const std::uint64_t fraction = rest << leading_zeros << 1U;
  const std::uint64_t index = fraction >> (64U - kTableBits);
  constexpr unsigned step_bits = 24;
  const std::uint64_t step = fraction << kTableBits >> (64U - step_bits);
  const std::uint64_t low = kLogTable.at(index);
  const std::uint64_t high = kLogTable.at(index + 1);
  const std::uint64_t log = low + ((high - low) * step >> step_bits);
  return ((leading_zeros + std::uint64_t{1}) << kLogFractionBits) - log;
}

}  // namespace internal

RendezvousScore::RendezvousScore(std::uint64_t flow_hash, TargetKey target,
                                 double weight) noexcept
    : hash_(HashPair(flow_hash, Value(target))),
      distance_(internal::NegativeLog2(hash_)),
      weight_(FixedWeight(weight)),
      target_(target) {}

bool operator<(const RendezvousScore& a, const RendezvousScore& b) noexcept {
  return std::tuple(a.distance_ * b.weight_, a.hash_, a.target_) <
         std::tuple(b.distance_ * a.weight_, b.hash_, b.target_);
}

}  // namespace sapphirestream
