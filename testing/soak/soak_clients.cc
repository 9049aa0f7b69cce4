// Clients of the soak test, and the checks of what clients and targets observe.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "sapphirestream/base/id.h"
#include "sapphirestream/edge/edge_log.h"
#include "sapphirestream/edge/flow_cache.h"
#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using testing::FlowClient;
using testing::FlowOutcome;
using testing::FlowPacket;
using testing::FlowPlan;

constexpr Duration kLoadPeriod = 12ms;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr Duration kRetryDelay = 50ms;
// Requests may need a second attempt for this time after an unplanned fault.
constexpr Duration kRecoveryLimit = 6s;
// Packets of an earlier flow from a port are in no socket any more: processes
// are paused for less.
constexpr Duration kPortReuseTime = 8s;
// Distance between the first sequence numbers of two flows; odd, and large
// modulo 2^32 for small multiples.
constexpr std::uint32_t kSequenceStep = 0x9e3779b1;
constexpr std::uint16_t kFirstPort = 2000;
constexpr std::uint16_t kLastPort = 60000;

}  // namespace

void SoakWorld::GenerateLoad() {
  if (!load_running_) return;
  OpenRandomFlow(random_);
  for (unsigned i = 1; i < load_factor_; ++i) OpenRandomFlow(burst_random_);
  timer_.After(kLoadPeriod, [this] { GenerateLoad(); });
}

void SoakWorld::OpenRandomFlow(Random& random) {
  FlowPlan plan;
  plan.id = "f" + std::to_string(++next_flow_);
  constexpr std::uint64_t kinds = 5;
  const std::uint64_t kind = random.Below(kinds);
  plan.service = kind < 2 ? kFeed : kind < 4 ? kOrders : kPhotos;
  // Half of the clients send several requests per connection.
  if (random.Below(2) == 0) {
    plan.requests = 2 + static_cast<std::uint32_t>(random.Below(12));
    plan.pause = std::chrono::milliseconds(50 + random.Below(350));
  }
  OpenFlow(std::move(plan), kind >= 2, 1);
}

V4Endpoint SoakWorld::NextClient() {
  const std::uint32_t address =
      clients_socket_.local_endpoint().address().to_v4().to_uint();
  if (!closed_ports_.empty() &&
      clock_.Now() - closed_ports_.front().closed > kPortReuseTime) {
    const std::uint16_t port = closed_ports_.front().port;
    closed_ports_.pop_front();
    ++counts_.reused_ports;
    return {address, port};
  }
  next_port_ = next_port_ >= kLastPort
                   ? kFirstPort
                   : static_cast<std::uint16_t>(next_port_ + 1);
  return {address, next_port_};
}

SoakWorld::Flow& SoakWorld::AddFlow(FlowPlan plan, testing::SendBytes send,
                                    FlowClient::Done done) {
  plan.client = NextClient();
  plan.first_sequence = ++opened_flows_ * kSequenceStep;
  const std::uint64_t key = Value(plan.client);
  opened_.erase(key);
  opening_receipts_.erase(key);
  split_flows_.erase(key);
  Flow& flow = flows_[key];
  flow = {};
  flow.began = clock_.Now();
  flow.client = std::make_unique<FlowClient>(std::move(plan), timer_, clock_,
                                             std::move(send), std::move(done));
  return flow;
}

void SoakWorld::OpenFlow(FlowPlan plan, bool non_idempotent,
                         std::uint32_t attempts) {
  ++counts_.flows;
  if (non_idempotent) non_idempotent_flows_.insert(plan.id);
  Flow& flow = AddFlow(
      std::move(plan),
      [this](std::span<const std::byte> packet) { Route(packet); },
      [this](const FlowClient& client) { OnFlowOver(client); });
  flow.non_idempotent = non_idempotent;
  flow.attempts = attempts;
  flow.client->Start();
}

void SoakWorld::Route(std::span<const std::byte> packet) {
  constexpr std::uint64_t percent = 100;
  if (loss_percent_ > 0 && random_.Below(percent) < loss_percent_) return;
  const auto decoded = testing::DecodeFlowPacket(packet);
  const auto& rotation = Rotation();
  SendTo(rotation[FlowHash(decoded->from, decoded->to) % rotation.size()],
         packet);
}

