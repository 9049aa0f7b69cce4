// The configuration as the instance sees it: read from the store and from
// peers, spread to peers, and changed for operators.
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
#include "sapphirestream/store/config_writer.h"

namespace sapphirestream {

class ConfigService {
 public:
  // What the service uses; all outlive it.
  struct Borders {
    ObjectStore& store;
    Timer& timer;
    const Clock& clock;
    Random& random;
    CounterSet& counters;
    DomainSink& sink;
    EventLog& log;
  };
  // Called after the newest or the active configuration changed.
  using Handler = std::function<void()>;

  ConfigService(const Dissemination::Options& options, const Borders& borders,
                Handler on_change);

  void OnView(const MemberView& view);
  void OnMessage(InstanceId from, const DomainMessage& message);
  void OnReport(const LoadReport& report) { loads_.OnReport(report); }
  void OnTimer();
  // Accepts a change through the store; calls `done` once.
  void Submit(const Change& change, ConfigWriter::Done done);

  // Both null before the first configuration.
  [[nodiscard]] const std::shared_ptr<const Configuration>& newest()
      const noexcept {
    return newest_;
  }
  [[nodiscard]] const std::shared_ptr<const Configuration>& active()
      const noexcept {
    return active_;
  }
  // Whether a peer lately confirmed the active configuration, or no other
  // instance is known.
  [[nodiscard]] bool IsConfirmed(TimePoint now) const noexcept {
    return is_alone_ || dissemination_.IsConfirmed(now);
  }
  // Counts of the domain if this instance is the root of its relay tree,
  // otherwise those of its subtree.
  [[nodiscard]] ConfigConfirm counts() const { return dissemination_.status(); }

 private:
  // Takes a configuration from the store.
  void OnStored(const std::shared_ptr<const Configuration>& configuration);
  [[nodiscard]] leaf::result<ChangeEffect> Review(const Configuration& before,
                                                  const Configuration& after);
  // Follows Dissemination after each of its events.
  void Follow();
  [[nodiscard]] std::shared_ptr<const Configuration> Parsed(
      const HeldVersion& held);

  const Borders borders_;
  const InstanceId self_;
  const Handler on_change_;
  const TextDelta format_;
  Dissemination dissemination_;
  LoadView loads_;
  ConfigReader reader_;
  ConfigWriter writer_;
  bool is_reading_ = false;
  bool is_alone_ = true;
  std::uint64_t seen_revision_ = 0;
  // Prepared and active configurations.
  std::map<ConfigVersion, std::shared_ptr<const Configuration>> parsed_;
  std::shared_ptr<const Configuration> newest_;
  std::shared_ptr<const Configuration> active_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_CONFIG_SERVICE_H_
