// Failure domains that operators evacuate: their targets get no new flows.
#ifndef SAPPHIRESTREAM_EDGE_EVACUATIONS_H_
#define SAPPHIRESTREAM_EDGE_EVACUATIONS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/store_revision.h"
#include "sapphirestream/edge/fwd.h"

namespace sapphirestream {

// Entry that requests the evacuation of the failure domain that it is named
// after.
struct Evacuation {
  bool operator==(const Evacuation&) const = default;
};

class Evacuations {
 public:
  // After the store was restored from an older copy, operators write their
  // entries again within this time. Until then a missing one stays in force.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2500);

  // A domain whose evacuation began or ended.
  struct Change {
    std::string domain;
    bool evacuated = false;
  };
  using Changes = std::vector<Change>;

  // `targets` must outlive this object.
  explicit Evacuations(TargetDirectory& targets) : targets_(targets) {}

  // Applies an entry or its removal, unless a later revision is known.
  Changes Set(const std::string& domain, bool evacuated, StoreRevision revision,
              TimePoint now);
  // Applies a complete list: the revisions of the entries by domain, and that
  // of the list. What is known from later revisions stays. The first list after
  // the store was restored may lack entries that were written after the copy.
  Changes Replace(const std::map<std::string, StoreRevision>& entries,
                  StoreRevision revision, TimePoint now);
  // Ends evacuations whose entry was not written again. `complete_until`: the
  // view contains every change acknowledged before.
  Changes Expire(TimePoint complete_until);
  // Whether a read that begins now decides about a missing entry.
  [[nodiscard]] bool IsReadDue(TimePoint now) const;

  // Makes the next entry of each domain count, whatever its revision; for use
  // when another store is read.
  void ForgetRevisions() noexcept;

  // Number of evacuated domains.
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Entry {
    bool evacuated = false;
    // Of the entry, or of the removal or the list that ended it.
    StoreRevision revision;
    // When the entry was found missing from a restored store; unset otherwise.
    TimePoint missing_since{};
  };

  // `at`: when the evacuation began or ended. Returns whether this is a change.
  bool Update(const std::string& domain, Entry& entry, bool evacuated,
              StoreRevision revision, TimePoint at);

  TargetDirectory& targets_;
  // By domain. Ended ones stay until a list is read that is younger.
  std::map<std::string, Entry> entries_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_EVACUATIONS_H_
