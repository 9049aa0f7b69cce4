// Bounded table of flow records. The records of each state are also linked in
// the order in which they were last seen.
#ifndef SAPPHIRESTREAM_FLOW_FLOW_TABLE_H_
#define SAPPHIRESTREAM_FLOW_FLOW_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/flow/flow_record.h"

namespace sapphirestream {

// Index of a record; valid until the record is erased.
enum class RecordId : std::uint32_t {};

class FlowTable {
 public:
  explicit FlowTable(std::size_t capacity);

  // Returns the record of a flow or null. Pointers stay valid until the next
  // Emplace.
  [[nodiscard]] FlowRecord* Find(const FlowKey& key,
                                 std::uint64_t hash) noexcept;
  // Adds a record for a flow that has none. Returns null if the table is full.
  FlowRecord* Emplace(const FlowKey& key, std::uint64_t hash, RecordState state,
                      TimePoint now);
  // Updates the state of a record and the time its flow was last seen.
  void Touch(FlowRecord& record, RecordState state, TimePoint now) noexcept;
  void Erase(FlowRecord& record) noexcept;
  // Returns the least recently seen record in a state, or null.
  [[nodiscard]] FlowRecord* Oldest(RecordState state) noexcept;
  // Returns the record at a position in [0, slots()), or null if it is free.
  [[nodiscard]] FlowRecord* At(std::size_t position) noexcept;

  [[nodiscard]] std::size_t slots() const noexcept { return nodes_.size(); }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] bool full() const noexcept { return size_ == capacity_; }

 private:
  static constexpr std::uint32_t kNone = 0xffffffffU;
  static constexpr std::size_t kStateCount = 4;

  // Must be the first member: IndexOf casts the address of a record to its
  // node.
  struct Node {
    FlowRecord record;
    std::uint32_t previous = kNone;
    std::uint32_t next = kNone;
    // Next node in the same hash chain, or in the free list.
    std::uint32_t chain = kNone;
    bool is_used = false;
  };
  struct List {
    std::uint32_t head = kNone;
    std::uint32_t tail = kNone;
  };

  [[nodiscard]] std::uint32_t IndexOf(const FlowRecord& record) const noexcept;
  [[nodiscard]] std::uint32_t& Chain(std::uint64_t hash) noexcept;
  void Link(std::uint32_t index) noexcept;
  void Unlink(std::uint32_t index) noexcept;
  void Grow();

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::uint32_t free_ = kNone;
  std::vector<Node> nodes_;
  // Heads of the hash chains; the size is a power of two.
  std::vector<std::uint32_t> chains_;
  std::array<List, kStateCount> lists_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_FLOW_TABLE_H_
