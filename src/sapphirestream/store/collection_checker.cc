#include "sapphirestream/store/collection_checker.h"

#include <algorithm>
#include <chrono>

#include "sapphirestream/base/duration.h"

namespace sapphirestream {
namespace {

constexpr Duration kMaxCheckDeadline = std::chrono::seconds(1);
// Pause after a check that the store rejected, or that did not complete the
// view.
constexpr Duration kPause = std::chrono::milliseconds(500);
// Failed checks after which the store counts as unavailable. The first one may
// have met a silent connection, which is replaced by the next one.
constexpr unsigned kMaxFailures = 2;

// Share of the interval for which a current read counts as recent.
constexpr double kRecentShare = 0.5;
// Largest share of the interval by which a check is early. The first read of
// several instances has to be recent when the last of them checks.
constexpr double kMaxLead = 0.25;
static_assert(kMaxLead < kRecentShare);

}  // namespace

CheckTiming CheckTimingFor(Duration max_age) noexcept {
  constexpr int deadline_divisor = 4;
  // Left for the reply of the second check, and for late timers.
  constexpr int margin_divisor = 20;
  constexpr int request_divisor = 10;
  CheckTiming timing;
  timing.deadline = std::min(kMaxCheckDeadline, max_age / deadline_divisor);
  timing.interval = max_age - timing.deadline - max_age / margin_divisor;
  timing.request_pause = max_age / request_divisor;
  return timing;
}

void CollectionChecker::Emplace(CheckedCollection& collection,
                                Duration max_age) {
  Entry& entry = entries_.emplace_back();
  entry.collection = &collection;
  entry.timing = CheckTimingFor(max_age);
}

std::optional<TimePoint> CollectionChecker::DueTime(const Entry& entry) const {
  const TimePoint complete_until = entry.collection->CompleteUntil();
  if (!entry.collection->IsCheckable()) return std::nullopt;
  const Duration lead = Scale(entry.timing.interval, lead_);
  TimePoint due = complete_until + entry.timing.interval - lead;
  if (IsRequested(entry)) due = std::min(due, entry.next_requested);
  return std::max(due, entry.not_before);
}

bool CollectionChecker::IsRequested(const Entry& entry) {
  return entry.requested > entry.collection->CompleteUntil();
}

void CollectionChecker::RequestCheck(const CheckedCollection& collection,
                                     std::uint64_t version) {
  const auto it = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const Entry& entry) { return entry.collection == &collection; });
  if (it == entries_.end()) return;
  Entry& entry = *it;
  const TimePoint now = clock_.Now();
  if (now >= entry.next_requested + entry.timing.interval ||
      version != entry.requested_version) {
    entry.next_requested = now;
    entry.request_pause = entry.timing.request_pause;
  }
  entry.requested = now;
  entry.requested_version = version;
  Run();
}

Freshness CollectionChecker::FreshnessFor(Entry& entry) const {
  const TimePoint latest = revision_clock_.LatestTime();
  const bool is_recent =
      latest >= entry.requested &&
      clock_.Now() - latest < Scale(entry.timing.interval, kRecentShare);
  if (!is_recent || entry.tried_cached == latest) return Freshness::kCurrent;
  entry.tried_cached = latest;
  return Freshness::kCached;
}

void CollectionChecker::SpreadChecks(Random& random) noexcept {
  random_ = &random;
  SelectLead();
}

void CollectionChecker::SelectLead() noexcept {
  if (random_ != nullptr) lead_ = random_->Unit() * kMaxLead;
}

void CollectionChecker::Run() {
  timer_.Cancel(next_timer_);
  const bool is_busy =
      std::any_of(entries_.begin(), entries_.end(),
                  [](const Entry& entry) { return entry.in_flight; });
  if (is_busy) return;
  std::optional<TimePoint> next;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const auto due = DueTime(entries_[i]);
    if (!due) continue;
    if (*due <= clock_.Now()) return Start(i);
    if (!next || *due < *next) next = due;
  }
  if (!next) return;
  next_timer_ =
      timer_.After(*next - clock_.Now(),
                   epoch_.Bind([](CollectionChecker& self) { self.Run(); }));
}

void CollectionChecker::Start(std::size_t index) {
  Entry& entry = entries_[index];
  entry.in_flight = true;
  if (IsRequested(entry)) {
    entry.next_requested = clock_.Now() + entry.request_pause;
    entry.request_pause =
        std::min(2 * entry.request_pause, entry.timing.interval);
  }
  const Freshness freshness = FreshnessFor(entry);
  entry.collection->Check(
      freshness, entry.timing.deadline,
      epoch_.Bind([index, freshness](CollectionChecker& self, ErrorKind error) {
        self.OnDone(index, freshness, error);
      }));
}

bool CollectionChecker::IsStoreAway() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const Entry& entry) {
    return entry.collection->IsAway();
  });
}

void CollectionChecker::OnDone(std::size_t index, Freshness freshness,
                               ErrorKind error) {
  Entry& entry = entries_[index];
  entry.in_flight = false;
  entry.not_before = {};
  if (error == ErrorKind::kNone) {
    entry.failures = 0;
    const auto due = DueTime(entry);
    const bool is_still_due = due && *due <= clock_.Now();
    if (!is_still_due) {
      SelectLead();
    } else if (freshness == Freshness::kCurrent) {
      entry.not_before = clock_.Now() + kPause;
    }
  } else if (error == ErrorKind::kRateLimited) {
    entry.not_before = clock_.Now() + kPause;
  } else if (++entry.failures >= kMaxFailures || IsStoreAway()) {
    entry.failures = 0;
    entry.collection->OnChecksFailed(error);
  }
  Run();
}

}  // namespace sapphirestream
