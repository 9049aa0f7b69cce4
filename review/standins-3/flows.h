// Stand-ins of endpoints, clients and routers: packets of 31 bytes and data, as
// the users' page on the protocol tells them.
#pragma once

#include <array>
#include <cstdio>
#include <cstring>
#include <optional>
#include <random>
#include <sstream>

#include "store.h"

namespace review {

using asio::ip::udp;
using Bytes = std::vector<std::uint8_t>;

enum Flag : std::uint8_t { kRst = 1, kSyn = 4, kFin = 8, kAck = 32 };

struct Packet {
  std::uint32_t seq = 0, ack = 0, src = 0, dst = 0, sum = 0;
  std::uint64_t echo = 0;
  std::uint8_t flags = 0;
  std::uint16_t sport = 0, dport = 0;
  std::string data;
};

inline void PutNumber(Bytes& out, std::uint64_t value, int bytes) {
  for (int i = bytes; i-- > 0;)
    out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}
inline std::uint64_t GetNumber(const std::uint8_t* in, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) value = value << 8 | in[i];
  return value;
}
// The widths follow from the offsets on the page; the echo has 4 bytes.
inline Bytes Encode(const Packet& p) {
  Bytes out;
  PutNumber(out, p.seq, 4);
  PutNumber(out, p.ack, 4);
  PutNumber(out, p.echo, 4);
  PutNumber(out, p.data.size(), 2);
  PutNumber(out, p.flags, 1);
  PutNumber(out, p.sport, 2);
  PutNumber(out, p.dst, 4);
  PutNumber(out, p.src, 4);
  PutNumber(out, p.dport, 2);
  // Stands for the keyed sum: not zero, so that a reset of the system differs.
  PutNumber(out, 0x5eed5eed, 4);
  out.insert(out.end(), p.data.begin(), p.data.end());
  return out;
}
inline std::optional<Packet> Decode(const std::uint8_t* in, std::size_t size) {
  if (size < 31) return std::nullopt;
  Packet p;
  p.seq = GetNumber(in, 4);
  p.ack = GetNumber(in + 4, 4);
  p.echo = GetNumber(in + 8, 4);
  p.flags = in[14];
  p.sport = GetNumber(in + 15, 2);
  p.dst = GetNumber(in + 17, 4);
  p.src = GetNumber(in + 21, 4);
  p.dport = GetNumber(in + 25, 2);
  p.sum = GetNumber(in + 27, 4);
  p.data.assign(in + 31, in + size);
  return p;
}

inline std::uint32_t Address(const std::string& text) {
  return asio::ip::make_address_v4(text).to_uint();
}
inline std::string Text(std::uint32_t address) {
  return asio::ip::address_v4(address).to_string();
}

// The network between the parts; every address is a loopback address.
struct Net {
  asio::io_context& context;
  std::uint16_t data_port = 0;  // of the instances and of the clients
  std::uint16_t target_port = 0;
  std::function<void(const std::string&)> log;
  std::mt19937 random{std::random_device{}()};
};

