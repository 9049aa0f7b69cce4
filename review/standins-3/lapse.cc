// Case: an endpoint that does not reach the store any more loses its entry soon
// after one machine was cut off from the store.
#include "world.h"

namespace review {
namespace {

constexpr double kStableWindowS = 4.0;  // StableWindowMs
constexpr double kDrainS = 3.0;         // DrainMs
constexpr double kCutS = 5.5;
constexpr double kRemovalS = 2.0;  // after the end of the cut
constexpr double kExitS = 3.5;     // after the removal
constexpr double kRoundS = 6.0;    // after the removal
constexpr int kRounds = 4;
constexpr int kLapsing = 2;  // a round; of ten endpoints, a fifth

struct Order {
  std::string id;
  FlowPtr flow;
};

asio::awaitable<void> Place(Client& client, RouteText route,
                            std::shared_ptr<Order> order,
                            std::string instance) {
  const auto way = [instance](std::uint16_t, const ClientFlow&) {
    return instance;
  };
  order->flow = client.Open(route.host, static_cast<std::uint16_t>(route.port));
  co_await client.Connect(order->flow, way);
  if (order->flow->state != Attempt::kOpen) co_return;
  co_await client.Request(order->flow, "POST", order->id, 3000ms, way);
  client.Close(order->flow, way);
}

asio::awaitable<void> Run(World& world, int& exit_code) {
  const Site site{
      .heartbeat_ms = 770, .drain_ms = 3000, .config_ms = 3000, .grace_s = 6};
  const std::string zone = "poa-a";
  const bool trouble = World::HasTrouble();
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  int number = 0;
  const auto add = [&] {
    ++number;
    endpoints.push_back(
        std::make_unique<Endpoint>(world.net, world.TargetAddress(number),
                                   0x7f3a91c200 + number, "loja", zone));
    endpoints.back()->set_work(39ms);
    world.store->Put("servers", endpoints.back()->name(),
                     endpoints.back()->Entry());
  };
  for (int i = 0; i < kLapsing * kRounds + 2; ++i) add();
  const RouteText route{"198.18.0.2", 8080, "unsafe", "loja"};
  world.store->Put("config", "main", Config(7, {route}, {"loja"}));
  World::Instance& machine = world.AddInstance(zone);
  World::Instance& other = world.AddInstance(zone);
  for (auto* instance : {&machine, &other}) world.Start(*instance, site);
  for (auto* instance : {&machine, &other}) {
    if (!co_await world.AwaitReady(*instance, 10)) {
      world.Log(instance->name + " does not become ready");
      world.context.stop();
      co_return;
    }
  }
  co_await Sleep(4s);
  Client client(world.net, world.ClientAddress(1));
  std::vector<std::shared_ptr<Order>> orders;
  int late = 0, late_other = 0, lost = 0;
  int count = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Endpoint*> lapsed;
    for (int i = 0; i < kLapsing; ++i) {
      lapsed.push_back(endpoints[kLapsing * round + i].get());
    }
    const double start = world.Now();
    if (trouble) {
      machine.link->cut = true;
      world.Log(machine.name + " is cut off from the store");
    }
    const double healed = start + kCutS;
    const double removed = healed + kRemovalS;
    const std::size_t first_order = orders.size();
    bool is_removed = false;
    std::map<std::uint16_t, std::string> ways;
    bool has_exited = false;
    while (world.Now() < removed + kRoundS) {
      if (!has_exited && world.Now() > removed + kExitS) {
        has_exited = true;
        for (Endpoint* endpoint : lapsed) {
          world.Log(endpoint->name() + " exits");
          endpoint->Exit();
        }
      }
      if (machine.link->cut && world.Now() > healed) {
        machine.link->cut = false;
        world.Log("the cut ends");
      }
      if (!is_removed && world.Now() > removed) {
        is_removed = true;
        for (Endpoint* endpoint : lapsed) {
          world.store->Delete("servers", endpoint->name());
          world.Log("after three missed reports the store has removed " +
                    endpoint->name() + ", which lives");
        }
      }
      for (auto* instance : {&machine, &other}) {
        auto order = std::make_shared<Order>();
        order->id = "order-" + std::to_string(++count);
        orders.push_back(order);
        asio::co_spawn(world.context,
                       Place(client, route, order, instance->address),
                       asio::detached);
      }
      co_await Sleep(25ms);
    }
    // What the endpoint took later than DrainMs after the removal, from a
    // machine in touch.
    std::map<std::uint16_t, std::shared_ptr<Order>> by_port;
    for (std::size_t i = first_order; i < orders.size(); ++i) {
      if (orders[i]->flow) by_port[orders[i]->flow->port] = orders[i];
    }
    int in_round = 0;
    for (const Endpoint* endpoint : lapsed) {
      for (const Endpoint::Opening& opening : endpoint->taken) {
        const double at = world.Since(opening.at);
        const auto it = by_port.find(opening.port);
        if (at <= removed + kDrainS || at <= healed + kStableWindowS ||
            it == by_port.end()) {
          continue;
        }
        const ClientFlow& flow = *it->second->flow;
        if (world.Since(flow.sent.front()) <= removed + kDrainS) continue;
        const bool by_machine = flow.first_way == machine.address;
        ++(by_machine ? late : late_other);
        ++in_round;
        std::array<char, 160> line{};
        std::snprintf(line.data(), line.size(),
                      "%s: taken by %s %.2f s after its removal, %.2f s after "
                      "the cut, through %s",
                      it->second->id.c_str(), endpoint->name().c_str(),
                      at - removed, at - healed,
                      by_machine ? machine.name.c_str() : other.name.c_str());
        world.Log(line.data());
      }
    }
    world.Log(std::to_string(in_round) + " flows too late in this round");
    co_await Sleep(2s);
  }
  co_await Sleep(3500ms);
  int answered = 0;
  for (const auto& order : orders) {
    if (!order->flow) continue;
    if (order->flow->state == Attempt::kAnswered) ++answered;
    if (order->flow->opened && order->flow->state != Attempt::kAnswered) {
      ++lost;
      world.Log(order->id + " was sent on an open flow through " +
                order->flow->first_way + " and is never answered");
    }
  }
  world.Log(std::to_string(orders.size()) + " orders, " +
            std::to_string(answered) + " answered, " + std::to_string(lost) +
            " open and never answered; taken too late through " + machine.name +
            ": " + std::to_string(late) + ", through " + other.name + ": " +
            std::to_string(late_other));
  const bool broken = late + late_other > 0;
  exit_code = broken ? 1 : answered > 0 ? 0 : 2;
  world.Log(broken ? "DRAIN is broken" : "DRAIN holds");
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
    world.AppendLogs({"target_unlisted", "store_lost", "store_regained"});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  return exit_code;
}
