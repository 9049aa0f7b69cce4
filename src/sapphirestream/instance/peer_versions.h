// The configuration versions that other instances report in their heartbeats.
#ifndef SAPPHIRESTREAM_INSTANCE_PEER_VERSIONS_H_
#define SAPPHIRESTREAM_INSTANCE_PEER_VERSIONS_H_

#include <map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/id.h"
#include "sapphirestream/domain/member_view.h"
#include "sapphirestream/domain/message.h"

namespace sapphirestream {

class PeerVersions {
 public:
  // Without a confirmation for this long, contact counts as lost.
  static constexpr Duration kContactLimit = std::chrono::seconds(2);

  struct Versions {
    ConfigVersion prepared{};
    ConfigVersion active{};
    TimePoint heard;
  };

  void OnHeartbeat(InstanceId from, const Heartbeat& heartbeat, TimePoint now);
  // Forgets instances that are not in the view.
  void OnView(const MemberView& view);

  // Returns the lowest version prepared by `own` and all eligible members; zero
  // if one of them has not been heard.
  [[nodiscard]] ConfigVersion PreparedByAll(const MemberView& view,
                                            InstanceId self,
                                            ConfigVersion own) const;
  // Whether some peer lately confirmed `version`, or there is no peer that
  // could. A dead peer counts as one that could: the two may be cut off from
  // each other.
  [[nodiscard]] bool IsConfirmed(const MemberView& view, InstanceId self,
                                 ConfigVersion version, TimePoint now) const;
  // Returns what the instance reported; zeros if it was not heard.
  [[nodiscard]] Versions Of(InstanceId id) const;

 private:
  std::map<InstanceId, Versions> by_instance_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_PEER_VERSIONS_H_