// An endpoint: takes flows, runs requests, answers health probes.
class Endpoint {
 public:
  Endpoint(Net& net, const std::string& address, std::uint64_t id,
           std::string service, std::string zone)
      : net_(net),
        address_(address),
        id_(id),
        service_(std::move(service)),
        zone_(std::move(zone)),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        socket_(net.context, udp::endpoint(asio::ip::make_address(address),
                                           net.target_port)),
        acceptor_(net.context, tcp::endpoint(asio::ip::make_address(address),
                                             net.target_port)) {
    asio::co_spawn(net.context, Receive(), asio::detached);
    asio::co_spawn(net.context, Accept(), asio::detached);
  }
  [[nodiscard]] std::string name() const {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "i-%llx",
                  static_cast<unsigned long long>(id_));
    return text.data();
  }
  [[nodiscard]] std::string Entry(int cold_ms = 0) {
    return R"({"Service":")" + service_ + R"(","Address":")" + address_ + ":" +
           std::to_string(net_.target_port) + R"(","Zone":")" + zone_ +
           R"(","Version":"v1","Slots":2,"State":")" +
           (draining_ ? "draining" : "ready") + R"(","ColdRemainingMs":)" +
           std::to_string(cold_ms) + R"(,"Seq":1,"born":)" +
           std::to_string(born_) + "}";
  }
  void set_draining(bool draining) { draining_ = draining; }
  // The time that a request takes.
  void set_work(Clock::duration work) { work_ = work; }
  // The endpoint ends: it answers nothing more, and its address refuses
  // connections.
  void Exit() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    socket_.close(ignored);
    flows_.clear();
  }
  // Flows that it holds at most; it answers no opening packet beyond.
  void set_max_flows(std::size_t flows) { max_flows_ = flows; }
  [[nodiscard]] std::size_t flows() const { return flows_.size(); }
  // Ids of the requests that ran.
  std::multiset<std::string> ran;
  // The opening packets that it took: the client's port, the number of the
  // copy, and when.
  struct Opening {
    std::uint16_t port;
    std::uint32_t copy;
    Clock::time_point at;
    std::uint16_t route_port;
  };
  std::vector<Opening> taken;

 private:
  struct Flow {
    std::uint32_t begin = 0, next = 0, expected = 0;
    std::uint64_t echo = 0;
    bool open = false;
    std::string in;
  };
  using Key = std::array<std::uint32_t, 4>;

  asio::awaitable<void> Receive() {
    std::array<std::uint8_t, 2048> in{};
    for (;;) {
      udp::endpoint from;
      const std::size_t size = co_await socket_.async_receive_from(
          asio::buffer(in), from, asio::use_awaitable);
      if (size < 8) continue;
      const std::uint64_t wanted = GetNumber(in.data(), 8);
      const auto packet = Decode(in.data() + 8, size - 8);
      if (packet && (wanted == 0 || wanted == id_)) OnPacket(*packet);
    }
  }
  void OnPacket(const Packet& p) {
    const Key key{p.src, p.sport, p.dst, p.dport};
    const auto it = flows_.find(key);
    if (p.flags & kRst) {
      flows_.erase(key);
      return;
    }
    if (p.flags & kSyn) {
      if (it == flows_.end() && flows_.size() >= max_flows_) return;
      Flow& flow = it != flows_.end() ? it->second : flows_[key];
      taken.push_back({p.sport, p.ack, Clock::now(), p.dport});
      if (flow.begin == 0) {
        flow.begin = 1 + (net_.random() | 1U);
        flow.next = flow.begin;
        flow.expected = p.seq;
      }
      flow.echo = p.echo;
      if (!flow.open) Send(key, flow, kSyn | kAck, {});
      return;
    }
    const bool held =
        it != flows_.end() && (it->second.open || p.ack == it->second.begin);
    if (!held) {
      // Not a flow of this endpoint.
      Flow stranger;
      stranger.next = p.ack;
      stranger.echo = p.echo;
      if (!(p.flags & kFin)) {
        net_.log("endpoint " + name() + " resets " + Text(p.src) + ":" +
                 std::to_string(p.sport));
        Send(key, stranger, kRst, {});
      }
      return;
    }
    Flow& flow = it->second;
    flow.open = true;
    flow.echo = p.echo;
    if (!p.data.empty() && p.seq == flow.expected) {
      flow.expected += p.data.size();
      flow.in += p.data;
      if (const std::size_t end = flow.in.find("\r\n\r\n");
          end != std::string::npos) {
        Run(key, flow.in.substr(0, end));
        flow.in.erase(0, end + 4);
      }
    }
    if (p.flags & kFin) {
      Send(key, flow, kFin | kAck, {});
      flows_.erase(key);
    }
  }
  void Run(const Key& key, const std::string& head) {
    const std::string field = "\r\nRequest-Id: ";
    const std::size_t at = head.find(field) + field.size();
    const std::string id = head.substr(at, head.find('\r', at) - at);
    ran.insert(id);
    net_.log("endpoint " + name() + " (" + service_ + ") runs request " + id);
    asio::co_spawn(net_.context, Respond(key, id), asio::detached);
  }
  asio::awaitable<void> Respond(Key key, std::string id) {
    co_await Sleep(work_);
    const auto it = flows_.find(key);
    if (it == flows_.end() || !socket_.is_open()) co_return;
    const std::string body = "done " + id;
    const std::string reply =
        "HTTP/1.1 200 OK\r\nServer-Signature: " + name() +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    Send(key, it->second, kAck, reply);
    it->second.next += reply.size();
  }
  void Send(const Key& key, const Flow& flow, int flags,
            const std::string& data) {
    Packet p;
    p.seq = flow.next;
    p.ack = flow.expected;
    p.echo = flow.echo;
    p.flags = static_cast<std::uint8_t>(flags);
    p.src = key[2];
    p.sport = key[3];
    p.dst = key[0];
    p.dport = key[1];
    p.data = data;
    socket_.send_to(asio::buffer(Encode(p)),
                    {asio::ip::address_v4(key[0]), net_.data_port});
  }
  asio::awaitable<void> Accept() {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(net_.context, Probe(std::move(socket)), asio::detached);
    }
  }
  asio::awaitable<void> Probe(tcp::socket socket) {
    try {
      boost::beast::flat_buffer buffer;
      http::request<http::string_body> request;
      co_await http::async_read(socket, buffer, request, asio::use_awaitable);
      const std::string reply =
          std::string("HTTP/1.1 ") + (draining_ ? "503 -" : "200 OK") +
          "\r\nInstance-Id: " + name() +
          "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(reply),
                                 asio::use_awaitable);
    } catch (const std::exception&) {
      // A probe may only connect.
    }
  }

  Net& net_;
  std::string address_;
  std::uint64_t id_;
  std::string service_;
  std::string zone_;
  long long born_;
  bool draining_ = false;
  Clock::duration work_ = 20ms;
  std::size_t max_flows_ = 2000;
  udp::socket socket_;
  tcp::acceptor acceptor_;
  std::map<Key, Flow> flows_;
};

