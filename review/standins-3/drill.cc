// Case: the first drill of the store, in which it comes back from a copy some
// seconds old, while the operator changes the desired state.
#include "world.h"

namespace review {
namespace {

constexpr double kApplyS = 3.0;         // ConfigApplyMs
constexpr double kStableWindowS = 4.0;  // StableWindowMs
constexpr double kDrainS = 3.0;         // DrainMs

struct Counts {
  int openings = 0, served = 0, refused = 0, silent = 0;
  int flows = 0, broken_flows = 0;
};

asio::awaitable<void> Order(World& world, Client& client, RouteText route,
                            int number, std::string zone, double acked,
                            Counts& counts) {
  const auto way = [&world, zone](std::uint16_t port, const ClientFlow&) {
    return world.Route(zone, port);
  };
  const double sent = world.Now();
  const std::string id = "order-" + std::to_string(number);
  const FlowPtr flow =
      client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(flow, way);
  ++counts.openings;
  if (flow->state == Attempt::kOpen)
    co_await client.Request(flow, "POST", id, 3000ms, way);
  if (flow->state == Attempt::kAnswered) {
    ++counts.served;
  } else {
    (flow->state == Attempt::kReset ? counts.refused : counts.silent) += 1;
    std::array<char, 200> line{};
    std::snprintf(
        line.data(), line.size(),
        "client: %s on the new route, sent %.2f s after its ack to %s: %s%s",
        id.c_str(), sent - acked, flow->first_way.c_str(), Name(flow->state),
        flow->reset_by_system ? " by the system" : "");
    world.Log(line.data());
  }
  client.Close(flow, way);
}

// A long flow: several requests with pauses.
asio::awaitable<void> Feed(World& world, Client& client, RouteText route,
                           int number, std::string zone, Counts& counts) {
  const auto way = [&world, zone](std::uint16_t port, const ClientFlow&) {
    return world.Route(zone, port);
  };
  const FlowPtr flow =
      client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(flow, way);
  if (flow->state != Attempt::kOpen) co_return;
  ++counts.flows;
  const std::string first = flow->first_way;
  for (int i = 0; i < 12; ++i) {
    flow->state = Attempt::kOpen;
    co_await client.Request(
        flow, "GET", "feed-" + std::to_string(number) + "-" + std::to_string(i),
        2500ms, way);
    if (flow->state != Attempt::kAnswered) break;
    co_await Sleep(600ms);
  }
  if (flow->state == Attempt::kReset && flow->reset_by_system) {
    ++counts.broken_flows;
    world.Log("client: the open flow feed-" + std::to_string(number) +
              " (opened through " + first +
              ") is reset by the system; its last packet went to " +
              flow->last_way + ", request " + flow->id);
  } else if (flow->state != Attempt::kAnswered) {
    world.Log("client: the flow feed-" + std::to_string(number) +
              " ends: " + Name(flow->state));
  }
  client.Close(flow, way);
}

asio::awaitable<void> Run(World& world, int& exit_code) {
  const Site site{
      .heartbeat_ms = 770, .drain_ms = 3000, .config_ms = 3000, .grace_s = 6};
  const std::string zone = "poa-a";
  const bool trouble = World::HasTrouble();
  // Drills so far. FIRST_ERA=1 shows that the number matters.
  world.store->set_era(
      std::getenv("FIRST_ERA") ? std::stoul(std::getenv("FIRST_ERA")) : 0);
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int i = 1; i <= 4; ++i) {
    endpoints.push_back(std::make_unique<Endpoint>(
        world.net, world.TargetAddress(i), 0x7f3a91c2 + i, "loja", zone));
    world.store->Put("servers", endpoints.back()->name(),
                     endpoints.back()->Entry());
  }
  Endpoint& leaving = *endpoints.back();
  const RouteText old_route{"198.18.0.1", 8080, "unsafe", "loja"};
  const RouteText orders{"198.18.0.2", 8443, "unsafe", "loja"};
  const RouteText feed{"198.18.0.3", 8443, "safe", "loja"};
  world.store->Put("config", "main", Config(7, {old_route}, {"loja"}));
  std::vector<World::Instance*> instances{&world.AddInstance(zone),
                                          &world.AddInstance(zone)};
  for (auto* instance : instances) world.Start(*instance, site);
  for (auto* instance : instances) {
    if (!co_await world.AwaitReady(*instance, 10)) {
      world.Log(instance->name + " does not become ready");
      world.context.stop();
      co_return;
    }
  }
  co_await Sleep(5s);
  world.store->TakeCopy();
  co_await Sleep(1s);
  leaving.set_draining(true);
  world.Log("store acknowledges that " + leaving.name() + " drains, revision " +
            std::to_string(
                world.store->Put("servers", leaving.name(), leaving.Entry())));
  co_await Sleep(3s);
  if (trouble) {
    world.store->GoAway();
    world.Log("store: away");
  }
  co_await Sleep(1500ms);
  if (trouble) {
    world.store->ComeBack(true);
    world.Log("store: back from a copy that lacks the last 4 s, Store-Era " +
              std::to_string(world.store->era()) + ", revision " +
              std::to_string(world.store->revision()));
  }
  const auto revision = world.store->Put(
      "config", "main", Config(11, {old_route, orders, feed}, {"loja"}));
  const double acked = world.Now();
  world.Log("store acknowledges version 11 with two new routes, revision " +
            std::to_string(revision));
  co_await Sleep(20ms);
  const auto drained =
      world.store->Put("servers", leaving.name(), leaving.Entry());
  if (trouble) {
    world.Log("store acknowledges again that " + leaving.name() +
              " drains, revision " + std::to_string(drained));
  }
  // Planned: a machine is added.
  co_await Sleep(1s);
  World::Instance& added = world.AddInstance(zone);
  world.Start(added, site);
  co_await Sleep(
      std::chrono::milliseconds(static_cast<int>(kDrainS * 1000) - 1020 + 400));
  world.store->Delete("servers", leaving.name());
  co_await Sleep(std::chrono::milliseconds(
      static_cast<int>((acked + kStableWindowS + 0.5 - world.Now()) * 1000)));
  world.Log("the store has been stable for longer than StableWindowMs");
  Client client(world.net, world.ClientAddress(1));
  Counts counts;
  int number = 0;
  for (int i = 0; i < 16; ++i) {
    asio::co_spawn(world.context, Feed(world, client, feed, i, zone, counts),
                   asio::detached);
    co_await Sleep(50ms);
  }
  const double until = world.Now() + 8;
  const double roll_at = world.Now() + 1.5;
  bool rolled = false;
  while (world.Now() < until) {
    if (!rolled && world.Now() > roll_at) {
      rolled = true;
      world.Log("planned work: SIGTERM to " + added.name);
      world.Signal(added, SIGTERM);
    }
    if (rolled) world.HasEnded(added);
    asio::co_spawn(world.context,
                   Order(world, client, orders, number++, zone, acked, counts),
                   asio::detached);
    co_await Sleep(250ms);
  }
  co_await Sleep(3s);
  std::array<char, 240> line{};
  std::snprintf(line.data(), line.size(),
                "orders sent later than %.0f s after the ack of their route: "
                "%d, answered %d, reset %d, without an answer %d",
                kApplyS, counts.openings, counts.served, counts.refused,
                counts.silent);
  world.Log(line.data());
  std::snprintf(
      line.data(), line.size(),
      "long flows: %d open, %d reset by the system while their endpoint lived",
      counts.flows, counts.broken_flows);
  world.Log(line.data());
  const bool broken = counts.broken_flows > 0;
  exit_code = broken ? 1 : counts.served > 0 && counts.flows > 0 ? 0 : 2;
  world.Log(broken ? "FLOW is broken" : "FLOW holds");
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
    world.AppendLogs({"config_applied", "store_lost", "store_regained",
                      "store_era", "event=reset", "no_route", "list_read"});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  return exit_code;
}
