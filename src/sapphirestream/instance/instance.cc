// Construction, control loop and planned stop of an instance.
#include "sapphirestream/instance/instance.h"

#include <unistd.h>

#include <array>
#include <boost/asio/post.hpp>
#include <csignal>
#include <random>
#include <type_traits>
#include <utility>

namespace sapphirestream {
namespace {

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

// Increases from run to run unless the wall clock is set back by more than the
// time between two starts.
Incarnation MakeIncarnation(const Clock& clock) {
  return Incarnation{
      static_cast<std::uint64_t>(clock.WallNow().time_since_epoch().count())};
}

// Converts between message variants; empty if `To` has no such alternative.
template <typename To, typename From>
std::optional<To> ConvertTo(From& message) {
  return std::visit(
      [](auto& m) -> std::optional<To> {
        if constexpr (std::is_constructible_v<To, decltype(std::move(m))>) {
          return To(std::move(m));
        } else {
          return std::nullopt;
        }
      },
      message);
}

}  // namespace

Instance::Instance(const Settings& settings, const Clock& clock, EventLog& log,
                   const StoreFactory& make_store)
    : settings_(settings),
      clock_(clock),
      log_(log),
      random_(RandomSeed()),
      incarnation_(MakeIncarnation(clock)),
      started_(clock.Now()),
      tick_(io_),
      signals_(io_, SIGTERM, SIGINT),
      // The stream descriptor closes its own duplicate.
      wakeup_readable_(io_, ::dup(wakeup_.fd())),
      api_(*this),
      store_(make_store(io_)),
      timer_(io_),
      membership_({.self = settings.instance_id,
                   .domain = settings.domain,
                   .incarnation = incarnation_,
                   .ready = false},
                  *this, random_, started_),
      list_(*store_, random_, log,
            [this](auto instances, const auto& addresses) {
              OnInstances(instances, addresses);
            }),
      config_({.self = settings.instance_id,
               .domain = settings.domain,
               .retention = settings.idle_timeout},
              {*store_, timer_, clock, random_, counters_, *this, log},
              [this] { OnConfiguration(); }),
      status_store_(*store_) {}

Instance::~Instance() {
  for (const auto& thread : threads_) thread->Stop();
}

leaf::result<std::unique_ptr<Instance>> Instance::Open(
    const Settings& settings, const Clock& clock, EventLog& log,
    const StoreFactory& make_store) {
  std::unique_ptr<Instance> instance(
      new Instance(settings, clock, log, make_store));
  BOOST_LEAF_CHECK(instance->OpenSockets());
  return instance;
}

leaf::result<void> Instance::OpenSockets() {
  std::vector<TrafficQueues*> queues;
  for (std::uint32_t i = 0; i < settings_.traffic_threads; ++i) {
    BOOST_LEAF_AUTO(
        thread,
        TrafficThread::Open(
            {.self = settings_.instance_id,
             .incarnation = incarnation_,
             .key = settings_.peer_key,
             .index = static_cast<std::uint16_t>(i),
             .data = settings_.data,
             .peer_address = settings_.peer.address,
             .fast_path = {.learned_capacity = settings_.learned_capacity}},
            {clock_, state_, wakeup_, counters_}));
    queues.push_back(&thread->queues());
    threads_.push_back(std::move(thread));
  }
  BOOST_LEAF_AUTO(packets,
                  UdpSocket::Open({.local = {settings_.data.address, 0}}));
  packets_.emplace(std::move(packets));
  BOOST_LEAF_ASSIGN(peers_, PeerTransport::Open(io_,
                                                {.self = settings_.instance_id,
                                                 .incarnation = incarnation_,
                                                 .key = settings_.peer_key,
                                                 .local = settings_.peer},
                                                counters_));
  BOOST_LEAF_ASSIGN(report_receiver_, TargetReportReceiver::Open(
                                          io_, settings_.report, counters_));
  BOOST_LEAF_ASSIGN(http_,
                    HttpServer::Open(io_, settings_.http,
                                     [this](const HttpRequest& request,
                                            const HttpServer::Reply& reply) {
                                       api_.Handle(request, reply);
                                     }));
  dispatcher_ = std::make_unique<FlowDispatcher>(
      FlowDispatcher::Options{
          .self = settings_.instance_id,
          .return_path = settings_.return_path,
          .steering = {.record_capacity = settings_.record_capacity,
                       .hold_capacity = settings_.hold_capacity,
                       .idle_timeout = settings_.idle_timeout}},
      FlowDispatcher::Dependencies{clock_, *this, *peers_, placers_, counters_},
      std::move(queues));
  publisher_ = std::make_unique<SnapshotPublisher>(
      SnapshotPublisher::Options{.self = settings_.instance_id,
                                 .own_domain = settings_.domain,
                                 .idle_timeout = settings_.idle_timeout},
      state_, *dispatcher_, counters_);
  return {};
}

void Instance::Run() {
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (!error) BeginStop();
  });
  peers_->Start([this](InstanceId from, PeerMessage message) {
    OnPeerMessage(from, std::move(message));
  });
  report_receiver_->Start(
      [this](const TargetReport& report) { OnTargetReport(report); });
  list_.Start(settings_.peers);
  AwaitWakeup();
  ScheduleTick();
  for (const auto& thread : threads_) thread->Start();
  log_.Write(LogLevel::kInfo, "started",
             {{"instance", Value(settings_.instance_id)},
              {"domain", Value(settings_.domain)},
              {"incarnation", Value(incarnation_)},
              {"data", ToString(data_endpoint())},
              {"peer", ToString(peer_endpoint())},
              {"http", ToString(http_endpoint())},
              {"threads", threads_.size()}});
  io_.run();
  for (const auto& thread : threads_) thread->Stop();
}

