#include "sapphirestream/edge_io/edge_instance.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>

#include "sapphirestream/edge_io/reader_options.h"

namespace sapphirestream {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Packets that arrive before routes and targets have been read stay in the
// socket for at most this time; clients retransmit after 200 ms.
constexpr std::chrono::milliseconds kInitialLoadTimeout{200};
// Period of tasks that are not triggered by packets.
constexpr std::chrono::milliseconds kHousekeepingPeriod{250};
// Interval at which the settings file is checked for changes.
constexpr std::chrono::milliseconds kSettingsCheckPeriod{1000};

}  // namespace

leaf::result<std::unique_ptr<EdgeInstance>> EdgeInstance::Open(
    const EdgeSettings& settings, const EdgePlatform& platform,
    const Clock& clock, LineWriter& lines, EventLog& log,
    ReadSettings read_settings) {
  std::unique_ptr<EdgeInstance> instance(new EdgeInstance(
      settings, platform, clock, lines, log, std::move(read_settings)));
  BOOST_LEAF_CHECK(instance->OpenSockets());
  return instance;
}

EdgeInstance::EdgeInstance(const EdgeSettings& settings,
                           const EdgePlatform& platform, const Clock& clock,
                           LineWriter& lines, EventLog& log,
                           ReadSettings read_settings)
    : settings_(settings),
      platform_(platform),
      clock_(clock),
      lines_(lines),
      log_(log),
      read_settings_(std::move(read_settings)),
      random_(std::random_device{}()),
      targets_(routes_, settings.domain,
               TargetDirectory::kHeartbeatsPerLifetime * settings.heartbeat,
               settings.address_reuse),
      flow_log_(log, routes_),
      load_(settings.IsInForce(PlatformRule::kTargetHealth)
                ? std::make_unique<LoadDecisions>(targets_)
                : nullptr),
      load_report_(load_ ? std::make_unique<LoadReport>(*load_, targets_,
                                                        routes_, log, counters_)
                         : nullptr),
      steering_(routes_, targets_, *this, flow_log_, counters_,
                load_ ? load_->decisions()
                      : SteeringDecisions{.placer = tier_placer_},
                {.flow_capacity = settings.flow_capacity,
                 .evacuates_domains = settings.EvacuatesDomains()}),
      view_(routes_, targets_, flow_log_, log, clock, counters_,
            platform.key_of(),
            {.on_read = [this] { CheckAges(); },
             .on_store_recovered = [this] { RetryReaders(); },
             .on_store_restored = [this](StoreEra era) { RelistFor(era); }}),
      prober_(context_, platform.identity_field(), platform.key_of()),
      suspend_detector_(kHousekeepingPeriod, clock.BootNow()),
      timer_(context_),
      steering_timer_(context_),
      housekeeping_timer_(context_),
      initial_load_timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

leaf::result<void> EdgeInstance::OpenSockets() {
  BOOST_LEAF_ASSIGN(
      port_,
      PacketPort::Open(context_, settings_.data, platform_.format(), counters_,
                       [this](const EdgePacket& packet) { OnPacket(packet); }));
  BOOST_LEAF_ASSIGN(ready_server_,
                    HttpServer::Open(context_, settings_.ready,
                                     [this](const HttpRequest& request,
                                            const HttpServer::Reply& reply) {
                                       reply(HandleReadinessCheck(request));
                                     }));
  BOOST_LEAF_ASSIGN(metrics_server_,
                    HttpServer::Open(context_, settings_.metrics,
                                     [this](const HttpRequest& request,
                                            const HttpServer::Reply& reply) {
                                       reply(HandleOperatorRequest(request));
                                     }));
  if (load_ && settings_.peer) {
    BOOST_LEAF_ASSIGN(
        peers_,
        PeerLink::Open(context_, settings_, load_->performance(),
                       revision_clock_, random_, clock_, log_, counters_));
  }
  return {};
}

void EdgeInstance::Run() {
  log_.Write(LogLevel::kInfo, "started",
             {{"name", settings_.name},
              {"domain", settings_.domain},
              {"data", ToString(settings_.data)},
              {"store", ToString(settings_.store)}});
  WatchSignals();
  StartReaders();
  if (peers_) peers_->Start([this] { CheckForSuspend(); });
  initial_load_timer_.expires_after(kInitialLoadTimeout);
  initial_load_timer_.async_wait([this](const error_code& error) {
    if (!error) port_->Start();
  });
  Housekeep();
  context_.run();
  log_.Write(LogLevel::kInfo, "stopped", {{"name", settings_.name}});
  lines_.Flush();
}

