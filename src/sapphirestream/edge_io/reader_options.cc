#include "sapphirestream/edge_io/reader_options.h"

#include <algorithm>

namespace sapphirestream {
namespace {

// Options of a reader whose view must be younger than `max_age` again soon
// after an outage.
CollectionReaderOptions ReaderOptions(Duration max_age) {
  constexpr int probe_divisor = 2;
  constexpr int backoff_divisor = 3;
  CollectionReaderOptions options;
  // Changes tolerate the delay of cached reads; CollectionChecker bounds it.
  options.freshness = Freshness::kCached;
  options.max_probe_deadline = max_age / probe_divisor;
  options.backoff.cap =
      std::min(options.backoff.cap, max_age / backoff_divisor);
  return options;
}

}  // namespace

CollectionReaderOptions TargetOptions(const EdgeSettings& settings) {
  CollectionReaderOptions options = ReaderOptions(settings.drain_bound);
  options.watch_timeout = settings.cached_wait;
  options.min_watch_interval = settings.target_pause;
  return options;
}

CollectionReaderOptions RouteOptions(const EdgeSettings& settings) {
  CollectionReaderOptions options = ReaderOptions(settings.config_bound);
  options.watch_timeout = settings.watch_wait;
  options.min_watch_interval = ConfigWatchInterval(settings);
  return options;
}

CollectionReaderOptions EvacuationOptions(const EdgeSettings& settings) {
  CollectionReaderOptions options = ReaderOptions(settings.evacuation_bound);
  options.watch_timeout = settings.watch_wait;
  options.min_watch_interval = settings.target_pause;
  return options;
}

}  // namespace sapphirestream
