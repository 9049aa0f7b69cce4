// Entries that denote a target which another entry denotes already: names that
// differ in leading zeros or in case have the same key. One of them counts; the
// others are kept in case it is removed, or nobody answers at its address.
#ifndef SAPPHIRESTREAM_EDGE_IO_SPARE_ENTRIES_H_
#define SAPPHIRESTREAM_EDGE_IO_SPARE_ENTRIES_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sapphirestream/edge/target_record.h"
#include "sapphirestream/store/collection.h"

namespace sapphirestream {

class SpareEntries {
 public:
  using Item = CollectionItem<TargetRecord>;

  // Spare entries of a target; further ones are ignored.
  static constexpr std::size_t kMaxPerTarget = 4;

  // Keeps the latest state of an entry. One without a record is forgotten.
  // Returns whether the entry was not kept before.
  bool Put(TargetKey target, const Item& item);
  // Removes and returns an entry: the one of this name, or the one that was
  // kept first.
  [[nodiscard]] std::optional<Item> Take(TargetKey target,
                                         std::string_view name);
  [[nodiscard]] std::optional<Item> TakeFirst(TargetKey target);
  [[nodiscard]] bool contains(TargetKey target) const {
    return items_.contains(target);
  }
  // Returns the targets with spare entries.
  [[nodiscard]] std::vector<TargetKey> targets() const;
  void Clear() noexcept { items_.clear(); }

 private:
  std::unordered_map<TargetKey, std::vector<Item>> items_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_SPARE_ENTRIES_H_