const std::vector<std::size_t>& SoakWorld::Rotation() {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].check->is_ready()) ready.push_back(i);
  }
  if (ready.size() * 2 < instances_.size()) {
    ready.clear();
    for (std::size_t i = 0; i < instances_.size(); ++i) ready.push_back(i);
  }
  if (ready != rotation_) rotation_changed_ = clock_.Now();
  return rotation_ = ready;
}

void SoakWorld::SendTo(std::size_t index, std::span<const std::byte> packet) {
  const auto decoded = testing::DecodeFlowPacket(packet);
  if (const auto it = flows_.find(Value(decoded->from)); it != flows_.end()) {
    Flow& flow = it->second;
    if (decoded->opens) {
      flow.openings.at(decoded->acknowledged) = clock_.Now();
    } else {
      flow.tokens[index] = decoded->token;
    }
  }
  const V4Endpoint to = instances_.at(index).process->options().data;
  boost::system::error_code ignored;  // the process may not run
  clients_socket_.send_to(asio::buffer(packet.data(), packet.size()),
                          {asio::ip::address_v4(to.address), to.port}, 0,
                          ignored);
}

void SoakWorld::ReadClients() {
  clients_socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        const auto packet = testing::DecodeFlowPacket(
            std::span(buffer_).first(error ? 0 : size));
        if (packet) {
          const auto it = flows_.find(Value(packet->to));
          if (it != flows_.end()) {
            if (packet->resets) {
              it->second.reset_by = {from_.address().to_v4().to_uint(),
                                     from_.port()};
            }
            it->second.client->OnPacket(*packet);
          }
        }
        ReadClients();
      });
}

void SoakWorld::OnFlowOver(const FlowClient& client) {
  // The client must not be destroyed within its own call.
  asio::post(context_, [this, key = Value(client.plan().client)] {
    const auto it = flows_.find(key);
    if (it == flows_.end() || !it->second.client->is_finished()) return;
    const Flow flow = std::move(it->second);
    flows_.erase(it);
    closed_ports_.push_back({flow.client->plan().client.port, clock_.Now()});
    CheckOutcome(flow);
    if (!flow.is_check) Retry(flow);
  });
}

void SoakWorld::CheckOutcome(const Flow& flow) {
  const FlowClient& client = *flow.client;
  const FlowPlan& plan = client.plan();
  const auto outcome = client.outcome();
  if (outcome == FlowOutcome::kAnswered || flow.is_check) return;
  const std::string text = "flow " + plan.id + " from " +
                           ToString(plan.client) + ": " +
                           std::string(Name(outcome));
  Log(text);
  const auto opened = opened_.find(Value(plan.client));
  const SoakTarget* const target =
      opened == opened_.end() ? nullptr : Find(opened->second);
  if (split_flows_.contains(Value(plan.client))) return;
  const ReturningRoute* const route = returning_.Find(plan.service);
  const bool may_be_reset =
      route != nullptr && route->WasMissingSince(flow.openings.front());
  if (outcome == FlowOutcome::kReset && !may_be_reset && target != nullptr &&
      target->is_serving() && target->Holds(plan.client) &&
      target->record().incarnation <= incarnation_of_[Value(plan.client)]) {
    if (IsResetExpected(flow, opened->second)) {
      Log(text + ", split, and the target that its client addresses crashed");
    } else {
      AddViolation(text + ", although its target still has it");
    }
  }
  const bool is_calm =
      open_faults_ == 0 && flow.began - last_fault_ > kRecoveryLimit;
  const bool must_be_answered =
      (is_calm && !MayUseStaleView(flow)) || all_answered_from_ < flow.began;
  if (!must_be_answered || !IsRouteInForce(flow)) {
    CheckRemovedRoute(flow);
    return;
  }
  if (WasUnserved(flow)) {
    ++counts_.unserved;
  } else {
    AddViolation(text + ", without an unplanned fault");
  }
}

bool SoakWorld::IsResetExpected(const Flow& flow, TargetKey holder) {
  const auto instance = InstanceAt(flow.reset_by);
  if (!instance) return false;
  const auto token = flow.tokens.find(*instance);
  if (token == flow.tokens.end()) return false;
  return IsResetOfSplitFlow(
      {.holder = holder,
       .instance = *instance,
       .process_started = instances_[*instance].started,
       .token = token->second},
      opening_receipts_[Value(flow.client->plan().client)],
      [this](TargetKey key) -> std::optional<TargetProcess> {
        const SoakTarget* const target = Find(key);
        if (target == nullptr) return std::nullopt;
        return TargetProcess{target->record().incarnation,
                             target->is_running()};
      });
}

