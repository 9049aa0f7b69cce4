// Counters of the exchange between instances.
#ifndef SAPPHIRESTREAM_EDGE_PEER_COUNTERS_H_
#define SAPPHIRESTREAM_EDGE_PEER_COUNTERS_H_

#include <array>
#include <cstddef>
#include <string>

#include "sapphirestream/base/counter.h"
#include "sapphirestream/edge/peer_message.h"

namespace sapphirestream {

// All counters exist from the start, so that a missing one is not mistaken for
// zero. Bytes include IP and UDP headers.
struct PeerCounters {
  explicit PeerCounters(CounterSet& counters)
      : known(counters.Emplace("peers_known")),
        neighbors(counters.Emplace("peers_neighbors")),
        sent(counters.Emplace("peer_messages_sent_total")),
        sent_bytes(counters.Emplace("peer_sent_bytes_total")),
        received(counters.Emplace("peer_messages_received_total")),
        received_bytes(counters.Emplace("peer_received_bytes_total")),
        revisions_learned(counters.Emplace("peer_revisions_learned_total")) {
    for (std::size_t i = 0; i < kPeerRejections; ++i) {
      const auto reason = static_cast<PeerRejection>(i);
      rejected[i] = &counters.Emplace("peer_messages_rejected_total{reason=\"" +
                                      std::string(Name(reason)) + "\"}");
    }
  }

  void Reject(PeerRejection reason) const {
    rejected[static_cast<std::size_t>(reason)]->Add();
  }

  Counter& known;
  Counter& neighbors;
  Counter& sent;
  Counter& sent_bytes;
  Counter& received;
  Counter& received_bytes;
  // Reads of the store that peers told and that were later than all known ones.
  Counter& revisions_learned;
  std::array<Counter*, kPeerRejections> rejected{};
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_PEER_COUNTERS_H_
