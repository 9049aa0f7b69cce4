// Collects the pages of a list into one consistent list.
#ifndef SAPPHIRESTREAM_STORE_PAGED_LIST_H_
#define SAPPHIRESTREAM_STORE_PAGED_LIST_H_

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/store/collection.h"

namespace sapphirestream {

template <typename Record>
class PagedList {
 public:
  using Item = CollectionItem<Record>;

  void Clear() noexcept {
    items_.clear();
    last_name_.clear();
    revision_.reset();
    is_mixed_ = false;
    bytes_ = 0;
  }
  // Adds the next page. Precondition: it is from the era of the pages before.
  // Returns whether it has a name after which another page can be read.
  bool Append(CollectionReply<Record> page) {
    const std::string before = last_name_;
    for (const Item& item : page.items) {
      if (!item.name.empty()) last_name_ = item.name;
    }
    std::move(page.items.begin(), page.items.end(), std::back_inserter(items_));
    if (revision_ && *revision_ != page.revision) is_mixed_ = true;
    revision_ = std::min(revision_.value_or(page.revision), page.revision);
    bytes_ += page.bytes;
    return last_name_ != before;
  }
  // Applies a change that was made after the list.
  void Apply(Item change) {
    const auto listed = std::find_if(
        items_.begin(), items_.end(),
        [&](const Item& item) { return item.name == change.name; });
    if (listed == items_.end()) {
      items_.push_back(std::move(change));
    } else {
      *listed = std::move(change);
    }
    std::erase_if(items_, [](const Item& item) { return item.deleted; });
  }
  // Returns the items and clears the list.
  [[nodiscard]] std::vector<Item> Take() {
    revision_.reset();
    return std::exchange(items_, {});
  }

  // Name after which the next page starts; empty for the first page.
  [[nodiscard]] const std::string& last_name() const noexcept {
    return last_name_;
  }
  // Lowest revision of the pages. The first watch starts from it, so that it
  // returns changes made while the pages were read and changes missing from
  // cached pages. Precondition: there is a page.
  [[nodiscard]] StoreRevision revision() const noexcept { return *revision_; }
  // Size of the replies that contained the pages.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  // Whether the pages are of different revisions: an item of the one may have
  // been replaced by one that the other does not have yet.
  [[nodiscard]] bool is_mixed() const noexcept { return is_mixed_; }
  // Whether no page has been added yet.
  [[nodiscard]] bool is_empty() const noexcept { return !revision_; }

 private:
  std::vector<Item> items_;
  // Last name that could be decoded.
  std::string last_name_;
  // Empty before the first page.
  std::optional<StoreRevision> revision_;
  bool is_mixed_ = false;
  std::size_t bytes_ = 0;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_PAGED_LIST_H_