void SoakWorld::Retry(const Flow& flow) {
  const FlowClient& client = *flow.client;
  if (client.outcome() == FlowOutcome::kAnswered) {
    ++counts_.answered;
    return;
  }
  const bool was_open = client.outcome() == FlowOutcome::kReset ||
                        client.outcome() == FlowOutcome::kTimedOut;
  // A request that may have run must not be retried unless it is idempotent.
  if (flow.attempts == kMaxAttempts || !load_running_ ||
      (flow.non_idempotent && was_open)) {
    ++counts_.given_up;
    return;
  }
  ++counts_.retried;
  FlowPlan plan = client.plan();
  plan.requests = std::max(1U, plan.requests - client.answered());
  plan.id += "r";
  timer_.After(
      kRetryDelay,
      [this, plan = std::move(plan), once = flow.non_idempotent,
       attempts = flow.attempts + 1] { OpenFlow(plan, once, attempts); });
}

bool SoakWorld::MayUseStaleView(const Flow& flow) const {
  if (targets_changed_ == TimePoint{}) return false;
  return std::any_of(
      instances_.begin(), instances_.end(), [&](const Instance& instance) {
        const bool is_cut = instance.link->fault() != LinkFault::kNone ||
                            store_fault_ != StoreFault::kNone;
        const TimePoint healthy =
            std::max(instance.healthy_since, store_healthy_since_);
        const TimePoint until = is_cut ? clock_.Now() : healthy + kStableWindow;
        return until > targets_changed_ && flow.began < until;
      });
}

bool SoakWorld::IsHealthyFor(std::size_t index, Duration span) {
  const Instance& instance = instances_.at(index);
  const TimePoint now = clock_.Now();
  return IsUsable(index) && instance.link->fault() == LinkFault::kNone &&
         store_fault_ == StoreFault::kNone &&
         now - instance.healthy_since > span &&
         now - store_healthy_since_ > span;
}

void SoakWorld::OnRun(TargetKey target, const std::string& request) {
  const std::string flow = request.substr(0, request.rfind('-'));
  if (++runs_[request] > 1 && non_idempotent_flows_.contains(flow)) {
    AddViolation("request " + request + " ran again at target " +
                 ToString(target));
  }
}

void SoakWorld::OnOpened(TargetKey target, V4Endpoint client) {
  opened_[Value(client)] = target;
  const SoakTarget* const process = Find(target);
  if (process != nullptr) {
    incarnation_of_[Value(client)] = process->record().incarnation;
  }
  const auto it = std::find_if(
      targets_.begin(), targets_.end(),
      [&](const Target& t) { return t.process->record().key == target; });
  if (it == targets_.end() || it->drained == TimePoint{}) return;
  const auto flow = flows_.find(Value(client));
  if (flow == flows_.end()) return;
  if (flow->second.began - it->drained <= kDrainLimit) return;
  const V4Endpoint sender = it->process->sender();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool is_sender = instances_[i].process->options().data == sender;
    if (is_sender && IsHealthyFor(i, kStableWindow)) {
      AddViolation("edge-" + std::to_string(i + 1) +
                   " placed a flow at target " + ToString(target) +
                   " that is draining");
    }
  }
}

void SoakWorld::OnUnknownFlow(TargetKey target, const FlowPacket& packet) {
  const auto it = opened_.find(Value(packet.from));
  if (it == opened_.end() || it->second == target) return;
  const SoakTarget* const holder = Find(it->second);
  const auto flow = flows_.find(Value(packet.from));
  const bool is_alive = flow != flows_.end() && flow->second.client->is_open();
  const bool is_broken = holder != nullptr && is_alive &&
                         holder->is_serving() && holder->Holds(packet.from);
  if (!is_broken) return;
  const auto& receipts = opening_receipts_[Value(packet.from)];
  const bool has_opening =
      std::any_of(receipts.begin(), receipts.end(),
                  [&](const OpeningReceipt& r) { return r.target == target; });
  if (has_opening && rotation_changed_ > flow->second.began) {
    split_flows_.insert(Value(packet.from));
    Log("flow of " + ToString(packet.from) + " split between two targets");
  } else {
    AddViolation("a packet of " + ToString(packet.from) + " reached target " +
                 ToString(target) + " instead of " + ToString(it->second));
  }
}

}  // namespace sapphirestream::soak
