// Fixed-size cache of flows whose target was reported by their owner.
#ifndef SAPPHIRESTREAM_FLOW_LEARNED_TABLE_H_
#define SAPPHIRESTREAM_FLOW_LEARNED_TABLE_H_

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/flow/flow_key.h"

namespace sapphirestream {

// Eight-way set-associative cache; a full set evicts its oldest entry. An
// evicted entry costs one redirect. Does not allocate after construction.
class LearnedTable {
 public:
  struct Entry {
    FlowKey key;
    TargetId target = kNoTarget;
    TimePoint learned;
  };

  // `capacity` is rounded up to a power of two and to at least one set.
  explicit LearnedTable(std::size_t capacity)
      : sets_(std::bit_ceil(std::max(capacity, kWays)) / kWays) {}

  // Returns the entry of a flow or null.
  [[nodiscard]] const Entry* Find(const FlowKey& key,
                                  std::uint64_t hash) const noexcept {
    for (const Entry& entry : SetOf(hash)) {
      if (entry.target != kNoTarget && entry.key == key) return &entry;
    }
    return nullptr;
  }

  void Emplace(const FlowKey& key, std::uint64_t hash, TargetId target,
               TimePoint now) noexcept {
    Set& set = SetOf(hash);
    Entry* chosen = &set[0];
    for (Entry& entry : set) {
      if (entry.target != kNoTarget && entry.key == key) {
        chosen = &entry;
        break;
      }
      if (IsOlder(entry, *chosen)) chosen = &entry;
    }
    if (chosen->target == kNoTarget) ++size_;
    *chosen = Entry{key, target, now};
  }

  void Erase(const FlowKey& key, std::uint64_t hash) noexcept {
    for (Entry& entry : SetOf(hash)) {
      if (entry.target == kNoTarget || !(entry.key == key)) continue;
      entry = Entry{};
      --size_;
    }
  }

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  static constexpr std::size_t kWays = 8;
  using Set = std::array<Entry, kWays>;

  // An empty entry is older than any other.
  static bool IsOlder(const Entry& a, const Entry& b) noexcept {
    if (b.target == kNoTarget) return false;
    return a.target == kNoTarget || a.learned < b.learned;
  }
  [[nodiscard]] std::size_t IndexOf(std::uint64_t hash) const noexcept {
    // Uses the middle bits. The high bits select the bucket and the low bits
    // decide about placement by load, so either would crowd such flows into a
    // few sets.
    return (hash >> 16) & (sets_.size() - 1);
  }
  Set& SetOf(std::uint64_t hash) noexcept { return sets_[IndexOf(hash)]; }
  [[nodiscard]] const Set& SetOf(std::uint64_t hash) const noexcept {
    return sets_[IndexOf(hash)];
  }

  std::vector<Set> sets_;
  std::size_t size_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_LEARNED_TABLE_H_
