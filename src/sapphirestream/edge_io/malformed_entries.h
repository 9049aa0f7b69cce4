// Remembers which malformed entries of the store have been reported.
#ifndef SAPPHIRESTREAM_EDGE_IO_MALFORMED_ENTRIES_H_
#define SAPPHIRESTREAM_EDGE_IO_MALFORMED_ENTRIES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "sapphirestream/base/store_revision.h"

namespace sapphirestream {

// An entry may stay malformed for days, while each list contains it again.
class MalformedEntries {
 public:
  // If more entries are malformed, some of them are reported again.
  static constexpr std::size_t kMaxEntries = 1024;

  // Returns whether this revision of the entry is seen for the first time.
  bool Insert(std::string_view name, StoreRevision revision);
  [[nodiscard]] std::size_t size() const noexcept { return revisions_.size(); }

 private:
  std::map<std::string, StoreRevision, std::less<>> revisions_;
};

// Returns the start of a name, which any writer may have chosen, with dots in
// place of characters that are not printable ASCII.
[[nodiscard]] std::string PrintableName(std::string_view name);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_MALFORMED_ENTRIES_H_
