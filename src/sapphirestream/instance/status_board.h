// How far the newest configuration has come, by domain: one object per domain
// in the store, `status/<domain>`, written by one instance of the domain after
// each change of the figures and read when an operator asks.
#ifndef SAPPHIRESTREAM_INSTANCE_STATUS_BOARD_H_
#define SAPPHIRESTREAM_INSTANCE_STATUS_BOARD_H_

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
  // The version that the counts are about.
  ConfigVersion version{};
  std::uint32_t live = 0;
  std::uint32_t prepared = 0;
  std::uint32_t active = 0;
  // Live instances that have not activated the version.
  std::vector<InstanceId> lagging;

  bool operator==(const DomainStatus&) const = default;
};

class StatusBoard {
 public:
  // Least time between two writes; several instances confirm within it.
  static constexpr Duration kWriteInterval = std::chrono::milliseconds(500);
  // Wait after a failed write.
  static constexpr Duration kRetryInterval = std::chrono::seconds(5);
  static constexpr Duration kDeadline = std::chrono::seconds(1);

  using Done = std::function<void(std::vector<DomainStatus>)>;

  explicit StatusBoard(ObjectStore& store) : store_(store) {}

  // Writes the status of the own domain if it has changed and a write is due.
  // Called by the one instance that writes for its domain.
  void Write(const DomainStatus& status, TimePoint now);
  // Reads the status of domains and calls `done` once; those that cannot be
  // read are left out.
  void Read(std::span<const DomainId> domains, Done done);

 private:
  void Put(const std::string& name, TimePoint now);

  ObjectStore& store_;
  DomainStatus written_;
  // What the write under way writes.
  DomainStatus pending_;
  ObjectVersion object_version_ = kMustNotExist;
  // Another instance may have written the object before.
  bool must_look_ = true;
  bool is_writing_ = false;
  TimePoint next_write_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_STATUS_BOARD_H_
