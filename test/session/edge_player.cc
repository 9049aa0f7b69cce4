// Plays a script on the edge path: instances that steer flows by tokens, with
// targets and clients that exchange packets in the wire format.
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include "sapphirestream/base/id.h"
#include "test/edge/sample.h"
#include "test/session/script.h"
#include "testing/flow_ends/edge_field.h"

namespace sapphirestream::session {
namespace {

using testing::EdgeField;
using testing::FlowClient;
using testing::FlowOutcome;
using testing::FlowPacket;
using testing::FlowPlan;
using testing::HostState;

// Whether requests must not run twice; true for `orders` and `photos`.
bool IsNonIdempotent(V4Endpoint service) {
  return service == sample::kOrders || service == sample::kPhotos;
}

V4Endpoint RouteFrom(const Arguments& arguments) {
  static const std::map<std::string, V4Endpoint> routes = {
      {"feed", sample::kFeed},
      {"orders", sample::kOrders},
      {"photos", sample::kPhotos},
      {"short_lived", sample::kShortLived},
      {"nowhere", sample::kNowhere}};
  return routes.at(arguments.Text("route"));
}

class EdgePlayer final : public testing::FieldObserver {
 public:
  explicit EdgePlayer(const Script& script)
      : script_(script), field_(script.options.Number("instances"), *this) {
    field_.Configure(sample::Routes(1));
    const Duration service_time =
        std::chrono::milliseconds(script.options.Number("service_ms", 20));
    const std::uint32_t targets = script.options.Number("targets");
    for (std::uint64_t key = 1; key <= targets; ++key) {
      field_.AddTarget(sample::Target(key, "a"), service_time);
    }
    constexpr std::uint64_t intake_key = 100;
    field_.AddTarget(sample::Target(intake_key, "a", "intake"), service_time);
    start_ = field_.time().Now();
  }

  Outcome Play() {
    for (const Step& step : script_.steps) {
      field_.time().After(step.at, [this, &step] { Run(step); });
    }
    field_.time().RunFor(script_.end);
    for (const auto& [client, name] : flow_names_) {
      if (!ended_.contains(client)) Report("flow " + name + " has no outcome");
    }
    return {record_.str(), violations_};
  }

  void OnForwarded(std::uint32_t instance, TargetKey target,
                   const FlowPacket& packet) override {
    const char* kind = packet.opens             ? "syn"
                       : packet.finishes        ? "fin"
                       : packet.payload.empty() ? "ack"
                                                : "data";
    Line("forward") << " flow=" << NameOf(packet.from) << " kind=" << kind
                    << " by=" << instance << " target=" << Value(target)
                    << '\n';
  }
  void OnReset(std::uint32_t instance, const ClientReset& reset) override {
    Line("reset") << " flow=" << NameOf(reset.client) << " by=" << instance
                  << '\n';
    const auto it = opened_.find(Value(reset.client));
    const bool is_removed = removed_.contains(Value(reset.service));
    if (it == opened_.end() || ended_.contains(it->first) || is_removed) return;
    if (IsNonIdempotent(reset.service) ||
        field_.Holds(it->second, reset.client)) {
      Report("open flow " + NameOf(reset.client) + " was reset");
    }
  }
  void OnProbed(std::uint32_t instance, TargetKey target,
                ProbeOutcome outcome) override {
    Line("probe") << " by=" << instance << " target=" << Value(target)
                  << " outcome=" << Name(outcome) << '\n';
  }
  void OnRun(TargetKey target, const std::string& request) override {
    Line("run") << " request=" << request << " target=" << Value(target)
                << '\n';
    const std::string flow = request.substr(0, request.rfind('-'));
    if (++runs_by_request_[request] > 1 &&
        non_idempotent_flows_.contains(flow)) {
      Report("request " + request + " ran twice");
    }
  }
  void OnOpened(TargetKey target, V4Endpoint client) override {
    Line("opened") << " flow=" << NameOf(client) << " target=" << Value(target)
                   << '\n';
    const auto [it, is_new] = opened_.emplace(Value(client), target);
    if (!is_new && it->second != target) {
      Report("flow " + NameOf(client) + " opened at two targets");
    }
  }
  void OnFlowOver(const FlowClient& flow) override {
    Line("over") << " flow=" << flow.plan().id
                 << " outcome=" << Name(flow.outcome())
                 << " answered=" << flow.answered() << '\n';
    ended_.insert(Value(flow.plan().client));
  }

