// Connects PeerExchange to its socket and timer.
#ifndef SAPPHIRESTREAM_EDGE_IO_PEER_LINK_H_
#define SAPPHIRESTREAM_EDGE_IO_PEER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/counter.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/edge/peer_exchange.h"
#include "sapphirestream/edge_io/edge_settings.h"
#include "sapphirestream/edge_io/peer_port.h"

namespace sapphirestream {

class PeerLink {
 public:
  // Errors: kInternal if the address cannot be opened. `settings.peer` must be
  // set. The references must outlive the link.
  [[nodiscard]] static leaf::result<std::unique_ptr<PeerLink>> Open(
      boost::asio::io_context& context, const EdgeSettings& settings,
      SampleStore& store, StoreProgress& store_progress, Random& random,
      const Clock& clock, EventLog& log, CounterSet& counters);

  // Starts to exchange messages. `before_event` is called before each message
  // and timer is handled; it has to discard what was read from the store before
  // the machine was suspended, since the clocks of peers went on meanwhile.
  void Start(std::function<void()> before_event);
  // Replaces the seeds; only their IP addresses are used. Seeds that are not
  // IPv4 addresses are logged and ignored.
  void SetSeeds(const std::vector<Endpoint>& seeds);
  void SetStore(std::string_view identity) { exchange_->SetStore(identity); }
  // See PeerExchange::OnStoreRead.
  void OnStoreRead() { exchange_->OnStoreRead(clock_.Now()); }

 private:
  PeerLink(boost::asio::io_context& context, const Clock& clock, EventLog& log)
      : clock_(clock), log_(log), timer_(context) {}
  void Tick();

  const Clock& clock_;
  EventLog& log_;
  boost::asio::steady_timer timer_;
  std::function<void()> before_event_;
  std::unique_ptr<PeerPort> port_;
  std::unique_ptr<PeerExchange> exchange_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_EDGE_IO_PEER_LINK_H_
