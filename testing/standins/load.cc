// Command line of the load stand-in.
#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <iostream>
#include <stdexcept>
#include <string>
#include <utility>

#include "testing/standins/http_server.h"
#include "testing/standins/lifetime.h"
#include "testing/standins/load_process.h"
#include "testing/standins/subcommand.h"

namespace sapphirestream::standins {
namespace {

// Parses `ID@ADDRESS:PORT` into the profile.
void SetService(const std::string& text, FlowProfile& profile) {
  std::uint32_t id = 0;
  const std::size_t at = text.find('@');
  const auto [end, error] = std::from_chars(text.data(), text.data() + at, id);
  if (at == std::string::npos || error != std::errc{} ||
      end != text.data() + at) {
    throw std::invalid_argument("malformed service '" + text +
                                "', expected ID@ADDRESS:PORT");
  }
  profile.service = ServiceId{id};
  profile.server = RequireEndpoint(text.substr(at + 1));
}

}  // namespace

int RunLoad(const Arguments& arguments) {
  namespace po = boost::program_options;
  using std::chrono::milliseconds;
  std::string listen;
  std::string http;
  std::string instances;
  std::string board;
  std::string feed;
  std::string upload;
  std::string orders;
  int seconds = 0;
  LoadSettings settings;
  po::options_description options("standins load");
  auto add = options.add_options();
  add("listen", po::value(&listen)->default_value("127.0.0.2:7600"),
      "address of the fabric and of all clients");
  add("http", po::value(&http)->default_value("127.0.0.2:7601"),
      "address of GET /stats, GET /refused, PUT /fabric, POST /finish");
  add("instances", po::value(&instances)->required(),
      "data addresses of the live instances, ADDRESS:PORT[,...]");
  add("board", po::value(&board)->default_value("1@10.9.0.1:443"),
      "service of stock boards, ID@ADDRESS:PORT");
  add("feed", po::value(&feed)->default_value("2@10.9.0.2:5000"),
      "service of feeds (UDP)");
  add("upload", po::value(&upload)->default_value("3@10.9.0.3:443"),
      "service of uploads");
  add("orders", po::value(&orders)->default_value("4@10.9.0.4:443"),
      "service of orders");
  add("flows", po::value(&settings.flows)->default_value(300),
      "number of long-lived flows");
  add("flows-per-second",
      po::value(&settings.flows_per_second)->default_value(200),
      "long-lived flows opened per second");
  add("orders-per-second",
      po::value(&settings.orders_per_second)->default_value(50),
      "new orders per second");
  add("seed", po::value(&settings.seed)->default_value(1),
      "random seed for the choice of instances");
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
  settings.listen = RequireEndpoint(listen);
  settings.instances = ParseEndpoints(instances);
  settings.long_flows = {
      {.name = "board", .interval = milliseconds(1000), .part_bytes = 64},
      {.name = "feed",
       .protocol = Protocol::kUdp,
       .interval = milliseconds(500),
       .part_bytes = 32},
      {.name = "upload", .interval = milliseconds(100), .part_bytes = 1000}};
  SetService(board, settings.long_flows[0]);
  SetService(feed, settings.long_flows[1]);
  SetService(upload, settings.long_flows[2]);
  settings.orders = {.name = "orders", .is_order = true, .part_bytes = 200};
  SetService(orders, settings.orders);

  boost::asio::io_context io(1);
  LoadProcess process(io, std::move(settings));
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
