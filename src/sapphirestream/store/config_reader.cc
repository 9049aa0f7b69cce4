// Runs a loop: read the head, load its missing shards, watch the head. Each
// step has a timer because the store may never answer.
#include "sapphirestream/store/config_reader.h"

#include <algorithm>
#include <string>
#include <utility>

#include "sapphirestream/base/duration.h"
#include "sapphirestream/contract/change.h"

namespace sapphirestream {

ConfigReader::ConfigReader(ObjectStore& store, Timer& timer, const Clock& clock,
                           Random& random, CounterSet& counters,
                           const ConfigReaderOptions& options,
                           Callback on_update, LostCallback on_lost)
    : store_(store),
      timer_(timer),
      clock_(clock),
      random_(random),
      options_(options),
      on_update_(std::move(on_update)),
      on_lost_(std::move(on_lost)),
      backoff_(options.backoff),
      silent_watches_(counters.Emplace("config_silent_watches_total")),
      reverted_heads_(counters.Emplace("config_reverted_heads_total")),
      forked_heads_(counters.Emplace("config_forked_heads_total")),
      failures_(counters.Emplace("config_read_failures_total")) {}

ConfigReader::~ConfigReader() { Stop(); }

void ConfigReader::Start() {
  Stop();
  ReadHead();
}

void ConfigReader::Stop() {
  epoch_.Begin();
  timer_.Cancel(step_timer_);
  step_timer_ = kNoTimer;
}

void ConfigReader::Observe(std::shared_ptr<const Configuration> configuration) {
  if (!known_ || known_->version < configuration->version) {
    known_ = std::move(configuration);
  }
}

template <typename Step>
void ConfigReader::BeginStep(Duration delay, Step on_timer) {
  epoch_.Begin();
  timer_.Cancel(step_timer_);
  step_timer_ = timer_.After(delay, epoch_.Bind(std::move(on_timer)));
}

void ConfigReader::ReadHead() {
  BeginStep(options_.call_deadline + options_.watch_grace,
            [](ConfigReader& r) { r.ScheduleRetry(); });
  store_.Get(std::string(kHeadName), options_.call_deadline,
             epoch_.Bind([](ConfigReader& r, StoreResult<StoredObject> result) {
               r.OnHead(std::move(result));
             }));
}

void ConfigReader::Watch() {
  BeginStep(options_.watch_period + options_.watch_grace, [](ConfigReader& r) {
    r.silent_watches_.Add();
    r.ReadHead();
  });
  const TimePoint started = clock_.Now();
  store_.Watch(
      std::string(kHeadName), head_version_, options_.watch_period,
      epoch_.Bind([started](ConfigReader& r, StoreResult<StoredObject> result) {
        r.OnWatch(std::move(result), started);
      }));
}

void ConfigReader::OnWatch(StoreResult<StoredObject> result,
                           TimePoint started) {
  if (result.error == ErrorKind::kTimedOut) {
    // Prevents a tight loop if the store ends watches early.
    const Duration waited = clock_.Now() - started;
    ScheduleWatch(waited < options_.watch_period / 2
                      ? options_.watch_period - waited
                      : Duration::zero());
    return;
  }
  OnHead(std::move(result));
}

void ConfigReader::OnHead(StoreResult<StoredObject> result) {
  if (result.error == ErrorKind::kNotFound) {
    if (known_ && Value(known_->version) != 0) {
      OnReverted(result.value.version.era);
    } else {
      known_era_ = result.value.version.era;
      Deliver(std::make_shared<const Configuration>(InitialConfiguration()));
    }
    // A missing object cannot be watched, so it is polled.
    BeginStep(options_.watch_period, [](ConfigReader& r) { r.ReadHead(); });
    return;
  }
  if (result.error != ErrorKind::kNone) {
    ScheduleRetry();
    return;
  }
  LoadAfterJitter(std::move(result.value));
}

void ConfigReader::LoadAfterJitter(StoredObject head) {
  const Duration since_last = clock_.Now() - last_load_;
  const Duration spacing =
      std::max(Duration::zero(), options_.min_read_interval - since_last);
  BeginStep(spacing + Jitter(),
            [head = std::move(head)](ConfigReader& r) { r.Load(head); });
}

void ConfigReader::Load(const StoredObject& head) {
  BeginStep(options_.call_deadline * 4,
            [](ConfigReader& r) { r.ScheduleRetry(); });
  last_load_ = clock_.Now();
  head_version_ = head.version;
  LoadShards(store_, head, known_, options_.call_deadline,
             epoch_.Bind([](ConfigReader& r, const LoadResult& result) {
               r.OnLoaded(result);
             }));
}

void ConfigReader::OnLoaded(const LoadResult& result) {
  if (result.error.kind != ErrorKind::kNone) {
    ScheduleRetry();
    return;
  }
  backoff_.Reset();
  if (known_ && result.value.head->head.version < known_->version) {
    OnReverted(result.value.head_version.era);
  } else {
    known_era_ = result.value.head_version.era;
    const Configuration& stored = *result.value.configuration;
    const bool is_forked =
        known_ && stored.version == known_->version && stored != *known_;
    if (is_forked) forked_heads_.Add();
    Deliver(result.value.configuration);
  }
  ScheduleWatch(Duration::zero());
}

void ConfigReader::OnReverted(StoreEra era) {
  reverted_heads_.Add();
  const bool was_restored = known_era_ != kUnknownEra && known_era_ < era;
  if (was_restored && on_lost_) on_lost_(known_);
}

void ConfigReader::Deliver(std::shared_ptr<const Configuration> configuration) {
  if (known_ && configuration->version <= known_->version) return;
  known_ = std::move(configuration);
  on_update_(known_);
}

void ConfigReader::ScheduleRetry() {
  failures_.Add();
  BeginStep(backoff_.Next(random_), [](ConfigReader& r) { r.ReadHead(); });
}

void ConfigReader::ScheduleWatch(Duration delay) {
  BeginStep(delay, [](ConfigReader& r) { r.Watch(); });
}

Duration ConfigReader::Jitter() {
  return Scale(options_.read_jitter, random_.Unit());
}

}  // namespace sapphirestream
