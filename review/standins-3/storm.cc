// Case: desired states in quick succession, at machines with a link of 10
// Mbit/s.
#include "world.h"

namespace review {
namespace {

constexpr double kLinkMbps = 10;
constexpr int kRoutes = 1643;  // 3 with traffic, 240 idle ones, 1,400 added
constexpr auto kGap = 80ms;
// Bound of a desired state, and time for which its effect is watched.
constexpr double kApplyS = 5.0;
constexpr double kWatchS = 24.0;
constexpr int kStorms = 3;
// Versions of a storm: 25 gaps of 80 ms are 2.0 s.
constexpr int kVersions = 26;

// The time budget of an order, and when the second request on a held flow is
// sent, after the ack.
constexpr auto kBudget = 4000ms;
constexpr double kRollS = 5.5;
constexpr double kSecondRequestS = 7.3;

struct Result {
  int looks = 0, served = 0, reset = 0, silent = 0;
  int dropped_sent = 0, dropped_run = 0;
};

std::string Seconds(double time) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.2f s", time);
  return text.data();
}

// A flow to a route that the last version has added.
asio::awaitable<void> LookAtAdded(World& world, Client& client,
                                  World::Instance& instance, RouteText route,
                                  double acked, Result& result) {
  const auto way = [&instance](std::uint16_t, const ClientFlow&) {
    return instance.address;
  };
  const double sent = world.Now();
  const FlowPtr flow =
      client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(flow, way);
  ++result.looks;
  if (flow->state == Attempt::kOpen) {
    ++result.served;
  } else {
    ++(flow->state == Attempt::kReset ? result.reset : result.silent);
    world.Log("client: opening at " + instance.name +
              " for the added route, sent " + Seconds(sent - acked) +
              " after the ack: " + Name(flow->state));
  }
  client.Close(flow, way);
}

// A request to a route that the last version has dropped.
asio::awaitable<void> LookAtDropped(World& world, Client& client,
                                    World::Instance& instance, RouteText route,
                                    std::string id, double acked,
                                    Result& result) {
  const auto way = [&instance](std::uint16_t, const ClientFlow&) {
    return instance.address;
  };
  const double sent = world.Now();
  const FlowPtr flow =
      client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(flow, way);
  ++result.dropped_sent;
  if (flow->state == Attempt::kOpen)
    co_await client.Request(flow, "POST", id, 2000ms, way);
  if (flow->state == Attempt::kAnswered) {
    ++result.dropped_run;
    world.Log("client: request " + id + " at " + instance.name +
              " for the dropped route, sent " + Seconds(sent - acked) +
              " after the ack: answered, it has run");
  }
  client.Close(flow, way);
}

// A long flow on the added route: a request through the fast machine, and one
// after that machine was stopped as planned, through the other of its zone.
asio::awaitable<void> HoldFlow(World& world, Client& client, std::string zone,
                               World::Instance& fast, RouteText route,
                               std::string id, double acked, int& open,
                               int& lost) {
  const auto first = [&fast](std::uint16_t, const ClientFlow&) {
    return fast.address;
  };
  const auto later = [&world, zone](std::uint16_t port, const ClientFlow&) {
    return world.Route(zone, port);
  };
  const FlowPtr flow =
      client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(flow, first);
  if (flow->state != Attempt::kOpen) co_return;
  co_await client.Request(flow, "POST", id + "-1", kBudget, first);
  if (flow->state != Attempt::kAnswered) co_return;
  ++open;
  while (world.Now() < acked + kSecondRequestS) co_await Sleep(50ms);
  flow->state = Attempt::kOpen;
  co_await client.Request(flow, "POST", id + "-2", kBudget, later);
  if (flow->state != Attempt::kAnswered) {
    ++lost;
    world.Log("client: request " + id + "-2 on the open flow, sent to " +
              flow->last_way + ": " + Name(flow->state));
  }
  client.Close(flow, later);
}

// Stops and starts the machine as planned.
asio::awaitable<void> Roll(World& world, World::Instance& instance, Site site,
                           double at) {
  while (world.Now() < at) co_await Sleep(50ms);
  world.Log("planned work: SIGTERM to " + instance.name);
  world.Signal(instance, SIGTERM);
  while (!world.HasEnded(instance)) co_await Sleep(50ms);
  while (world.Now() < at + 12) co_await Sleep(50ms);
  world.Start(instance, site);
}

asio::awaitable<void> Run(World& world, int& exit_code) {
  const Site site{
      .rules = "base,drain,config,cost,recover,health,flows,platform",
      .heartbeat_ms = 1200,
      .drain_ms = 5000,
      .config_ms = 5000,
      .grace_s = 6};
  const std::vector<std::string> zones{"colima-a", "colima-b", "colima-c"};
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  int number = 0;
  for (const std::string& zone : zones) {
    for (int i = 0; i < 2; ++i) {
      ++number;
      endpoints.push_back(
          std::make_unique<Endpoint>(world.net, world.TargetAddress(number),
                                     0x7f3a91c200 + number, "citas", zone));
      world.store->Put("servers", endpoints.back()->name(),
                       endpoints.back()->Entry());
    }
  }
  std::vector<RouteText> routes;
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back({"198.18." + std::to_string(i / 250) + "." +
                          std::to_string(1 + i % 250),
                      8080, "unsafe", "citas"});
  }
  // Each storm ends with the drop of one of these.
  for (int i = 0; i < kStorms; ++i)
    routes.push_back(
        {"198.18.30." + std::to_string(1 + i), 9443, "unsafe", "citas"});
  int version = 7;
  const auto put = [&] {
    const std::string config = Config(version++, routes, {"citas"});
    world.store->Put("config", "main", config);
    return config.size();
  };
  put();
  std::vector<World::Instance*> instances;
  for (const std::string& zone : zones)
    instances.push_back(&world.AddInstance(zone, kLinkMbps));
  // One machine has a link of 200 Mbit/s.
  World::Instance& fast = world.AddInstance(zones.front(), 200);
  instances.push_back(&fast);
  for (auto* instance : instances) world.Start(*instance, site);
  for (auto* instance : instances) {
    if (!co_await world.AwaitReady(*instance, 10)) {
      world.Log(instance->name + " does not become ready");
      exit_code = 2;
      world.context.stop();
      co_return;
    }
  }
  instances.pop_back();
  Client client(world.net, world.ClientAddress(1));
  co_await Sleep(7s);
  bool broken = false;
  bool good = true;
  int request = 0;
  for (int storm = 0; storm < kStorms && !broken; ++storm) {
    const RouteText dropped{"198.18.30." + std::to_string(1 + storm), 9443,
                            "unsafe", "citas"};
    const int count = World::HasTrouble() ? kVersions : 1;
    for (int i = 0; i < count; ++i) {
      routes.push_back({"198.18.20." + std::to_string(1 + storm), 9000 + i,
                        "unsafe", "citas"});
      if (i + 1 == count) {
        std::erase_if(
            routes, [&](const RouteText& r) { return r.host == dropped.host; });
      }
      const std::size_t size = put();
      if (i == 0 || i + 1 == count) {
        world.Log("operator: version " + std::to_string(version - 1) +
                  " is acknowledged, " + std::to_string(size) + " bytes");
      }
      if (i + 1 < count) co_await Sleep(kGap);
    }
    const double acked = world.Now();
    const RouteText added = routes.back();
    co_await Sleep(
        std::chrono::milliseconds(static_cast<int>(kApplyS * 1000) + 300));
    std::vector<Result> results(instances.size());
    int held = 0, lost = 0;
    for (int i = 1; i <= 3; ++i) {
      asio::co_spawn(
          world.context,
          HoldFlow(world, client, zones.front(), fast, added,
                   "held-" + std::to_string(3 * storm + i), acked, held, lost),
          asio::detached);
    }
    asio::co_spawn(world.context, Roll(world, fast, site, acked + kRollS),
                   asio::detached);
    while (world.Now() < acked + kWatchS) {
      for (std::size_t i = 0; i < instances.size(); ++i) {
        asio::co_spawn(
            world.context,
            LookAtAdded(world, client, *instances[i], added, acked, results[i]),
            asio::detached);
        asio::co_spawn(world.context,
                       LookAtDropped(world, client, *instances[i], dropped,
                                     "dropped-" + std::to_string(++request),
                                     acked, results[i]),
                       asio::detached);
      }
      co_await Sleep(1s);
    }
    co_await Sleep(3s);
    world.Log("long flows on the added route, opened through " + fast.name +
              ": " + std::to_string(held) +
              "; requests after it was stopped that were never answered: " +
              std::to_string(lost));
    for (std::size_t i = 0; i < instances.size(); ++i) {
      const Result& r = results[i];
      world.Log(
          instances[i]->name + ", later than ConfigApplyMs after the ack: " +
          std::to_string(r.looks) + " openings for the added route, " +
          std::to_string(r.served) + " taken, " + std::to_string(r.reset) +
          " reset, " + std::to_string(r.silent) + " without an answer; " +
          std::to_string(r.dropped_sent) + " requests for the dropped route, " +
          std::to_string(r.dropped_run) + " run");
      broken = broken || r.reset > 0 || r.dropped_run > 0;
      good = good && r.looks > 0;
    }
  }
  exit_code = broken ? 1 : good ? 0 : 2;
  world.Log(broken ? "CONFIG is broken" : "CONFIG holds");
  world.context.stop();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  int exit_code = 2;
  try {
    review::World world(argc > 1 ? argv[1] : ".");
    review::asio::co_spawn(world.context, review::Run(world, exit_code),
                           [&](std::exception_ptr error) {
                             if (error) world.context.stop();
                           });
    world.context.run();
    world.StopAll();
    world.AppendLogs(
        {"collection=routes", "store_check_failed", "store_reply_unusable"});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  return exit_code;
}
