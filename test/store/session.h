// Fixture with a fake store in virtual time, and writers and readers on it.
#ifndef SAPPHIRESTREAM_TEST_STORE_SESSION_H_
#define SAPPHIRESTREAM_TEST_STORE_SESSION_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/store/config_reader.h"
#include "sapphirestream/store/config_writer.h"
#include "test/contract/sample.h"
#include "testing/fake_store.h"
#include "testing/virtual_time.h"

namespace sapphirestream {

struct Session {
  testing::VirtualTime time;
  testing::FakeStore store{time};
  SeededRandom random{1};
  CounterSet counters;

  // Returns a separate writer, as on another instance.
  std::unique_ptr<ConfigWriter> MakeWriter(ConfigWriter::Review review = {}) {
    return std::make_unique<ConfigWriter>(
        store, time, time, random, ConfigWriterOptions{}, std::move(review));
  }
  // Submits a change through `writer` and runs until it has completed.
  ChangeOutcome Run(ConfigWriter& writer, const Change& change) {
    ChangeOutcome outcome;
    outcome.error.kind = ErrorKind::kTimedOut;
    writer.Submit(change, [&](const ChangeOutcome& o) { outcome = o; });
    time.RunFor(std::chrono::minutes(1));
    return outcome;
  }
  // Creates the configuration of sample::TwoTargets in the store.
  void SetUp() {
    const auto writer = MakeWriter();
    Preset peak;
    peak.name = "peak";
    Run(*writer,
        sample::MakeChange("setup",
                           {CreateService{"orders", ServiceId{7},
                                          Endpoint{MakeV4(10, 0, 0, 1), 443},
                                          FlowKind::kRequest, false},
                            sample::Add(1), sample::Add(2), PutPreset{peak}}));
  }
  // Loads the whole configuration, as a starting instance does.
  std::shared_ptr<const Configuration> Load() {
    LoadResult result;
    LoadConfig(store, nullptr, std::chrono::seconds(1),
               [&](LoadResult a) { result = std::move(a); });
    time.RunFor(std::chrono::seconds(10));
    return result.value.configuration;
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_SESSION_H_
