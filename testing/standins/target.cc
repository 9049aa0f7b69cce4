// All targets of the demo in one process: one Geneve socket per target, load
// reports to every instance, and statistics over HTTP.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "testing/standins/http_server.h"
#include "testing/standins/lifetime.h"
#include "testing/standins/subcommand.h"
#include "testing/standins/target_peer.h"
#include "testing/standins/tunnel.h"

namespace sapphirestream::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kTick{2};

struct Settings {
  std::vector<Endpoint> targets;
  // Endpoint of the load stand-in, which represents all clients.
  Endpoint client;
  std::vector<Endpoint> report_to;
  milliseconds report_interval{200};
  TargetPeers::Options peers;
};

TimePoint Now() { return std::chrono::steady_clock::now(); }

class TargetProcess {
 public:
  TargetProcess(asio::io_context& io, const Settings& settings)
      : settings_(settings),
        timer_(io),
        peers_(settings.peers, [this](std::size_t target, ServiceId service,
                                      const Segment& segment) {
          tunnels_[target]->Send(settings_.client, service, segment);
        }) {
    for (std::size_t i = 0; i < settings.targets.size(); ++i) {
      tunnels_.push_back(std::make_unique<Tunnel>(
          io, settings.targets[i],
          [this, i](const Endpoint&, ServiceId service,
                    const Segment& segment) {
            peers_.OnSegment(i, service, segment, Now());
          }));
    }
    Tick();
  }

  void Handle(const HttpRequest& request, const HttpReply& reply) const {
    if (request.target() == "/stats") {
      return reply(MakeResponse(http::status::ok, json::serialize(Stats())));
    }
    if (request.target() == "/orders") {
      json::array ids;
      for (const auto& [id, runs] : peers_.runs()) ids.emplace_back(id);
      return reply(MakeResponse(http::status::ok, json::serialize(ids)));
    }
    reply(MakeResponse(http::status::not_found, "{}"));
  }

 private:
  void Tick() {
    timer_.expires_after(kTick);
    timer_.async_wait([this](auto error) {
      if (error) return;
      const TimePoint now = Now();
      peers_.OnTimer(now);
      if (now >= next_report_) {
        next_report_ = now + settings_.report_interval;
        Report();
      }
      Tick();
    });
  }

  void Report() {
    for (std::size_t i = 0; i < tunnels_.size(); ++i) {
      const TargetPeers::Load& load = peers_.loads()[i];
      const std::string report = json::serialize(
          json::value{{"target", ToString(settings_.targets[i])},
                      {"busy", load.busy + load.waiting.size()},
                      {"open", load.open},
                      {"shedding", false}});
      for (const Endpoint& to : settings_.report_to) {
        tunnels_[i]->SendBytes(to, std::as_bytes(std::span(report)));
      }
    }
  }

  [[nodiscard]] json::value Stats() const {
    json::array targets;
    for (std::size_t i = 0; i < tunnels_.size(); ++i) {
      const TargetPeers::Load& load = peers_.loads()[i];
      json::object services;
      for (const auto& [service, open] : load.open_by_service) {
        services[std::to_string(Value(service))] = open;
      }
      targets.push_back({{"target", ToString(settings_.targets[i])},
                         {"open", load.open},
                         {"open_by_service", services},
                         {"orders_run", load.orders_run},
                         {"max_waiting", load.max_waiting}});
    }
    const TargetPeers::Totals& totals = peers_.totals();
    return {{"targets", targets},
            {"orders_run", totals.orders_run},
            {"orders_repeated", totals.orders_repeated},
            {"misplaced_packets", totals.misplaced_packets},
            {"resets", totals.resets},
            {"ignored", totals.ignored}};
  }

  Settings settings_;
  asio::steady_timer timer_;
  TargetPeers peers_;
  std::vector<std::unique_ptr<Tunnel>> tunnels_;
  TimePoint next_report_;
};

}  // namespace

int RunTarget(const Arguments& arguments) {
  namespace po = boost::program_options;
  std::string targets;
  std::string client;
  std::string reports;
  std::string http;
  int seconds = 0;
  int service_ms = 0;
  int report_ms = 0;
  Settings settings;
  po::options_description options("standins target");
  auto add = options.add_options();
  add("targets", po::value(&targets)->required(),
      "tunnel addresses to serve, ADDRESS:PORT[,...]");
  add("client", po::value(&client)->default_value("127.0.0.2:7600"),
      "address of the load stand-in, which receives all replies");
  add("report-to", po::value(&reports)->default_value(""),
      "report addresses of the instances, ADDRESS:PORT[,...]");
  add("http", po::value(&http)->default_value("127.0.0.3:7500"),
      "address of GET /stats and GET /orders");
  add("slots", po::value(&settings.peers.slots)->default_value(2),
      "orders that a target runs concurrently");
  add("service-ms", po::value(&service_ms)->default_value(20),
      "processing time of an order, milliseconds");
  add("report-ms", po::value(&report_ms)->default_value(200),
      "interval between load reports, milliseconds");
  add("seconds", po::value(&seconds)->default_value(600),
      "stop after this many seconds");
  add("help", "show this text");
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(options).run(), values);
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  po::notify(values);
  settings.targets = ParseEndpoints(targets);
  settings.client = RequireEndpoint(client);
  settings.report_to = ParseEndpoints(reports);
  settings.report_interval = milliseconds(report_ms);
  settings.peers.targets = settings.targets.size();
  settings.peers.service_time = milliseconds(service_ms);

  asio::io_context io(1);
  TargetProcess process(io, settings);
  const HttpServer server(
      io, RequireEndpoint(http),
      [&process](const HttpRequest& request, const HttpReply& reply) {
        process.Handle(request, reply);
      });
  const Lifetime lifetime(io, std::chrono::seconds(seconds));
  io.run();
  return 0;
}

}  // namespace sapphirestream::standins