void EdgeInstance::StartReaders() {
  checker_.reset();
  target_reader_.reset();
  route_reader_.reset();
  evacuation_reader_.reset();
  clients_ = platform_.MakeClients(context_, settings_.store, counters_);
  check_clients_ =
      platform_.MakeCheckClients(context_, settings_.store, counters_);
  revision_clock_ = {};
  const ReaderContext shared{timer_, clock_, random_, probe_turns_,
                             revision_clock_};
  target_reader_ = std::make_unique<CollectionReader<TargetRecord>>(
      *clients_.targets, *check_clients_.targets, shared,
      view_.target_observer(), TargetOptions(settings_));
  route_reader_ = std::make_unique<CollectionReader<RouteConfig>>(
      *clients_.routes, *check_clients_.routes, shared, view_.route_observer(),
      RouteOptions(settings_));
  checker_ =
      std::make_unique<CollectionChecker>(timer_, clock_, revision_clock_);
  if (peers_) checker_->SpreadChecks(random_);
  checker_->Emplace(*target_reader_, settings_.drain_bound);
  checker_->Emplace(*route_reader_, settings_.config_bound);
  view_.targets_age().set_bound(settings_.drain_bound);
  view_.routes_age().set_bound(settings_.config_bound);
  target_reader_->Start();
  route_reader_->Start();
  if (settings_.EvacuatesDomains()) StartEvacuationReader(shared);
}

void EdgeInstance::StartEvacuationReader(const ReaderContext& shared) {
  view_.FollowEvacuations();
  evacuation_reader_ = std::make_unique<CollectionReader<Evacuation>>(
      *clients_.evacuations, *check_clients_.evacuations, shared,
      view_.evacuation_observer(), EvacuationOptions(settings_));
  checker_->Emplace(*evacuation_reader_, settings_.evacuation_bound);
  view_.evacuations_age().set_bound(settings_.evacuation_bound);
  evacuation_reader_->Start();
}

void EdgeInstance::RetryReaders() {
  target_reader_->RetryNow();
  route_reader_->RetryNow();
  if (evacuation_reader_) evacuation_reader_->RetryNow();
  checker_->Run();
}

void EdgeInstance::RelistFor(StoreEra era) {
  target_reader_->ObserveEra(era);
  route_reader_->ObserveEra(era);
  if (evacuation_reader_) evacuation_reader_->ObserveEra(era);
}

void EdgeInstance::OnPacket(const EdgePacket& packet) {
  // Packets that arrived during a pause are handled before the timers.
  CheckForSuspend();
  const TimePoint now = clock_.Now();
  drain_timer_.OnPacket(now);
  if (packet.opens && view_.is_outdated()) {
    steering_.DropOpening(packet, now);
    return;
  }
  steering_.OnPacket(packet, now, GapsOfView());
  ArmSteering();
}

ViewGaps EdgeInstance::GapsOfView() const {
  return {.targets_recovering = view_.is_recovering() || !view_.is_complete(),
          .evacuations_unconfirmed = view_.AreEvacuationsUnconfirmed()};
}

void EdgeInstance::ArmSteering() {
  const auto next = steering_.NextDeadline();
  if (!next || (armed_ && *armed_ <= *next)) return;
  armed_ = next;
  steering_timer_.expires_at(
      std::chrono::time_point_cast<std::chrono::steady_clock::duration>(*next));
  steering_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    armed_.reset();
    steering_.Tick(clock_.Now());
    ArmSteering();
  });
}

void EdgeInstance::Housekeep() {
  CheckForSuspend();
  const TimePoint now = clock_.Now();
  // Peers may have told a later revision time, which extends the views.
  if (peers_) CheckAges();
  // Flows may wait although no read has been requested.
  steering_.OnRoutesRead(view_.RoutesConfirmedUntil(), now);
  OnViewChanged();
  ExpireEntries();
  steering_.OnTargetsRead(now);
  ArmSteering();
  if (now - last_settings_check_ >= kSettingsCheckPeriod) {
    last_settings_check_ = now;
    ReloadSettings("file");
  }
  view_.targets_age().Report(now);
  view_.routes_age().Report(now);
  view_.evacuations_age().Report(now);
  if (load_report_) load_report_->Report(now);
  StopWhenDrained(now);
  lines_.Flush();
  if (lifecycle_.state() == EdgeState::kStopped) {
    context_.stop();
    return;
  }
  housekeeping_timer_.expires_after(kHousekeepingPeriod);
  housekeeping_timer_.async_wait([this](const error_code& error) {
    if (!error) Housekeep();
  });
}

void EdgeInstance::CheckForSuspend() {
  const auto pause = suspend_detector_.Check(clock_.BootNow());
  if (!pause) return;
  log_.Write(LogLevel::kWarn, "woke",
             {{"slept_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(*pause)
                   .count()}});
  view_.Invalidate();
  targets_.ForgetAnswers();
  // Pending calls may be waiting for a response on a broken connection.
  StartReaders();
}

void EdgeInstance::CheckAges() {
  view_.SetCompleteUntil(
      target_reader_->CompleteUntil(), route_reader_->CompleteUntil(),
      evacuation_reader_ ? evacuation_reader_->CompleteUntil() : TimePoint{});
  steering_.OnRoutesRead(view_.RoutesConfirmedUntil(), clock_.Now());
  ExpireEntries();
  steering_.OnTargetsRead(clock_.Now());
  ArmSteering();
  checker_->Run();
  if (peers_) peers_->OnStoreRead();
  OnViewChanged();
}

