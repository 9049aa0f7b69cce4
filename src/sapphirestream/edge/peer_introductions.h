// Instances of any failure domain that have introduced themselves to this one,
// which is a seed. Instances of different domains exchange nothing else.
#ifndef SAPPHIRESTREAM_EDGE_PEER_INTRODUCTIONS_H_
#define SAPPHIRESTREAM_EDGE_PEER_INTRODUCTIONS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/edge/peer_message.h"
#include "sapphirestream/edge/v4_endpoint.h"

namespace sapphirestream {

class PeerIntroductions {
 public:
  static constexpr std::size_t kMaxDomains = 32;
  // Per domain; the oldest is replaced. The addresses are random points of the
  // domain's ring, so that one of them is near any asker.
  static constexpr std::size_t kMaxAddresses = 64;
  // Exceeds the time between two introductions of an instance that represents
  // its neighbors at three seeds in turn.
  static constexpr Duration kMaxAge = std::chrono::seconds(120);

  void Add(DomainHash domain, V4Endpoint address, TimePoint now);
  // Erases old introductions.
  void Expire(TimePoint now);
  [[nodiscard]] std::vector<V4Endpoint> AddressesOf(DomainHash domain) const;

 private:
  struct Introduction {
    V4Endpoint address;
    TimePoint at;
  };

  // Ordered by time in each domain, oldest first.
  std::map<DomainHash, std::vector<Introduction>> domains_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_INTRODUCTIONS_H_
