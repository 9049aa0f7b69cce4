// Runs two instances in two domains on loopback, with plain sockets as targets,
// fabric and clients. Only the store is replaced, by one in memory.
#ifndef SAPPHIRESTREAM_TEST_INSTANCE_LOOPBACK_FIXTURE_H_
#define SAPPHIRESTREAM_TEST_INSTANCE_LOOPBACK_FIXTURE_H_

#include <poll.h>
#include <sodium.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sapphirestream/base/system_clock.h"
#include "sapphirestream/instance/instance.h"
#include "sapphirestream/link/packet_builder.h"
#include "testing/loop_store.h"
#include "testing/null_log_sink.h"

namespace sapphirestream::testing {

inline UdpSocket OpenSocket(const char* address) {
  auto socket = UdpSocket::Open({.local = {*ParseAddress(address), 0}});
  BOOST_REQUIRE(socket);
  return std::move(*socket);
}

class RunningInstance {
 public:
  RunningInstance(std::uint32_t id, const char* address,
                  const Endpoint& return_path, LoopObjects& objects) {
    Settings settings;
    settings.instance_id = InstanceId{id};
    settings.domain = DomainId{static_cast<std::uint16_t>(id)};
    const Endpoint any{*ParseAddress(address), 0};
    settings.data = settings.peer = settings.http = settings.report = any;
    settings.return_path = return_path;
    settings.traffic_threads = 1;
    settings.learned_capacity = 1'024;
    settings.record_capacity = 10'000;
    settings.hold_capacity = 100;
    settings.idle_timeout = std::chrono::seconds(900);
    settings.drain_time = std::chrono::seconds(1);
    auto opened = Instance::Open(
        settings, clock_, log_, [&](boost::asio::io_context& io) {
          return std::make_unique<LoopStore>(io, objects);
        });
    BOOST_REQUIRE(opened);
    instance_ = std::move(*opened);
    objects.instances.push_back({settings.instance_id, settings.domain,
                                 ToString(instance_->peer_endpoint()), false});
  }
  ~RunningInstance() { Stop(); }
  RunningInstance(const RunningInstance&) = delete;
  RunningInstance& operator=(const RunningInstance&) = delete;

  void Start() {
    thread_ = std::thread([this] { instance_->Run(); });
  }
  // Requests a planned stop and waits for the thread to end.
  void Stop() {
    if (!thread_.joinable()) return;
    instance_->RequestStop();
    thread_.join();
  }
  [[nodiscard]] Endpoint data() const { return instance_->data_endpoint(); }

  // Sends one request. Returns status 0 if there was no answer.
  [[nodiscard]] HttpResponse Call(const std::string& method,
                                  const std::string& target,
                                  const std::string& body = "") const {
    namespace http = boost::beast::http;
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    const Endpoint to = instance_->http_endpoint();
    socket.connect(
        {boost::asio::ip::make_address(ToString(to.address)), to.port});
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.body() = body;
    request.prepare_payload();
    boost::beast::error_code error;
    // Ignores the error: the server may answer and close before it has read a
    // large body.
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response, error);
    if (error) return {.status = 0, .body = error.message()};
    return {.status = static_cast<int>(response.result_int()),
            .body = response.body()};
  }

 private:
  SystemClock clock_;
  NullLogSink sink_;
  EventLog log_{sink_, clock_};
  std::unique_ptr<Instance> instance_;
  std::thread thread_;
};

class LoopbackCluster {
 public:
  // 30 s in total, longer than any wait takes on a busy machine.
  static constexpr int kMaxWaitSteps = 600;
  static constexpr int kStepMs = 50;

  LoopbackCluster() {
    BOOST_REQUIRE(sodium_init() >= 0);
    targets.push_back(OpenSocket("127.61.0.1"));
    targets.push_back(OpenSocket("127.61.0.2"));
    targets.push_back(OpenSocket("127.61.0.3"));
    const char* addresses[] = {"127.60.0.1", "127.60.0.2"};
    for (std::uint32_t i = 0; i < 2; ++i) {
      instances.push_back(std::make_unique<RunningInstance>(
          i + 1, addresses[i], clients.local(), objects_));
    }
    for (const auto& instance : instances) instance->Start();
  }

