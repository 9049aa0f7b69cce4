// Case: entries of another writer that lack a field, for some seconds around
// the final fault of a day.
#include "world.h"

namespace review {
namespace {

constexpr double kRecoveryS = 12.0;  // RecoveryS
constexpr double kFaultAt = 14.0;
constexpr double kDownS = 1.3;
constexpr auto kBudget = 3000ms;

struct Counts {
  int sent = 0, answered = 0;
};

asio::awaitable<void> Order(World& world, Client& client, RouteText route,
                            std::string id, std::string zone, Counts& counts,
                            bool log) {
  const auto way = [&world, zone](std::uint16_t port, const ClientFlow&) {
    return world.Route(zone, port);
  };
  ++counts.sent;
  // A client tries again as long as the request cannot have run.
  for (int attempt = 0; attempt < 3; ++attempt) {
    const FlowPtr flow =
        client.Open(route.host, static_cast<std::uint16_t>(route.port));
    co_await client.Connect(flow, way);
    if (flow->state == Attempt::kOpen) {
      co_await client.Request(flow, "POST", id, kBudget, way);
      if (flow->state == Attempt::kAnswered) ++counts.answered;
    }
    if (log && flow->state != Attempt::kAnswered) {
      world.Log("client: " + id + ", attempt " + std::to_string(attempt + 1) +
                " at " + flow->last_way + ": " + Name(flow->state));
    }
    const bool ran = flow->opened;
    client.Close(flow, way);
    if (ran) co_return;
    co_await Sleep(50ms);
  }
}

asio::awaitable<void> Run(World& world, int& exit_code) {
  const Site site{
      .heartbeat_ms = 770, .drain_ms = 3000, .config_ms = 3000, .grace_s = 6};
  const std::string zone = "poa-a";
  const bool trouble = World::HasTrouble();
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int i = 1; i <= 4; ++i) {
    endpoints.push_back(std::make_unique<Endpoint>(
        world.net, world.TargetAddress(i), 0x7f3a91c2 + i, "loja", zone));
    world.store->Put("servers", endpoints.back()->name(),
                     endpoints.back()->Entry());
  }
  const RouteText route{"198.18.0.2", 8080, "unsafe", "loja"};
  world.store->Put("config", "main", Config(7, {route}, {"loja"}));
  std::vector<World::Instance*> instances{&world.AddInstance(zone),
                                          &world.AddInstance(zone),
                                          &world.AddInstance(zone)};
  for (auto* instance : instances) world.Start(*instance, site);
  for (auto* instance : instances) {
    if (!co_await world.AwaitReady(*instance, 10)) {
      world.Log(instance->name + " does not become ready");
      world.context.stop();
      co_return;
    }
  }
  Client client(world.net, world.ClientAddress(1));
  Counts before, between, after;
  int number = 0;
  bool written = false, removed = false, killed = false, back = false;
  double back_at = 0;
  std::vector<std::string> foreign;
  while (!back || world.Now() < back_at + kRecoveryS + 8) {
    const double now = world.Now();
    if (trouble && !written && now > kFaultAt - 0.1) {
      written = true;
      for (std::size_t i = 0; i < endpoints.size(); ++i) {
        // The address of a living endpoint under another id; `Version` is
        // missing.
        std::string entry = endpoints[i]->Entry();
        const std::string version = R"("Version":"v1",)";
        entry.erase(entry.find(version), version.size());
        const std::size_t born = entry.find("\"born\":") + 7;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
        entry.replace(born, entry.size() - 1 - born, std::to_string(ms));
        foreign.push_back("i-a" + std::to_string(100 + i));
        world.store->Put("servers", foreign.back(), entry);
        world.Log("another writer: servers/" + foreign.back() + " " + entry);
      }
    }
    if (!killed && now > kFaultAt) {
      killed = true;
      world.Log("final fault: all machines are killed");
      for (auto* instance : instances) world.Signal(*instance, SIGKILL);
    }
    if (killed && !back && now > kFaultAt + kDownS) {
      for (auto* instance : instances) {
        if (world.HasEnded(*instance)) world.Start(*instance, site);
      }
      back = true;
      back_at = now;
    }
    if (trouble && back && !removed && now > back_at + 3) {
      removed = true;
      for (const std::string& name : foreign) {
        world.store->Delete("servers", name);
      }
      world.Log("the entries of the other writer are removed");
    }
    Counts& counts = !killed                              ? before
                     : back && now > back_at + kRecoveryS ? after
                                                          : between;
    asio::co_spawn(
        world.context,
        Order(world, client, route, "order-" + std::to_string(++number), zone,
              counts, &counts == &after),
        asio::detached);
    co_await Sleep(100ms);
  }
  co_await Sleep(4500ms);
  const auto text = [](const Counts& counts) {
    return std::to_string(counts.answered) + " of " +
           std::to_string(counts.sent) + " orders answered";
  };
  world.Log("before the final fault: " + text(before));
  world.Log("until RecoveryS after the machines were back: " + text(between));
  world.Log("later than RecoveryS after the machines were back: " +
            text(after));
  const bool served_before = before.answered * 4 >= before.sent;
  const bool served_after = after.answered * 4 >= after.sent;
  exit_code = !served_before ? 2 : served_after ? 0 : 1;
  world.Log(exit_code == 1 ? "RECOVER is broken" : "RECOVER holds");
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
    world.AppendLogs({"targets_loaded", "target_listed", "target_unlisted",
                      "target_entry", "outcome=stranger", "event=serving"});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
  return exit_code;
}
