#include "sapphirestream/edge_io/malformed_entries.h"

#include <algorithm>

namespace sapphirestream {

bool MalformedEntries::Insert(std::string_view name, StoreRevision revision) {
  const auto it = revisions_.find(name);
  if (it != revisions_.end()) {
    const bool is_new = it->second != revision;
    it->second = revision;
    return is_new;
  }
  if (revisions_.size() >= kMaxEntries) revisions_.clear();
  revisions_.emplace(name, revision);
  return true;
}

std::string PrintableName(std::string_view name) {
  constexpr std::size_t max_size = 64;
  constexpr char first_printable = ' ';
  constexpr char last_printable = '~';
  std::string text(name.substr(0, max_size));
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return c < first_printable || c > last_printable; }, '.');
  return text;
}

}  // namespace sapphirestream
