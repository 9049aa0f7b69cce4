// Fixture of the tests of EdgeView: a view of a store whose readers the test
// plays.
#ifndef SAPPHIRESTREAM_TEST_EDGE_IO_EDGE_VIEW_FIXTURE_H_
#define SAPPHIRESTREAM_TEST_EDGE_IO_EDGE_VIEW_FIXTURE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/edge_io/edge_view.h"
#include "test/edge/sample.h"
#include "testing/manual_clock.h"

namespace sapphirestream {

// The name of an entry starts with the digit of its target's key.
inline std::optional<TargetKey> KeyOfDigit(std::string_view name) {
  return TargetKey{static_cast<std::uint64_t>(name.front() - '0')};
}

inline StoreRevision At(std::uint64_t number) { return {StoreEra{1}, number}; }

inline CollectionItem<TargetRecord> Item(std::uint64_t key,
                                         std::uint64_t revision) {
  return {std::to_string(key), At(revision), false, sample::Target(key, "a")};
}

struct EdgeViewFixture : LogSink {
  void Write(LogLevel /*level*/, const std::string& line) override {
    lines.push_back(line);
  }
  CollectionObserver<TargetRecord>& observer() {
    return view.target_observer();
  }
  void ReadRoutes(std::uint64_t version) {
    view.route_observer().OnSnapshot(
        {{"main", At(version), false, sample::Routes(version)}}, At(version));
  }
  TargetPresence PresenceOf(std::uint64_t key) {
    return targets.Find(TargetKey{key})->presence;
  }

  std::vector<std::string> lines;
  testing::ManualClock clock;
  EventLog log{*this, clock, 1000};
  CounterSet counters;
  RouteTable routes;
  TargetDirectory targets{routes, "a"};
  EdgeLog flow_log{log, routes};
  int reads = 0;
  int recoveries = 0;
  // Last era that a reader was told to read a list of.
  StoreEra restored = kUnknownEra;
  EdgeView view{
      routes,
      targets,
      flow_log,
      log,
      clock,
      counters,
      KeyOfDigit,
      {.on_read = [this] { ++reads; },
       .on_store_recovered = [this] { ++recoveries; },
       .on_store_restored = [this](StoreEra era) { restored = era; }}};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_EDGE_IO_EDGE_VIEW_FIXTURE_H_