// How a client's attempt stands.
enum class Attempt { kOpening, kOpen, kAnswered, kReset, kNotOpened, kSilent };
inline const char* Name(Attempt state) {
  static const char* const names[] = {"opening", "open",       "answered",
                                      "reset",   "not opened", "no answer"};
  return names[static_cast<int>(state)];
}

// One client attempt: opens a flow, keeps it open for a while, sends a request.
struct ClientFlow {
  std::uint16_t port = 0;
  std::uint32_t address = 0;  // virtual address of the route
  std::uint16_t service_port = 0;
  std::uint32_t seq = 0, last_ack = 0;
  std::uint64_t echo = 0;
  Attempt state = Attempt::kOpening;
  bool opened = false;
  // Whether the reset came from the system (sum 0) or from an endpoint.
  bool reset_by_system = false;
  std::string id;
  std::string answer;
  std::string first_way, last_way;
  // When the opening packet and its copies were sent.
  std::vector<Clock::time_point> sent;
};
using FlowPtr = std::shared_ptr<ClientFlow>;

// All flows of one client address. `way` tells the instance that the router
// selects for a packet now.
class Client {
 public:
  using Way = std::function<std::string(std::uint16_t port, const ClientFlow&)>;

  Client(Net& net, const std::string& address)
      : net_(net),
        address_(address),
        socket_(net.context,
                udp::endpoint(asio::ip::make_address(address), net.data_port)) {
    asio::co_spawn(net.context, Receive(), asio::detached);
  }
  FlowPtr Open(const std::string& route_address, std::uint16_t route_port) {
    auto flow = std::make_shared<ClientFlow>();
    flow->port = next_port_++;
    flow->address = Address(route_address);
    flow->service_port = route_port;
    flow->seq = net_.random();
    flows_[flow->port] = flow;
    return flow;
  }
  // Sends the opening packet and its copies until the flow is open or over.
  asio::awaitable<void> Connect(FlowPtr flow, Way way) {
    static constexpr std::array<std::chrono::milliseconds, 3> waits{
        200ms, 400ms, 800ms};
    for (std::uint32_t copy = 0; copy < waits.size(); ++copy) {
      Packet p = Header(*flow, kSyn);
      p.ack = copy;
      p.echo = 0;
      flow->sent.push_back(Clock::now());
      Send(*flow, p, way);
      const auto until = Clock::now() + waits[copy];
      while (flow->state == Attempt::kOpening && Clock::now() < until)
        co_await Sleep(5ms);
      if (flow->state != Attempt::kOpening) break;
    }
    if (flow->state == Attempt::kOpening) flow->state = Attempt::kNotOpened;
    if (flow->state == Attempt::kOpen) {
      Send(*flow, Header(*flow, kAck), way);
    }
  }
  // Sends a request on an open flow and waits for its answer until the time
  // budget ends.
  asio::awaitable<void> Request(FlowPtr flow, std::string method,
                                std::string id,
                                std::chrono::milliseconds budget, Way way) {
    flow->id = id;
    flow->answer.clear();
    Packet p = Header(*flow, kAck);
    p.data =
        method + " /work HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\n\r\n";
    flow->seq += p.data.size();
    const auto end = Clock::now() + budget;
    auto wait = 200ms;
    while (Clock::now() < end && flow->state == Attempt::kOpen) {
      p.echo = flow->echo;
      p.ack = flow->last_ack;
      Send(*flow, p, way);
      const auto until = std::min(end, Clock::now() + wait);
      wait = std::min(wait * 2, std::chrono::milliseconds(1600));
      while (flow->state == Attempt::kOpen && Clock::now() < until)
        co_await Sleep(5ms);
    }
    if (flow->state == Attempt::kOpen) flow->state = Attempt::kSilent;
  }
  void Close(const FlowPtr& flow, Way way) {
    Packet p = Header(*flow, kFin | kAck);
    Send(*flow, p, way);
    flows_.erase(flow->port);
  }

