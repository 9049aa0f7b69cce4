#include "sapphirestream/edge_io/peer_link.h"

#include <utility>

namespace sapphirestream {
namespace {

PeerExchangeOptions OptionsFor(const EdgeSettings& settings,
                               const PeerPort& port, Random& random) {
  PeerExchangeOptions options;
  options.own = port.local();
  options.id = PeerId{random.Next()};
  options.domain = settings.domain;
  for (const Endpoint& seed : settings.seeds) {
    // Seeds name another port of the instance.
    if (const auto address = ToV4(seed)) {
      options.seeds.push_back({address->address, options.own.port});
    }
  }
  return options;
}

}  // namespace

leaf::result<std::unique_ptr<PeerLink>> PeerLink::Open(
    boost::asio::io_context& context, const EdgeSettings& settings,
    SampleStore& store, Random& random, const Clock& clock, EventLog& log,
    CounterSet& counters) {
  std::unique_ptr<PeerLink> link(new PeerLink(context, clock));
  BOOST_LEAF_ASSIGN(
      link->port_,
      PeerPort::Open(context, *settings.peer, counters,
                     [self = link.get()](V4Endpoint from,
                                         std::span<const std::byte> datagram,
                                         Duration age) {
                       self->exchange_->OnDatagram(from, datagram, age,
                                                   self->clock_.Now());
                     }));
  link->exchange_ = std::make_unique<PeerExchange>(
      OptionsFor(settings, *link->port_, random), store, *link->port_, random,
      log, counters);
  return link;
}

void PeerLink::Start() {
  port_->Start();
  Tick();
}

void PeerLink::Tick() {
  exchange_->Tick(clock_.Now());
  timer_.expires_after(PeerExchange::kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

}  // namespace sapphirestream
