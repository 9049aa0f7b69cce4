// Case: a route is removed and added again with another service while openings
// of clients wait for the first service, which is full.
#include "world.h"

namespace review {
namespace {

constexpr auto kDowngrade = 250ms;  // DowngradeMs
constexpr std::size_t kMaxFlows = 4;

struct Order {
  std::string id;
  FlowPtr flow;
};

asio::awaitable<void> Feed(Client& client, RouteText route, int number,
                           Client::Way way, std::shared_ptr<bool> stop) {
  const FlowPtr flow =
      client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(flow, way);
  for (int i = 0; flow->opened && !*stop; ++i) {
    flow->state = Attempt::kOpen;
    co_await client.Request(
        flow, "GET", "feed-" + std::to_string(number) + "-" + std::to_string(i),
        2500ms, way);
    if (flow->state != Attempt::kAnswered) break;
    co_await Sleep(30ms);
  }
  client.Close(flow, way);
}

asio::awaitable<void> Place(Client& client, RouteText route,
                            std::shared_ptr<Order> order, Client::Way way) {
  co_await client.Connect(order->flow, way);
  if (order->flow->state != Attempt::kOpen) co_return;
  co_await client.Request(order->flow, "POST", order->id, 3000ms, way);
}

asio::awaitable<void> Run(World& world, int& exit_code) {
  const Site site{
      .heartbeat_ms = 770, .drain_ms = 3000, .config_ms = 3000, .grace_s = 6};
  const std::string zone = "poa-a";
  const bool trouble = World::HasTrouble();
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const auto add = [&](int number, const std::string& service) -> Endpoint& {
    endpoints.push_back(
        std::make_unique<Endpoint>(world.net, world.TargetAddress(number),
                                   0x7f3a91c2 + number, service, zone));
    world.store->Put("servers", endpoints.back()->name(),
                     endpoints.back()->Entry());
    return *endpoints.back();
  };
  Endpoint& old_endpoint = add(1, "loja");
  Endpoint& new_endpoint = add(2, "banca");
  old_endpoint.set_max_flows(kMaxFlows);
  const RouteText feed{"198.18.0.3", 8443, "safe", "loja"};
  const RouteText before{"198.18.0.2", 8080, "unsafe", "loja"};
  const RouteText after{"198.18.0.2", 8080, "unsafe", "banca"};
  const auto put = [&](int version, std::vector<RouteText> routes,
                       const std::string& what) {
    world.store->Put("config", "main",
                     Config(version, routes, {"loja", "banca"}));
    world.Log("store acknowledges version " + std::to_string(version) + ": " +
              what);
  };
  put(7, {feed, before}, "the route goes to loja");
  World::Instance& instance = world.AddInstance(zone);
  world.Start(instance, site);
  if (!co_await world.AwaitReady(instance, 10)) {
    world.Log(instance.name + " does not become ready");
    world.context.stop();
    co_return;
  }
  co_await Sleep(2500ms);
  Client client(world.net, world.ClientAddress(1));
  const Client::Way way = [&instance](std::uint16_t, const ClientFlow&) {
    return instance.address;
  };
  std::vector<std::shared_ptr<bool>> stops;
  for (std::size_t i = 0; i < kMaxFlows; ++i) {
    stops.push_back(std::make_shared<bool>(false));
    asio::co_spawn(world.context,
                   Feed(client, feed, static_cast<int>(i), way, stops.back()),
                   asio::detached);
    co_await Sleep(50ms);
  }
  co_await Sleep(1s);
  world.Log("endpoint " + old_endpoint.name() + " (loja) holds " +
            std::to_string(old_endpoint.flows()) + " flows and is full");
  std::vector<std::shared_ptr<Order>> orders;
  const double start = world.Now();
  int step = 0;
  bool freed = false;
  while (world.Now() < start + 3.5) {
    const double t = world.Now() - start;
    // Four desired states, 80 ms from one to the next. An instance reads the
    // last two together.
    if (trouble) {
      RouteText other = feed;
      other.host = "198.18.0.9";
      if (step == 0 && t > 0.50)
        put(9, {feed, before, other}, "a route more"), ++step;
      if (step == 1 && t > 0.58)
        put(10, {feed, before}, "a route less"), ++step;
      if (step == 2 && t > 0.66)
        put(13, {feed}, "the route is removed"), ++step;
      if (step == 3 && t > 0.74)
        put(14, {feed, after}, "the route is added, to banca"), ++step;
    }
    if (!freed && t > 1.65) {
      freed = true;
      *stops[0] = *stops[1] = *stops[2] = true;
      world.Log("three long flows end, so that loja takes openings again");
    }
    auto order = std::make_shared<Order>();
    order->id = "order-" + std::to_string(orders.size());
    order->flow =
        client.Open(before.host, static_cast<std::uint16_t>(before.port));
    orders.push_back(order);
    asio::co_spawn(world.context, Place(client, before, order, way),
                   asio::detached);
    co_await Sleep(40ms);
  }
  co_await Sleep(4500ms);
  // When an endpoint first saw the effect of the last version.
  std::optional<Clock::time_point> effect;
  if (!new_endpoint.taken.empty()) effect = new_endpoint.taken.front().at;
  int late = 0, lost = 0, answered = 0, not_opened = 0, reset = 0;
  for (const auto& order : orders) {
    const ClientFlow& flow = *order->flow;
    answered += flow.state == Attempt::kAnswered;
    not_opened += flow.state == Attempt::kNotOpened;
    reset += flow.state == Attempt::kReset;
    for (const auto& opening : old_endpoint.taken) {
      if (!effect || opening.port != flow.port ||
          opening.route_port != before.port)
        continue;
      if (opening.copy >= flow.sent.size() ||
          flow.sent[opening.copy] <= *effect + kDowngrade)
        continue;
      ++late;
      const double ms = std::chrono::duration<double, std::milli>(
                            flow.sent[opening.copy] - *effect)
                            .count();
      std::array<char, 200> line{};
      std::snprintf(
          line.data(), line.size(),
          "%s: copy %u of its opening, sent %.0f ms after the effect of the "
          "last version, is taken by loja (%s); the order ends: %s",
          order->id.c_str(), opening.copy, ms, old_endpoint.name().c_str(),
          Name(flow.state));
      world.Log(line.data());
      if (flow.state == Attempt::kSilent) ++lost;
      break;
    }
  }
  world.Log(std::to_string(orders.size()) +
            " orders: " + std::to_string(answered) + " answered, " +
            std::to_string(not_opened) + " not opened, " +
            std::to_string(reset) + " reset; " + std::to_string(late) +
            " taken by the old service later than DowngradeMs, of these " +
            std::to_string(lost) + " open and never answered");
  exit_code = late > 0 ? 1 : answered > 0 ? 0 : 2;
  world.Log(late > 0 ? "CONFIG is broken" : "CONFIG holds");
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
        {"config_applied", "unknown_token", "event=moved", "event=probed"});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  return exit_code;
}