 private:
  Packet Header(const ClientFlow& flow, int flags) const {
    Packet p;
    p.seq = flow.seq;
    p.ack = flow.last_ack;
    p.echo = flow.echo;
    p.flags = static_cast<std::uint8_t>(flags);
    p.src = Address(address_);
    p.sport = flow.port;
    p.dst = flow.address;
    p.dport = flow.service_port;
    return p;
  }
  void Send(ClientFlow& flow, const Packet& p, const Way& way) {
    const std::string instance = way(flow.port, flow);
    if (flow.first_way.empty()) flow.first_way = instance;
    flow.last_way = instance;
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(Encode(p)),
                    {asio::ip::make_address(instance), net_.data_port}, 0,
                    ignored);
  }
  asio::awaitable<void> Receive() {
    std::array<std::uint8_t, 2048> in{};
    for (;;) {
      udp::endpoint from;
      boost::system::error_code error;
      const std::size_t size = co_await socket_.async_receive_from(
          asio::buffer(in), from,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) continue;
      const auto p = Decode(in.data(), size);
      const auto it = p ? flows_.find(p->dport) : flows_.end();
      if (it != flows_.end() && it->second->address == p->src &&
          it->second->service_port == p->sport) {
        OnPacket(*it->second, *p);
      }
    }
  }
  void OnPacket(ClientFlow& flow, const Packet& p) {
    if (p.flags & kRst) {
      const auto distance = static_cast<std::int32_t>(p.seq - flow.last_ack);
      const bool valid =
          !flow.opened || (distance <= 76'800 && distance >= -76'800);
      if (valid &&
          (flow.state == Attempt::kOpening || flow.state == Attempt::kOpen)) {
        flow.state = Attempt::kReset;
        flow.reset_by_system = p.sum == 0;
      }
      return;
    }
    if ((p.flags & kSyn) && flow.state == Attempt::kOpening) {
      flow.state = Attempt::kOpen;
      flow.opened = true;
      flow.seq = p.ack;
      flow.last_ack = p.seq;
      flow.echo = p.echo;
      return;
    }
    // Packets of other endpoints are none of this flow.
    if (p.flags & kSyn) return;
    if (p.seq != flow.last_ack) return;
    flow.echo = p.echo;
    if (!p.data.empty() && flow.state == Attempt::kOpen) {
      flow.last_ack += p.data.size();
      flow.answer += p.data;
      if (flow.answer.find("done " + flow.id) != std::string::npos) {
        flow.state = Attempt::kAnswered;
      }
    }
  }

  Net& net_;
  std::string address_;
  udp::socket socket_;
  std::uint16_t next_port_ = 20'000;
  std::map<std::uint16_t, FlowPtr> flows_;
};

}  // namespace review
