// What the cases share: free ports, the settings that the platform makes of the
// deploy file's template, processes of the project, the router's readiness
// checks, and the record.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "flows.h"

namespace review {

// The figures of a deployment that reach the programs by their settings.
struct Site {
  std::string rules = "base,drain,config,cost,recover,flows,platform";
  int heartbeat_ms = 1200;
  int drain_ms = 3000;
  int config_ms = 3000;
  int grace_s = 6;
};

class World {
 public:
  explicit World(std::string folder) : folder_(std::move(folder)) {
    record_.open("record.txt");
    start_ = Clock::now();
    net.log = [this](const std::string& line) { Log(line); };
    net.data_port = FreePort();
    net.target_port = FreePort();
    ready_port_ = FreePort();
    metrics_port_ = FreePort();
    peer_port_ = FreePort();
    store_port_ = FreePort();
    store = std::make_unique<Store>(context, net.log);
  }
  ~World() { StopAll(); }

  void Log(const std::string& line) {
    const double now =
        std::chrono::duration<double>(Clock::now() - start_).count();
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f  ", now);
    record_ << time.data() << line << std::endl;
  }
  [[nodiscard]] double Now() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }
  [[nodiscard]] double Since(Clock::time_point time) const {
    return std::chrono::duration<double>(time - start_).count();
  }
  [[nodiscard]] static bool HasTrouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
  }

  struct Instance {
    std::string name, zone, address, store_address;
    std::shared_ptr<Link> link = std::make_shared<Link>();
    pid_t pid = 0;
    bool ready = false;
    int misses = 0;
  };

  Instance& AddInstance(const std::string& zone, double link_mbps = 1000) {
    const std::string number = std::to_string(instances_.size() + 1);
    auto instance = std::make_unique<Instance>();
    instance->name = "frontend-" + zone + "-" + number;
    instance->zone = zone;
    instance->address = "127.71." + subnet_ + "." + number;
    instance->store_address = "127.72." + subnet_ + "." + number;
    instance->link->bytes_per_s = link_mbps * 1e6 / 8;
    store->Listen(
        {asio::ip::make_address(instance->store_address), store_port_},
        instance->link);
    instances_.push_back(std::move(instance));
    Instance& added = *instances_.back();
    asio::co_spawn(context, CheckReady(added), asio::detached);
    return added;
  }
  [[nodiscard]] std::string TargetAddress(int number) const {
    return "127.73." + subnet_ + "." + std::to_string(number);
  }
  [[nodiscard]] std::string ClientAddress(int number) const {
    return "127.74." + subnet_ + "." + std::to_string(number);
  }

  // Starts the program with the command of the deploy file.
  void Start(Instance& instance, const Site& site) {
    const std::string settings = folder_ + "/" + instance.name + ".settings";
    std::ofstream(settings) << Settings(instance, site);
    const std::string command = RunCommand();
    const std::string log = folder_ + "/" + instance.name + ".log";
    Log("start " + instance.name + ": " + command);
    const pid_t pid = ::fork();
    if (pid == 0) {
      // Ends with this program, also if that is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("SAPPHIRESTREAM_SETTINGS", settings.c_str(), 1);
      ::execl(command.c_str(), command.c_str(), nullptr);
      ::_exit(127);
    }
    instance.pid = pid;
  }
  // Sends a signal to a process that this program has started.
  void Signal(Instance& instance, int number) {
    if (instance.pid > 0) ::kill(instance.pid, number);
  }
  // Returns whether the process has ended.
  bool HasEnded(Instance& instance) {
    if (instance.pid == 0) return true;
    int status = 0;
    if (::waitpid(instance.pid, &status, WNOHANG) != instance.pid) return false;
    Log(instance.name + " has ended, status " + std::to_string(status));
    instance.pid = 0;
    instance.ready = false;
    return true;
  }
  void StopAll() {
    for (auto& instance : instances_) Signal(*instance, SIGKILL);
    for (auto& instance : instances_) {
      if (instance->pid > 0) ::waitpid(instance->pid, nullptr, 0);
      instance->pid = 0;
    }
  }
  asio::awaitable<bool> AwaitReady(Instance& instance, double seconds) {
    const double until = Now() + seconds;
    while (!instance.ready && Now() < until) co_await Sleep(20ms);
    co_return instance.ready;
  }
  // The router: a hash of addresses and ports over the nodes of a zone that are
  // in rotation.
  [[nodiscard]] std::string Route(const std::string& zone,
                                  std::uint16_t port) const {
    std::vector<const Instance*> all;
    std::vector<const Instance*> in_rotation;
    for (const auto& instance : instances_) {
      if (instance->zone != zone || instance->pid == 0) continue;
      all.push_back(instance.get());
      if (instance->ready) in_rotation.push_back(instance.get());
    }
    const auto& nodes = in_rotation.size() * 2 < all.size() ? all : in_rotation;
    const std::uint32_t hash = port * 2654435761U >> 7;
    return nodes.empty() ? "" : nodes[hash % nodes.size()]->address;
  }
  // Copies the interesting lines of the programs' logs to the record.
  void AppendLogs(const std::vector<std::string>& words) {
    for (const auto& instance : instances_) {
      std::ifstream log(folder_ + "/" + instance->name + ".log");
      std::string line;
      while (std::getline(log, line)) {
        for (const std::string& word : words) {
          if (line.find(word) == std::string::npos) continue;
          record_ << "log of " << instance->name << ": " << line.substr(0, 240)
                  << "\n";
          break;
        }
      }
    }
    record_.flush();
  }

  asio::io_context context{1};
  Net net{context};
  std::unique_ptr<Store> store;

 private:
  static std::uint16_t FreePort() {
    // Below the range from which the system takes ports of connections.
    static std::mt19937 random{std::random_device{}()};
    asio::io_context context;
    for (int i = 0; i < 1000; ++i) {
      const auto port = static_cast<std::uint16_t>(10'000 + random() % 20'000);
      boost::system::error_code error;
      tcp::acceptor tcp_port(context);
      tcp_port.open(tcp::v4());
      tcp_port.bind({tcp::v4(), port}, error);
      udp::socket udp_port(context);
      udp_port.open(udp::v4());
      if (!error) udp_port.bind({udp::v4(), port}, error);
      if (!error) return port;
    }
    throw std::runtime_error("no free port");
  }
  static std::string RunCommand() {
    std::ifstream file("../../deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind("run = \"", 0) != 0) continue;
      return "../../" + line.substr(7, line.find('"', 7) - 7);
    }
    throw std::runtime_error("the deploy file has no command");
  }
  std::string Settings(const Instance& instance, const Site& site) const {
    const auto at = [&](std::uint16_t port) {
      return instance.address + ":" + std::to_string(port);
    };
    const std::map<std::string, std::string> values{
        {"NodeName", instance.name},
        {"Zone", instance.zone},
        {"Ip", instance.address},
        {"Listen.DatagramAddr", at(net.data_port)},
        {"Listen.Ready", at(ready_port_)},
        {"InternalPorts.0", std::to_string(metrics_port_)},
        {"InternalPorts.1", std::to_string(peer_port_)},
        {"platform.Address",
         instance.store_address + ":" + std::to_string(store_port_)},
        {"Bounds.GraceS", std::to_string(site.grace_s)},
        {"Bounds.DrainMs", std::to_string(site.drain_ms)},
        {"Bounds.ConfigApplyMs", std::to_string(site.config_ms)},
        {"HeartbeatMs", std::to_string(site.heartbeat_ms)},
        {"Invariants", site.rules},
        {"Seeds", at(ready_port_)}};
    std::ifstream file("../../deploy/edge.settings");
    std::stringstream text;
    text << file.rdbuf();
    std::string out = text.str();
    for (std::size_t begin; (begin = out.find("{{")) != std::string::npos;) {
      const std::size_t end = out.find("}}", begin);
      const auto value = values.find(out.substr(begin + 2, end - begin - 2));
      out.replace(begin, end + 2 - begin,
                  value == values.end() ? "" : value->second);
    }
    return out;
  }
  // GET of the readiness path, twice per second; after two misses the node is
  // out of rotation.
  asio::awaitable<void> CheckReady(Instance& instance) {
    for (;;) {
      co_await Sleep(500ms);
      bool good = false;
      if (instance.pid != 0) good = co_await IsReady(instance);
      instance.misses = good ? 0 : instance.misses + 1;
      const bool ready = good || (instance.ready && instance.misses < 2);
      if (ready != instance.ready) {
        Log("router: " + instance.name +
            (ready ? " is in rotation" : " is out of rotation"));
      }
      instance.ready = ready;
    }
  }
  asio::awaitable<bool> IsReady(Instance& instance) {
    try {
      boost::beast::tcp_stream stream(context);
      stream.expires_after(400ms);
      co_await stream.async_connect(
          tcp::endpoint(asio::ip::make_address(instance.address), ready_port_),
          asio::use_awaitable);
      http::request<http::empty_body> request{http::verb::get,
                                              "/sapphirestream/ready", 11};
      request.set(http::field::host, instance.address);
      request.set(http::field::connection, "close");
      co_await http::async_write(stream, request, asio::use_awaitable);
      boost::beast::flat_buffer buffer;
      http::response<http::string_body> response;
      co_await http::async_read(stream, buffer, response, asio::use_awaitable);
      co_return response.result_int() == 200;
    } catch (const std::exception&) {
      co_return false;
    }
  }

  std::string folder_;
  std::ofstream record_;
  Clock::time_point start_;
  // Of this run, so that two runs do not meet.
  std::string subnet_ = std::to_string(1 + ::getpid() % 250);
  std::vector<std::unique_ptr<Instance>> instances_;
  std::uint16_t ready_port_ = 0, metrics_port_ = 0, peer_port_ = 0,
                store_port_ = 0;
};

struct RouteText {
  std::string host;
  int port;
  std::string type, service;
};

// A desired state as on the users' page.
inline std::string Config(int version, const std::vector<RouteText>& routes,
                          const std::vector<std::string>& services) {
  std::string text =
      R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const RouteText& route = routes[i];
    std::array<char, 16> name{};
    std::snprintf(name.data(), name.size(), "r-%07zx",
                  i * 2654435761U & 0xfffffff);
    text +=
        std::string(i ? "," : "") + R"({"Name":")" + name.data() +
        R"(","Host":")" + route.host + R"(","PathPrefix":"/)" +
        std::to_string(route.port) + R"(/","Type":")" + route.type +
        R"(","TimeoutMs":3000,"TargetLatencyMs":250,"Priority":1,"Service":")" +
        route.service + R"(","MaxAttempts":2})";
  }
  text += R"(],"Services":[)";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text +=
        std::string(i ? "," : "") + R"({"Name":")" + services[i] +
        R"(","HealthPath":"/health","MaxFlows":2000,"Protocol":"h1","Tls":false})";
  }
  return text +
         R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

}  // namespace review
