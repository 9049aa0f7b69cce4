// Rollout status of the newest configuration, by domain. Each domain has one
// object in the store, `status/<domain>`, which one of its instances writes
// when the counts change. It is read for the status requests of operators.
#ifndef SAPPHIRESTREAM_INSTANCE_DOMAIN_STATUS_STORE_H_
#define SAPPHIRESTREAM_INSTANCE_DOMAIN_STATUS_STORE_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/store/object_store.h"

namespace sapphirestream {

struct DomainStatus {
  DomainId domain{};
  // The version that the counts refer to.
  ConfigVersion version{};
  std::uint32_t live = 0;
  std::uint32_t prepared = 0;
  std::uint32_t active = 0;
  // Live instances that have not activated the version.
  std::vector<InstanceId> lagging;

  bool operator==(const DomainStatus&) const = default;
};

class DomainStatusStore {
 public:
  // Minimum time between two writes; merges confirmations of several instances
  // into one.
  static constexpr Duration kWriteInterval = std::chrono::milliseconds(500);
  // Time after which an unchanged status is written again: the store may have
  // lost it in a restoration.
  static constexpr Duration kRefreshInterval = std::chrono::seconds(30);
  // Delay after a failed write.
  static constexpr Duration kRetryInterval = std::chrono::seconds(5);
  static constexpr Duration kDeadline = std::chrono::seconds(1);

  using Done = std::function<void(std::vector<DomainStatus>)>;

  explicit DomainStatusStore(ObjectStore& store) : store_(store) {}

  // Writes the status of this instance's domain if it has changed, or was
  // written kRefreshInterval ago, and a write is due. Must be called by only
  // one instance of each domain.
  void Write(const DomainStatus& status, TimePoint now);
  // Reads the status of domains and calls `done` exactly once. Omits domains
  // whose status cannot be read.
  void Read(std::span<const DomainId> domains, Done done);

 private:
  void Put(const std::string& name, TimePoint now);

  ObjectStore& store_;
  DomainStatus last_written_;
  // Status in the write that is in progress.
  DomainStatus being_written_;
  ObjectVersion object_version_ = kMustNotExist;
  // Whether object_version_ may be outdated, since another instance may have
  // written the object.
  bool must_read_version_ = true;
  bool is_writing_ = false;
  TimePoint next_write_;
  // When an unchanged status is written again.
  TimePoint next_refresh_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_DOMAIN_STATUS_STORE_H_
