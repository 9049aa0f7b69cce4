#include "sapphirestream/edge_io/peer_link.h"

#include <algorithm>
#include <utility>

namespace sapphirestream {
namespace {

// Returns the addresses of the seeds' peer ports: they name other ports, and
// the peer port is the same on all instances. Messages are exchanged over IPv4,
// so other seeds are logged and left out.
std::vector<V4Endpoint> PeerAddressesOf(const std::vector<Endpoint>& seeds,
                                        std::uint16_t port, EventLog& log) {
  std::vector<V4Endpoint> addresses;
  for (const Endpoint& seed : seeds) {
    if (const auto address = ToV4(seed)) {
      addresses.push_back({address->address, port});
    } else {
      log.Write(LogLevel::kWarn, "seed_ignored",
                {{"seed", ToString(seed)}, {"reason", "not_ipv4"}});
    }
  }
  return addresses;
}

PeerExchangeOptions OptionsFor(const EdgeSettings& settings,
                               const PeerPort& port, Random& random,
                               EventLog& log) {
  PeerExchangeOptions options;
  options.own = port.local();
  // Zero is no valid id.
  options.id = PeerId{std::max<std::uint64_t>(random.Next(), 1)};
  options.domain = settings.domain;
  options.store = settings.StoreIdentity();
  options.seeds = PeerAddressesOf(settings.seeds, options.own.port, log);
  return options;
}

}  // namespace

leaf::result<std::unique_ptr<PeerLink>> PeerLink::Open(
    boost::asio::io_context& context, const EdgeSettings& settings,
    SampleStore& store, StoreProgress& store_progress, Random& random,
    const Clock& clock, EventLog& log, CounterSet& counters) {
  std::unique_ptr<PeerLink> link(new PeerLink(context, clock, log));
  BOOST_LEAF_ASSIGN(
      link->port_,
      PeerPort::Open(context, *settings.peer, log, counters,
                     [self = link.get()](V4Endpoint from,
                                         std::span<const std::byte> datagram,
                                         Duration age) {
                       self->before_event_();
                       self->exchange_->OnDatagram(from, datagram, age,
                                                   self->clock_.Now());
                     }));
  link->exchange_ = std::make_unique<PeerExchange>(
      OptionsFor(settings, *link->port_, random, log), store, store_progress,
      *link->port_, random, log, counters, clock.Now());
  return link;
}

void PeerLink::SetSeeds(const std::vector<Endpoint>& seeds) {
  exchange_->SetSeeds(PeerAddressesOf(seeds, port_->local().port, log_));
}

void PeerLink::Start(std::function<void()> before_event) {
  before_event_ = std::move(before_event);
  port_->Start();
  Tick();
}

void PeerLink::Tick() {
  before_event_();
  exchange_->Tick(clock_.Now());
  timer_.expires_after(PeerExchange::kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

}  // namespace sapphirestream
