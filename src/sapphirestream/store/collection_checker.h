// Bounds the age of the local views of a store's collections.
#ifndef SAPPHIRESTREAM_STORE_COLLECTION_CHECKER_H_
#define SAPPHIRESTREAM_STORE_COLLECTION_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/checked_collection.h"
#include "sapphirestream/store/epoch.h"
#include "sapphirestream/store/revision_clock.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream {

// Times of the checks that keep a view younger than a bound.
struct CheckTiming {
  // Age at which a view is checked.
  Duration interval{};
  // Deadline of one check. A second one on a new connection still completes the
  // view within the bound.
  Duration deadline{};
  // Shortest pause between two checks that were requested.
  Duration request_pause{};
};

[[nodiscard]] CheckTiming CheckTimingFor(Duration max_age) noexcept;

// Watches bring changes early, but they tell nothing about the time up to which
// a view is complete: a cached reply may lag behind without limit, and a
// connection can go silent. So each view is checked at an interval that follows
// from the bound on its age. One current read serves all collections: the
// others need a cached read only, unless it lags behind the current one.
//
// Not thread-safe: all calls and callbacks happen on the control thread.
class CollectionChecker {
 public:
  // The references must outlive the checker.
  CollectionChecker(Timer& timer, const Clock& clock,
                    const RevisionClock& revision_clock)
      : timer_(timer), clock_(clock), revision_clock_(revision_clock) {}
  ~CollectionChecker() { timer_.Cancel(next_timer_); }
  CollectionChecker(const CollectionChecker&) = delete;
  CollectionChecker& operator=(const CollectionChecker&) = delete;

  // Spreads the checks of instances that tell each other the revisions that
  // they read: the first one reads currently, and cached reads of the others
  // follow. `random` must outlive the checker.
  void SpreadChecks(Random& random) noexcept;

  // Collections that were added first are read currently. `collection` must
  // outlive the checker.
  void Emplace(CheckedCollection& collection, Duration max_age);
  // Requests that the view is complete for the present time soon, because
  // something has happened that it may not explain. One check serves all
  // requests before it. The pause between requested checks doubles up to the
  // interval of the others, so that frequent requests cause no more calls than
  // these; it is the shortest one again after as long without a request, and
  // for another `version` of the view.
  void RequestCheck(const CheckedCollection& collection, std::uint64_t version);
  // Starts the checks that are due. Must be called when a list is complete and
  // when the store has recovered; otherwise the checker sets its own timers.
  void Run();

 private:
  struct Entry {
    CheckedCollection* collection = nullptr;
    CheckTiming timing;
    bool in_flight = false;
    // Consecutive failed checks.
    unsigned failures = 0;
    // End of the pause after a check that was rejected.
    TimePoint not_before{};
    // Latest current read, own or of a peer, for which a cached check was
    // tried.
    TimePoint tried_cached{};
    // The view must become complete for this time; unset before the first
    // request.
    TimePoint requested{};
    // Start of the next check that serves a request, at the earliest.
    TimePoint next_requested{};
    // Pause after that check.
    Duration request_pause{};
    // Version of the view at the last request.
    std::uint64_t requested_version = 0;
  };

  // Whether a check of another entry has shown that the store is away.
  [[nodiscard]] bool IsStoreAway() const;
  // Returns when the entry must be checked, or nothing if it cannot be.
  [[nodiscard]] std::optional<TimePoint> DueTime(const Entry& entry) const;
  // Whether the view is not complete yet for the time of a request.
  [[nodiscard]] static bool IsRequested(const Entry& entry);
  [[nodiscard]] Freshness FreshnessFor(Entry& entry) const;
  void SelectLead() noexcept;
  void Start(std::size_t index);
  void OnDone(std::size_t index, Freshness freshness, ErrorKind error);

  Timer& timer_;
  const Clock& clock_;
  const RevisionClock& revision_clock_;
  std::vector<Entry> entries_;
  // Null if the checks are not spread.
  Random* random_ = nullptr;
  // Share of the interval by which the next checks are early.
  double lead_ = 0;
  Epoch<CollectionChecker> epoch_{*this};
  TimerId next_timer_ = kNoTimer;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_COLLECTION_CHECKER_H_