  // Polls `condition` until it holds; fails the test after kMaxWaitSteps.
  template <typename Condition>
  static void WaitFor(const char* what, Condition condition) {
    for (int i = 0; i < kMaxWaitSteps; ++i) {
      if (condition()) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(kStepMs));
    }
    BOOST_FAIL("condition not met within the time limit: " << what);
  }

  // Submits a change through one instance and waits until it is active on all.
  void Change(const std::string& id, const std::string& operations) {
    const auto response = instances[0]->Call(
        "POST", "/v1/changes",
        R"({"id":")" + id + R"(","author":"test","operations":[)" + operations +
            "]}");
    BOOST_REQUIRE_EQUAL(response.status, 200);
    const auto version =
        boost::json::parse(response.body).at("version").to_number<int>();
    WaitFor("change active on all instances", [&] {
      for (const auto& instance : instances) {
        const auto status =
            boost::json::parse(instance->Call("GET", "/v1/status").body);
        const auto* active = status.as_object().if_contains("active_version");
        if (active == nullptr || active->to_number<int>() < version ||
            status.at("active").to_number<int>() != 2) {
          return false;
        }
      }
      return true;
    });
  }

  [[nodiscard]] std::string AddTarget(const std::string& service,
                                      std::size_t index) const {
    return R"({"op":"add_target","domain":1,"service":")" + service +
           R"(","tunnel":")" + ToString(targets[index].local()) + R"("})";
  }

  // Sends a packet repeatedly until one of `sockets` receives a datagram that
  // `accepts` matches. Returns the index of that socket.
  template <typename Accepts>
  std::size_t Deliver(const std::vector<const UdpSocket*>& sockets,
                      const Endpoint& to, ServiceId service,
                      const std::vector<std::byte>& packet, Accepts accepts) {
    const auto datagram = EncapsulateInGeneve(service, packet);
    for (int i = 0; i < kMaxWaitSteps; ++i) {
      fabric.SendTo(to, datagram);
      std::vector<pollfd> waiting;
      waiting.reserve(sockets.size());
      for (const UdpSocket* socket : sockets) {
        waiting.push_back({.fd = socket->fd(), .events = POLLIN, .revents = 0});
      }
      (void)::poll(waiting.data(), waiting.size(), kStepMs);
      for (std::size_t s = 0; s < sockets.size(); ++s) {
        std::array<std::byte, 2'048> buffer;
        Endpoint from;
        // Datagrams that do not match are late copies of earlier packets.
        for (std::ptrdiff_t size = 0;
             (size = sockets[s]->ReceiveFrom(buffer, from)) >= 0;) {
          if (accepts(std::span(buffer).first(static_cast<std::size_t>(size)),
                      datagram)) {
            return s;
          }
        }
      }
    }
    BOOST_FAIL("packet not delivered within the time limit");
    return 0;
  }

  // Sends a packet repeatedly until a target receives it unchanged. Returns the
  // index of that target.
  std::size_t DeliverToTarget(const Endpoint& to, ServiceId service,
                              const std::vector<std::byte>& packet) {
    return Deliver(
        {&targets[0], &targets[1], &targets[2]}, to, service, packet,
        [](std::span<const std::byte> got, const std::vector<std::byte>& sent) {
          return std::equal(got.begin(), got.end(), sent.begin(), sent.end());
        });
  }

  UdpSocket fabric = OpenSocket("127.62.0.1");
  UdpSocket clients = OpenSocket("127.62.0.2");
  std::vector<UdpSocket> targets;

 private:
  // Outlives the instances. Accessed only through LoopStore while they run.
  LoopObjects objects_;

 public:
  std::vector<std::unique_ptr<RunningInstance>> instances;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TEST_INSTANCE_LOOPBACK_FIXTURE_H_