void EdgeInstance::OnViewChanged() {
  if (view_.is_complete()) port_->Start();
  if (lifecycle_.state() != EdgeState::kLoading || !view_.is_complete() ||
      view_.is_recovering()) {
    return;
  }
  lifecycle_.Apply(EdgeEvent::kLoaded);
  log_.Write(LogLevel::kInfo, "serving",
             {{"config", routes_.version()}, {"targets", targets_.size()}});
}

void EdgeInstance::WatchSignals() {
  signals_.async_wait([this](const error_code& error, int number) {
    if (error) return;
    OnSignal(number);
    WatchSignals();
  });
}

void EdgeInstance::OnSignal(int number) {
  if (number == SIGHUP) {
    ReloadSettings("signal");
  } else {
    RequestStop();
  }
}

void EdgeInstance::ReloadSettings(std::string_view cause) {
  const std::optional<EdgeSettings> next = read_settings_();
  if (!next || *next == settings_) return;
  const bool needs_restart =
      next->domain != settings_.domain || next->data != settings_.data ||
      next->ready != settings_.ready || next->metrics != settings_.metrics ||
      next->heartbeat != settings_.heartbeat ||
      next->address_reuse != settings_.address_reuse ||
      next->EvacuatesDomains() != settings_.EvacuatesDomains() ||
      next->IsInForce(PlatformRule::kTargetHealth) != (load_ != nullptr) ||
      next->peer != settings_.peer ||
      next->flow_capacity != settings_.flow_capacity;
  const bool watches_changed =
      next->StoreIdentity() != settings_.StoreIdentity() ||
      next->store != settings_.store ||
      next->watch_wait != settings_.watch_wait ||
      next->cached_wait != settings_.cached_wait ||
      next->target_pause != settings_.target_pause ||
      next->drain_bound != settings_.drain_bound ||
      next->config_bound != settings_.config_bound ||
      next->evacuation_bound != settings_.evacuation_bound ||
      ConfigWatchInterval(*next) != ConfigWatchInterval(settings_);
  if (next->StoreIdentity() != settings_.StoreIdentity()) {
    view_.ForgetRevisions();
  }
  settings_ = *next;
  if (peers_) {
    peers_->SetSeeds(settings_.seeds);
    peers_->SetStore(settings_.StoreIdentity());
  }
  lines_.set_threshold(settings_.log_level);
  if (watches_changed) StartReaders();
  log_.Write(LogLevel::kInfo, "reloaded",
             {{"cause", cause},
              {"store", ToString(settings_.store)},
              {"needs_restart", needs_restart ? 1 : 0}});
}

void EdgeInstance::RequestStop() {
  drain_timer_.OnStopRequested(clock_.Now());
  lifecycle_.Apply(EdgeEvent::kStopRequested);
  log_.Write(LogLevel::kInfo, "stopping",
             {{"state", Name(lifecycle_.state())}});
}

void EdgeInstance::StopWhenDrained(TimePoint now) {
  if (lifecycle_.state() != EdgeState::kLeaving) return;
  if (drain_timer_.IsOver(now, settings_.grace)) {
    lifecycle_.Apply(EdgeEvent::kDrainFinished);
  }
}

void EdgeInstance::Forward(TargetKey target, V4Endpoint address,
                           std::span<const std::byte> packet,
                           std::optional<FlowToken> token) {
  port_->Send(target, address, packet, token);
}

void EdgeInstance::Reset(const ClientReset& reset) { port_->SendReset(reset); }

void EdgeInstance::Probe(const ProbeRequest& probe) {
  prober_.Probe(probe,
                [this, target = probe.target](const ProbeResult& result) {
                  steering_.OnProbe(target, result, clock_.Now());
                  view_.OnTargetProbed(target, result.answered_name);
                  ArmSteering();
                });
}

void EdgeInstance::RefreshTargets() { target_reader_->Refresh(); }

void EdgeInstance::ConfirmRoutes() {
  if (!view_.AreRoutesConfirmable()) return;
  checker_->RequestCheck(*route_reader_, routes_.version());
}

void EdgeInstance::ExpireEntries() {
  const TimePoint now = clock_.Now();
  targets_.Expire(now, view_.targets_age().complete_until());
  view_.UseSpareEntries();
  // The reads do not depend on a version of the view.
  constexpr std::uint64_t no_version = 0;
  if (targets_.IsReadDue(now)) {
    checker_->RequestCheck(*target_reader_, no_version);
  }
  view_.ExpireEvacuations();
  if (evacuation_reader_ && view_.IsEvacuationReadDue()) {
    checker_->RequestCheck(*evacuation_reader_, no_version);
  }
}

}  // namespace sapphirestream
