// Changes of routes in the soak test, and their checks.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "sapphirestream/base/id.h"
#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {
namespace {

using namespace std::chrono_literals;
using testing::FlowClient;
using testing::FlowOutcome;
using testing::FlowPlan;

constexpr Duration kCheckPeriod = 700ms;
// Time between two new flows on routes that are removed and added again.
constexpr Duration kReturningPeriod = 40ms;
constexpr std::size_t kMaxAddedRoutes = 4;

std::string RouteJson(V4Endpoint address, const char* type, const char* service,
                      const std::string& name = "r") {
  return R"({"Name":")" + name + R"(","Host":")" +
         ToString(ToEndpoint({address.address, 0}).address) +
         R"(","PathPrefix":"/)" + std::to_string(address.port) +
         R"(/","Type":")" + type + R"(","Service":")" + service + R"("})";
}

}  // namespace

void SoakWorld::WriteRoutes(Random& random) {
  version_ += 1 + random.Below(3);
  PutRoutes();
}

void SoakWorld::WriteLargeRoutes(std::size_t unused, Random& random) {
  unused_routes_.clear();
  for (std::size_t i = 0; i < unused; ++i) {
    const V4Endpoint address{
        kUnusedRoutes.address + static_cast<std::uint32_t>(i),
        kUnusedRoutes.port};
    unused_routes_ += "," + RouteJson(address, "safe", "checks");
  }
  WriteRoutes(random);
}

void SoakWorld::PutRoutes() {
  std::string routes = RouteJson(kFeed, "safe", "desk") + "," +
                       RouteJson(kOrders, "unsafe", "desk") + "," +
                       RouteJson(kPhotos, "upload", "intake");
  for (const ExtraRoute& route : added_) {
    routes += "," + RouteJson(route.address, "safe", "checks");
  }
  for (std::size_t i = 0; i < ReturningRoutes::kCount; ++i) {
    const ReturningRoute& route = returning_.at(i);
    if (!route.is_present) continue;
    // Each addition makes another route.
    const auto added = route.changed.time_since_epoch().count();
    routes += "," + RouteJson(route.address, "unsafe", "checks",
                              "r" + std::to_string(added));
  }
  store_->Put("config", "main",
              R"({"Version":)" + std::to_string(version_) + R"(,"Routes":[)" +
                  routes + unused_routes_ +
                  R"(],"Services":[{"Name":"desk","HealthPath":"/health",)"
                  R"("ColdStartS":)" +
                  std::to_string(kColdStart.count()) + R"(,"ColdPerS":)" +
                  std::to_string(kColdFlowsPerS) +
                  R"(},)"
                  R"({"Name":"checks","HealthPath":"/health"},)"
                  R"({"Name":"intake","HealthPath":"/health"}]})");
}

void SoakWorld::ChangeRoutes(Random& random) {
  const TimePoint now = clock_.Now();
  if (added_.size() == kMaxAddedRoutes) {
    Log("remove route " + ToString(added_.front().address));
    removed_.push_back({added_.front().address, now});
    added_.pop_front();
  }
  const V4Endpoint address{kExtraRoutes.address + ++extra_routes_,
                           kExtraRoutes.port};
  added_.push_back({address, now});
  Log("add route " + ToString(address));
  WriteRoutes(random);
}

void SoakWorld::ToggleReturningRoute(std::size_t index, Random& random) {
  returning_.Toggle(index, clock_.Now());
  const ReturningRoute& route = returning_.at(index);
  Log((route.is_present ? "add route " : "remove route ") +
      ToString(route.address) + " again");
  WriteRoutes(random);
}

void SoakWorld::GenerateReturningLoad() {
  if (!load_running_) return;
  const ReturningRoute& route =
      returning_.at(returning_random_.Below(ReturningRoutes::kCount));
  if (route.is_present) {
    FlowPlan plan;
    plan.id = "b" + std::to_string(++next_flow_);
    plan.service = route.address;
    plan.requests = 5 + static_cast<std::uint32_t>(returning_random_.Below(20));
    plan.pause = std::chrono::milliseconds(50 + returning_random_.Below(250));
    OpenFlow(std::move(plan), /*non_idempotent=*/true, 1);
  }
  timer_.After(kReturningPeriod, [this] { GenerateReturningLoad(); });
}

bool SoakWorld::IsRouteInForce(const Flow& flow) const {
  const ReturningRoute* const route =
      returning_.Find(flow.client->plan().service);
  if (route == nullptr) return true;
  return !route->WasMissingSince(flow.openings.front()) &&
         flow.began - route->changed > kConfigLimit;
}

void SoakWorld::CheckRemovedRoute(const Flow& flow) {
  const FlowClient& client = *flow.client;
  const ReturningRoute* const route = returning_.Find(client.plan().service);
  if (route == nullptr || !route->WasMissingSince(flow.openings.front())) {
    return;
  }
  ++counts_.removed_flows;
  counts_.told_flows += client.outcome() == FlowOutcome::kReset;
  if (route->is_present || client.outcome() != FlowOutcome::kTimedOut) return;
  const Duration since_removal = clock_.Now() - route->removed;
  if (since_removal < client.plan().request_timeout) return;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool could_tell =
        IsHealthyFor(i, kStableWindow + client.plan().request_timeout);
    if (!could_tell || loss_percent_ > 0) return;
  }
  AddViolation("flow " + client.plan().id + " from " +
               ToString(client.plan().client) +
               " was not told that its route was removed " +
               std::to_string(since_removal / 1ms) + " ms ago");
}

void SoakWorld::CheckRoutes() {
  const TimePoint now = clock_.Now();
  const auto is_due = [&](const ExtraRoute& route) {
    return now - route.accepted > kConfigLimit;
  };
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!IsHealthyFor(i, kStableWindow)) continue;
    const auto added = std::find_if(added_.rbegin(), added_.rend(), is_due);
    if (added != added_.rend()) {
      CheckRoute(i, added->address, FlowOutcome::kRefused);
    }
    const auto removed =
        std::find_if(removed_.rbegin(), removed_.rend(), is_due);
    if (removed != removed_.rend()) {
      CheckRoute(i, removed->address, FlowOutcome::kAnswered);
    }
  }
  if (load_running_) timer_.After(kCheckPeriod, [this] { CheckRoutes(); });
}

void SoakWorld::CheckRoute(std::size_t index, V4Endpoint route,
                           FlowOutcome forbidden) {
  FlowPlan plan;
  plan.id = "c" + std::to_string(++next_flow_);
  plan.service = route;
  ++counts_.config_checks;
  Flow& flow = AddFlow(
      std::move(plan),
      [this, index](std::span<const std::byte> packet) {
        SendTo(index, packet);
      },
      [this, index, forbidden](const FlowClient& client) {
        // If the route has changed since, the outcome is not significant.
        const auto is_same = [&](const ExtraRoute& extra) {
          return extra.address == client.plan().service;
        };
        const auto& expected =
            forbidden == FlowOutcome::kRefused ? added_ : removed_;
        if (client.outcome() == forbidden &&
            std::any_of(expected.begin(), expected.end(), is_same)) {
          AddViolation(
              "edge-" + std::to_string(index + 1) + " has not applied " +
              (forbidden == FlowOutcome::kRefused ? "added" : "removed") +
              " route " + ToString(client.plan().service));
        }
        OnFlowOver(client);
      });
  flow.is_check = true;
  flow.client->Start();
}

}  // namespace sapphirestream::soak
