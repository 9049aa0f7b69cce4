// Where the other instances are: from the platform's list and, until it was
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
  // Time between two reads; the list lags by more than that anyway.
  static constexpr Duration kInterval = std::chrono::seconds(5);
  static constexpr Duration kDeadline = std::chrono::seconds(2);

  using Addresses = std::unordered_map<InstanceId, Endpoint>;
  // Called with every new list.
  using Handler = std::function<void(std::span<const InstanceListing> instances,
                                     const Addresses& addresses)>;

  InstanceList(ObjectStore& store, Random& random, EventLog& log,
               Handler handler)
      : store_(store),
        random_(random),
        log_(log),
        handler_(std::move(handler)) {}

  // Reports the instances of the settings.
  void Start(std::span<const KnownPeer> peers);
  // Reads the list when it is due.
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
