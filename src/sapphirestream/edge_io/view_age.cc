#include "sapphirestream/edge_io/view_age.h"

#include <chrono>
#include <cstdint>

namespace sapphirestream {
namespace {

std::string Labelled(std::string_view name, std::string_view collection) {
  return std::string(name) + "{collection=\"" + std::string(collection) + "\"}";
}

}  // namespace

ViewAge::ViewAge(std::string_view collection, EventLog& log,
                 CounterSet& counters)
    : collection_(collection),
      log_(log),
      age_(counters.Emplace(Labelled("view_age_ms", collection))),
      stale_(counters.Emplace(Labelled("view_stale_total", collection))) {}

void ViewAge::Report(TimePoint now) {
  if (complete_until_ == TimePoint{}) return;
  const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - complete_until_)
                          .count();
  age_.Set(static_cast<std::uint64_t>(age_ms));
  const bool is_stale = now - complete_until_ > bound_;
  if (is_stale == is_stale_) return;
  is_stale_ = is_stale;
  if (is_stale) {
    stale_.Add();
    log_.Write(LogLevel::kWarn, "view_stale",
               {{"collection", collection_}, {"age_ms", age_ms}});
  } else {
    log_.Write(LogLevel::kInfo, "view_current",
               {{"collection", collection_}, {"age_ms", age_ms}});
  }
}

}  // namespace sapphirestream