 private:
  std::ostream& Line(const char* event) {
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        field_.time().Now() - start_);
    return record_ << "t=" << since.count() << " event=" << event;
  }
  void Report(const std::string& text) { violations_.push_back(text); }
  std::string NameOf(V4Endpoint client) {
    const auto it = flow_names_.find(Value(client));
    return it == flow_names_.end() ? ToString(client) : it->second;
  }

  void Run(const Step& step) {
    Line(step.verb.c_str()) << step.text << '\n';
    const Arguments& arguments = step.arguments;
    if (step.verb == "open") return Open(arguments);
    if (step.verb == "forge") return Forge(arguments);
    if (step.verb == "stop") {
      return field_.StopInstance(arguments.Number("instance"));
    }
    if (step.verb == "config") return Configure(arguments);
    RunOnTarget(step.verb, TargetKey{arguments.Number("target")}, arguments);
  }

  void RunOnTarget(const std::string& verb, TargetKey key,
                   const Arguments& arguments) {
    if (verb == "darken") return field_.SetState(key, HostState::kSilent);
    if (verb == "crash") return field_.SetState(key, HostState::kCrashed);
    if (verb == "revive") return field_.SetState(key, HostState::kAlive);
    if (verb == "drain") return field_.Drain(key);
    if (verb == "list") return field_.List(sample::Target(Value(key), "a"));
    if (verb == "unlist") {
      return field_.Unlist(key, arguments.Number("away", 0) != 0);
    }
    throw std::runtime_error("unknown event " + verb);
  }

  void Configure(const Arguments& arguments) {
    const RouteConfig config = sample::Routes(arguments.Number("version"));
    // Version 2 removes the route of kShortLived.
    if (config.version > 1) removed_.insert(Value(sample::kShortLived));
    field_.Configure(config);
  }

  void Open(const Arguments& arguments) {
    const std::uint32_t flows = arguments.Number("flows", 1);
    for (std::uint32_t i = 1; i <= flows; ++i) {
      FlowPlan plan;
      plan.id = arguments.Text("flow") + (flows > 1 ? std::to_string(i) : "");
      plan.client = sample::Client(next_client_++);
      plan.service = RouteFrom(arguments);
      plan.requests = arguments.Number("requests", 1);
      plan.pause = std::chrono::milliseconds(arguments.Number("pause", 100));
      flow_names_[Value(plan.client)] = plan.id;
      if (IsNonIdempotent(plan.service)) non_idempotent_flows_.insert(plan.id);
      field_.Open(plan);
    }
  }

  // Sends a packet that belongs to no flow, with a forged token.
  void Forge(const Arguments& arguments) {
    FlowPacket packet;
    packet.from = sample::Client(next_client_++);
    packet.to = RouteFrom(arguments);
    packet.token = FlowToken{arguments.Number("token")};
    packet.acknowledges = true;
    packet.payload = "x";
    field_.Send(testing::EncodeFlowPacket(packet));
  }

  const Script& script_;
  EdgeField field_;
  TimePoint start_;
  std::uint32_t next_client_ = 1;
  // Flow names by client endpoint.
  std::map<std::uint64_t, std::string> flow_names_;
  // Target at which each client opened its flow.
  std::map<std::uint64_t, TargetKey> opened_;
  std::set<std::uint64_t> ended_;
  // Addresses of removed routes.
  std::set<std::uint64_t> removed_;
  // Names of flows whose requests must not run twice.
  std::set<std::string> non_idempotent_flows_;
  std::map<std::string, int> runs_by_request_;
  std::ostringstream record_;
  std::vector<std::string> violations_;
};

}  // namespace

Outcome PlayEdge(const Script& script) { return EdgePlayer(script).Play(); }

}  // namespace sapphirestream::session
