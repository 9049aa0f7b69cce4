// Keeps the configuration of this instance: reads it from the store and from
// peers, replicates it to peers, and submits the changes of operators.
#ifndef SAPPHIRESTREAM_INSTANCE_CONFIG_SERVICE_H_
#define SAPPHIRESTREAM_INSTANCE_CONFIG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "sapphirestream/base/event_log.h"
#include "sapphirestream/contract/capacity.h"
#include "sapphirestream/domain/dissemination.h"
#include "sapphirestream/instance/load_view.h"
#include "sapphirestream/instance/text_delta.h"
#include "sapphirestream/store/config_reader.h"
#include "sapphirestream/store/config_restorer.h"
#include "sapphirestream/store/config_writer.h"

namespace sapphirestream {

class ConfigService {
 public:
  // Must outlive the service.
  struct Dependencies {
    ObjectStore& store;
    Timer& timer;
    const Clock& clock;
    Random& random;
    CounterSet& counters;
    DomainSink& sink;
    EventLog& log;
  };
  // Called after the newest or the active configuration has changed.
  using Handler = std::function<void()>;

  ConfigService(const Dissemination::Options& options,
                const Dependencies& dependencies, Handler on_change);

  void OnView(const MemberView& view);
  void OnMessage(InstanceId from, const DomainMessage& message);
  void OnReport(const LoadReport& report) { loads_.OnReport(report); }
  void OnTimer();
  // Commits a change to the store; calls `done` exactly once.
  void Submit(const Change& change, ConfigWriter::Done done);

  // Both are null before the first configuration.
  [[nodiscard]] const std::shared_ptr<const Configuration>& newest()
      const noexcept {
    return newest_;
  }
  [[nodiscard]] const std::shared_ptr<const Configuration>& active()
      const noexcept {
    return active_;
  }
  // Whether a peer has recently confirmed the active configuration, or no other
  // instance is known.
  [[nodiscard]] bool IsConfirmed(TimePoint now) const noexcept {
    return is_alone_ || dissemination_.IsConfirmed(now);
  }
  // Counts for the whole domain if this instance is the root of its relay tree,
  // otherwise for its subtree.
  [[nodiscard]] ConfigConfirm counts() const { return dissemination_.status(); }

 private:
  // Handles a configuration that was read from or written to the store.
  void OnStored(const std::shared_ptr<const Configuration>& configuration);
  // Handles a configuration that the store has lost.
  void OnLost(const std::shared_ptr<const Configuration>& configuration);
  // Checks a change against the announcements and the reported load, and
  // returns its effect.
  [[nodiscard]] leaf::result<ChangeEffect> Review(const Configuration& before,
                                                  const Configuration& after);
  // Updates the newest and active configurations from Dissemination; called
  // after each of its events.
  void UpdateConfigurations();
  [[nodiscard]] std::shared_ptr<const Configuration> GetOrParse(
      const HeldVersion& held);

  const Dependencies dependencies_;
  const InstanceId self_;
  const Handler on_change_;
  const TextDelta format_;
  Dissemination dissemination_;
  LoadView loads_;
  ConfigReader reader_;
  ConfigWriter writer_;
  ConfigRestorer restorer_;
  bool is_reading_ = false;
  bool is_alone_ = true;
  std::uint64_t seen_revision_ = 0;
  // Parsed versions that Dissemination holds.
  std::map<ConfigVersion, std::shared_ptr<const Configuration>> parsed_;
  std::shared_ptr<const Configuration> newest_;
  std::shared_ptr<const Configuration> active_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_CONFIG_SERVICE_H_