void Instance::ScheduleTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    OnTick();
    ScheduleTick();
  });
}

void Instance::OnTick() {
  const TimePoint now = clock_.Now();
  list_.OnTimer(now);
  membership_.OnTimer(now);
  UpdateMembers();
  config_.OnTimer();
  publisher_->SetConfirmed(config_.IsConfirmed(now));
  WriteStatus(now);
  const TimePoint authority = membership_.AuthorityUntil();
  publisher_->Update(config_.active(), config_.newest(), authority, now,
                     clock_.WallNow());
  dispatcher_->SetAuthority(authority);
  dispatcher_->steering().OnTimer(now);
  FinishStopIfDue(now);
}

void Instance::AwaitWakeup() {
  wakeup_readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                              [this](boost::system::error_code error) {
                                if (error) return;
                                wakeup_.Reset();
                                // Lets due timers run before the remaining
                                // packets.
                                if (dispatcher_->ProcessThreadQueues()) {
                                  wakeup_.Notify();
                                }
                                AwaitWakeup();
                              });
}

void Instance::OnPeerMessage(InstanceId from, PeerMessage message) {
  const TimePoint now = clock_.Now();
  if (const auto* redirect = std::get_if<Redirect>(&message)) {
    dispatcher_->OnRedirect(from, *redirect);
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    heartbeats_[from] = *heartbeat;
  }
  if (const auto flow = ConvertTo<FlowMessage>(message)) {
    dispatcher_->OnMessage(from, *flow);
  } else if (const auto domain = ConvertTo<DomainMessage>(message)) {
    membership_.OnMessage(from, *domain, now);
    config_.OnMessage(from, *domain);
    UpdateMembers();
  }
}

void Instance::OnConfiguration() {
  const Configuration& newest = *config_.newest();
  std::vector<std::uint64_t> keys;
  keys.reserve(newest.services.size());
  for (const Service& service : newest.services) {
    keys.push_back(Value(service.id));
  }
  membership_.SetRankKeys(std::move(keys));
  membership_.SetConfigVersions(newest.version, config_.active()->version);
  membership_.SetReady(!stop_began_);
  publisher_->OnConfiguration();
}

void Instance::OnTargetReport(const TargetReport& report) {
  if (config_.newest() == nullptr) return;
  const TimePoint now = clock_.Now();
  for (const Service& service : config_.newest()->services) {
    for (const Target& target : service.targets) {
      if (target.removed || target.tunnel != report.tunnel) continue;
      const LoadReport load{.target = target.id,
                            .busy_slots = report.busy_slots,
                            .open_connections = report.open_connections,
                            .shedding = report.shedding,
                            .taken = now};
      config_.OnReport(load);
      dispatcher_->steering().OnReport(load, now);
    }
  }
}

void Instance::OnInstances(std::span<const InstanceListing> instances,
                           const InstanceList::Addresses& addresses) {
  peers_->SetPeers(addresses);
  publisher_->SetPeers(peers_->peers());
  membership_.OnInstanceList(instances, clock_.Now());
  UpdateMembers();
}

void Instance::UpdateMembers() {
  if (membership_.revision() == seen_revision_) return;
  seen_revision_ = membership_.revision();
  publisher_->OnMembers(membership_.view());
  config_.OnView(membership_.view());
  std::erase_if(heartbeats_, [this](const auto& entry) {
    return membership_.view().Find(entry.first) == nullptr;
  });
  std::array<std::size_t, 6> counts{};
  for (const Member& member : membership_.view().members()) {
    ++counts.at(static_cast<std::size_t>(member.state));
  }
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] == 0) continue;
    if (!text.empty()) text += ',';
    text.append(Name(static_cast<MemberState>(i)));
    text.append(":").append(std::to_string(counts[i]));
  }
  log_.Write(LogLevel::kInfo, "members_changed",
             {{"revision", seen_revision_},
              {"self", Name(membership_.state())},
              {"states", text}});
}

void Instance::Send(InstanceId to, const DomainMessage& message) {
  std::visit([&](const auto& m) { peers_->Send(to, m); }, message);
}

bool Instance::Send(const Endpoint& to, std::span<const std::byte> datagram) {
  return packets_->SendTo(to, datagram);
}

void Instance::RequestStop() {
  boost::asio::post(io_, [this] { BeginStop(); });
}

void Instance::BeginStop() {
  if (stop_began_) {
    io_.stop();
    return;
  }
  const TimePoint now = clock_.Now();
  stop_began_ = now;
  log_.Write(LogLevel::kInfo, "leaving",
             {{"drain_seconds", settings_.drain_time.count()}});
  membership_.SetReady(false);
  membership_.BeginLeave(now);
  UpdateMembers();
  dispatcher_->steering().BeginLeave(now);
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (!error) BeginStop();
  });
}

void Instance::FinishStopIfDue(TimePoint now) {
  if (!stop_began_ || now - *stop_began_ < settings_.drain_time) return;
  const bool complete = dispatcher_->steering().handed_over();
  log_.Write(complete ? LogLevel::kInfo : LogLevel::kWarn, "stopped",
             {{"records_handed_over", complete ? "true" : "false"}});
  io_.stop();
}

}  // namespace sapphirestream
