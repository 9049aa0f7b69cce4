// Load generation, packet spraying and statistics.
#include "testing/standins/load_process.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <string>
#include <utility>

#include "sapphirestream/client/time_format.h"

namespace sapphirestream::standins {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{5};

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Gives each connection its own client address, so that no flow key is reused
// in a run.
Endpoint ClientEndpoint(std::uint64_t number) {
  const auto byte = [number](int shift) {
    return static_cast<std::uint8_t>(number >> shift);
  };
  return {MakeV4(10, static_cast<std::uint8_t>(64 + (byte(16) & 63)), byte(8),
                 byte(0)),
          static_cast<std::uint16_t>(1024 + number * 7919 % 60'000)};
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace

LoadProcess::LoadProcess(boost::asio::io_context& io, LoadSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      timer_(io),
      tunnel_(io, settings_.listen,
              [this](const Endpoint& from, ServiceId service,
                     const Segment& segment) {
                OnSegment(from, service, segment);
              }),
      started_(Now()) {
  for (const Endpoint& instance : settings_.instances) {
    instance_addresses_.insert(instance.address);
  }
  Tick();
}

void LoadProcess::Tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](auto error) {
    if (error) return;
    const TimePoint now = Now();
    OpenDueFlows(now);
    while (!due_.empty() && due_.top().at <= now) {
      const FlowKey key = due_.top().key;
      due_.pop();
      const auto it = flows_.find(key);
      if (it != flows_.end()) SendDue(key, it->second, now);
    }
    Tick();
  });
}

void LoadProcess::OpenDueFlows(TimePoint now) {
  const auto elapsed_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now - started_).count());
  const std::uint64_t flows =
      std::min(settings_.flows, settings_.flows_per_second * elapsed_ms / 1000);
  while (long_flows_started_ < flows) {
    const std::size_t profile_index =
        long_flows_started_++ % settings_.long_flows.size();
    Open(settings_.long_flows[profile_index], 0, now);
  }
  const std::uint64_t orders = settings_.orders_per_second * elapsed_ms / 1000;
  if (finishing_) orders_started_ = orders;
  while (orders_started_ < orders) {
    ++orders_started_;
    Open(settings_.orders, ++order_counts_.sent, now);
  }
  while (!retries_.empty() && retries_.front().at <= now) {
    const std::uint64_t order = retries_.front().order;
    retries_.pop_front();
    Open(settings_.orders, order, now);
  }
}

void LoadProcess::Open(const FlowProfile& profile, std::uint64_t number,
                       TimePoint now) {
  const Endpoint client = ClientEndpoint(next_client_++);
  const FlowKey key{client.address, profile.service, client.port,
                    profile.protocol};
  const auto [it, is_new] =
      flows_.try_emplace(key, profile, client, number, now);
  SendDue(key, it->second, now);
}

void LoadProcess::SendDue(const FlowKey& key, ClientFlow& flow, TimePoint now) {
  const bool was_open = flow.outcome() == FlowOutcome::kOpen;
  const std::uint64_t retransmissions = flow.retransmissions();
  if (const auto segment = flow.Poll(now);
      segment && !settings_.instances.empty()) {
    const std::size_t instance = random_.Below(settings_.instances.size());
    tunnel_.Send(settings_.instances[instance], key.service, *segment);
    ++packets_sent_;
  }
  retransmissions_ += flow.retransmissions() - retransmissions;
  if (was_open && flow.outcome() != FlowOutcome::kOpen) Record(flow, now);
  if (flow.finished()) {
    flows_.erase(key);
  } else {
    due_.push({flow.due(), key});
  }
}

void LoadProcess::OnSegment(const Endpoint& from, ServiceId service,
                            const Segment& segment) {
  const FlowKey key{segment.destination.address, service,
                    segment.destination.port, segment.protocol};
  const auto it = flows_.find(key);
  if (it == flows_.end()) return;
  ClientFlow& flow = it->second;
  const bool was_open = flow.outcome() == FlowOutcome::kOpen;
  const bool was_established = flow.established();
  const TimePoint now = Now();
  const TimePoint due = flow.due();
  flow.OnSegment(segment, from, instance_addresses_.contains(from.address),
                 now);
  if (!was_established && flow.established() && !flow.profile().is_order) {
    ++long_counts_[service].opened;
  }
  if (was_open && flow.outcome() != FlowOutcome::kOpen) Record(flow, now);
  if (flow.finished()) {
    flows_.erase(it);
  } else if (flow.due() != due) {
    due_.push({flow.due(), key});
  }
}

void LoadProcess::LogBrokenFlow(const ClientFlow& flow) {
  if (logged_flows_++ >= kMaxLoggedFlows) return;
  const auto wall = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::cerr << "time=" << FormatTime(wall)
            << " event=flow_broken service=" << flow.profile().name
            << " client=" << ToString(flow.client())
            << " outcome=" << Name(flow.outcome()) << " first_target="
            << (flow.target() ? ToString(*flow.target()) : "none")
            << " ended_by=" << ToString(flow.ended_by()) << " age_ms="
            << duration_cast<milliseconds>(Now() - flow.opened()).count()
            << std::endl;
}

