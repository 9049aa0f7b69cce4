// A store, time and operators for the tests of module store.
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

  // A writer of its own, as on another instance.
  std::unique_ptr<ConfigWriter> MakeWriter(ConfigWriter::Review review = {}) {
    return std::make_unique<ConfigWriter>(
        store, time, time, random, ConfigWriterOptions{}, std::move(review));
  }
  // Submits through `writer` and lets the change end.
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
        sample::Of("setup", {CreateService{"orders", ServiceId{7},
                                           Endpoint{MakeV4(10, 0, 0, 1), 443},
                                           FlowKind::kRequest, false},
                             sample::Add(1), sample::Add(2), PutPreset{peak}}));
  }
  // Reads the whole configuration back, as an instance that starts.
  std::shared_ptr<const Configuration> Load() {
    LoadAnswer answer;
    LoadConfig(store, nullptr, std::chrono::seconds(1),
               [&](LoadAnswer a) { answer = std::move(a); });
    time.RunFor(std::chrono::seconds(10));
    return answer.value.configuration;
  }
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_TEST_STORE_SESSION_H_
