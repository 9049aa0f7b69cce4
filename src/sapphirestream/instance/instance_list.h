// Discovers the other instances from the platform's list and, until that was
// read for the first time, from the settings.
#ifndef SAPPHIRESTREAM_INSTANCE_INSTANCE_LIST_H_
#define SAPPHIRESTREAM_INSTANCE_INSTANCE_LIST_H_

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/domain/membership.h"
#include "sapphirestream/instance/settings.h"
#include "sapphirestream/store/object_store.h"

namespace sapphirestream {

class InstanceList {
 public:
  // Mean time between two reads. Shorter intervals would not help, since the
  // list lags by more than this.
  static constexpr Duration kInterval = std::chrono::seconds(5);
  static constexpr Duration kDeadline = std::chrono::seconds(2);

  using Addresses = std::unordered_map<InstanceId, Endpoint>;
  // Called after each successful read.
  using Handler = std::function<void(std::span<const InstanceListing> instances,
                                     const Addresses& addresses)>;

  InstanceList(ObjectStore& store, Random& random, EventLog& log,
               Handler handler)
      : store_(store),
        random_(random),
        log_(log),
        handler_(std::move(handler)) {}

  // Passes the instances from the settings to the handler.
  void Start(std::span<const KnownPeer> peers);
  // Reads the list if a read is due.
  void OnTimer(TimePoint now);

 private:
  void OnListed(const std::vector<ListedInstance>& listed);

  ObjectStore& store_;
  Random& random_;
  EventLog& log_;
  Handler handler_;
  TimePoint next_read_;
  bool is_reading_ = false;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_INSTANCE_LIST_H_