void LoadProcess::Record(const ClientFlow& flow, TimePoint now) {
  const bool is_broken = flow.outcome() == FlowOutcome::kReset ||
                         flow.outcome() == FlowOutcome::kMoved ||
                         flow.outcome() == FlowOutcome::kSilent;
  if (is_broken) LogBrokenFlow(flow);
  if (flow.profile().is_order) return RecordOrder(flow, now);
  FlowCounts& counts = long_counts_[flow.profile().service];
  switch (flow.outcome()) {
    case FlowOutcome::kRefused:
      ++counts.refused;
      // Makes OpenDueFlows open another flow, as a refused client would.
      --long_flows_started_;
      break;
    case FlowOutcome::kReset:
      ++counts.reset;
      break;
    case FlowOutcome::kMoved:
      ++counts.moved;
      break;
    case FlowOutcome::kSilent:
      ++counts.silent;
      break;
    case FlowOutcome::kOpen:
    case FlowOutcome::kAnswered:
      break;
  }
}

void LoadProcess::RecordOrder(const ClientFlow& flow, TimePoint now) {
  switch (flow.outcome()) {
    case FlowOutcome::kAnswered:
      ++order_counts_.answered;
      if (order_latencies_ms_.size() < kMaxLatencies) {
        order_latencies_ms_.push_back(
            std::chrono::duration<double, std::milli>(now - flow.opened())
                .count());
      }
      break;
    case FlowOutcome::kRefused:
      ++order_counts_.refusals;
      if (++refusals_by_order_[flow.number()] < kMaxRefusals) {
        retries_.push_back({now + kRetryDelay, flow.number()});
      } else {
        told_not_run_.push_back(flow.number());
        ++order_counts_.given_up;
      }
      break;
    case FlowOutcome::kReset:
      ++order_counts_.failed;
      // Clients also take a reset by an instance for "not run".
      if (instance_addresses_.contains(flow.ended_by().address)) {
        told_not_run_.push_back(flow.number());
      }
      break;
    case FlowOutcome::kMoved:
      ++order_counts_.failed;
      break;
    case FlowOutcome::kSilent:
      ++order_counts_.unanswered;
      break;
    case FlowOutcome::kOpen:
      break;
  }
}

void LoadProcess::Handle(const HttpRequest& request, const HttpReply& reply) {
  if (request.target() == "/stats") {
    return reply(MakeResponse(http::status::ok, json::serialize(Stats())));
  }
  if (request.target() == "/refused") {
    const json::array ids(told_not_run_.begin(), told_not_run_.end());
    return reply(MakeResponse(http::status::ok, json::serialize(ids)));
  }
  if (request.target() == "/fabric" && request.method() == http::verb::put) {
    return SetFabric(request, reply);
  }
  if (request.target() == "/finish" && request.method() == http::verb::post) {
    finishing_ = true;
    return reply(MakeResponse(http::status::ok, "{}"));
  }
  reply(MakeResponse(http::status::not_found, "{}"));
}

void LoadProcess::SetFabric(const HttpRequest& request,
                            const HttpReply& reply) {
  boost::system::error_code error;
  const json::value value = json::parse(request.body(), error);
  std::vector<Endpoint> instances;
  if (!error && value.is_array()) {
    for (const json::value& item : value.as_array()) {
      const auto endpoint =
          item.is_string() ? ParseEndpoint(item.as_string()) : std::nullopt;
      if (endpoint) instances.push_back(*endpoint);
    }
  }
  if (instances.empty()) {
    return reply(MakeResponse(http::status::bad_request,
                              R"({"error":"a list of ADDRESS:PORT"})"));
  }
  for (const Endpoint& instance : instances) {
    instance_addresses_.insert(instance.address);
  }
  settings_.instances = std::move(instances);
  reply(MakeResponse(http::status::ok, "{}"));
}

json::value LoadProcess::Stats() const {
  std::unordered_map<ServiceId, std::uint64_t> held;
  std::uint64_t orders_open = retries_.size();
  for (const auto& [key, flow] : flows_) {
    if (flow.profile().is_order) {
      orders_open += flow.outcome() == FlowOutcome::kOpen ? 1U : 0U;
    } else if (flow.established()) {
      ++held[flow.profile().service];
    }
  }
  json::object flows;
  for (const FlowProfile& profile : settings_.long_flows) {
    const auto it = long_counts_.find(profile.service);
    const FlowCounts counts =
        it == long_counts_.end() ? FlowCounts{} : it->second;
    flows[profile.name] = {
        {"opened", counts.opened},
        {"held", held[profile.service]},
        {"broken", counts.reset + counts.moved + counts.silent},
        {"reset", counts.reset},
        {"moved", counts.moved},
        {"silent", counts.silent},
        {"refused", counts.refused}};
  }
  return {{"flows", flows},
          {"orders",
           {{"sent", order_counts_.sent},
            {"open", orders_open},
            {"answered", order_counts_.answered},
            {"refusals", order_counts_.refusals},
            {"given_up", order_counts_.given_up},
            {"failed", order_counts_.failed},
            {"unanswered", order_counts_.unanswered},
            {"p50_ms", Quantile(order_latencies_ms_, 0.5)},
            {"p99_ms", Quantile(order_latencies_ms_, 0.99)}}},
          {"packets_sent", packets_sent_},
          {"packets_repeated", retransmissions_}};
}

}  // namespace sapphirestream::standins
