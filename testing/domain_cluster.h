// Simulates instances of several domains in one process and in virtual time.
// Messages can be delayed, lost or blocked by domain or instance; instances can
// be paused, killed and started. Used by tests and benchmarks.
#ifndef SAPPHIRESTREAM_TESTING_DOMAIN_CLUSTER_H_
#define SAPPHIRESTREAM_TESTING_DOMAIN_CLUSTER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/base/random.h"
#include "sapphirestream/domain/dissemination.h"
#include "sapphirestream/domain/membership.h"
#include "testing/splice_body.h"

namespace sapphirestream::testing {

class DomainCluster {
 public:
  struct Options {
    std::uint64_t seed = 1;
    double loss = 0;
    // Base delays; up to a quarter more is added as jitter.
    Duration delay_within_domain = std::chrono::microseconds(300);
    Duration delay_between_domains = std::chrono::milliseconds(5);
    Duration tick = std::chrono::milliseconds(20);
    // Share of messages that take up to `slow_delay` longer.
    double slow_share = 0;
    Duration slow_delay = std::chrono::milliseconds(800);
  };

  class Node : public DomainSink {
   public:
    Node(DomainCluster& cluster, const Membership::Options& options)
        : id(options.self),
          domain(options.domain),
          random(cluster.random_.Next()),
          membership(options, *this, random, cluster.now()),
          dissemination({options.self, options.domain}, cluster.body_, *this,
                        random, cluster.now()),
          cluster_(cluster) {}
    void Send(InstanceId to, const DomainMessage& message) override {
      cluster_.Send(*this, to, message);
    }

    const InstanceId id;
    const DomainId domain;
    SeededRandom random;
    Membership membership;
    Dissemination dissemination;
    std::uint64_t seen_revision = 0;
    bool is_paused = false;
    // Messages received during a pause; handled on resume, before the first
    // tick.
    std::vector<std::pair<InstanceId, DomainMessage>> backlog;

   private:
    DomainCluster& cluster_;
  };

  explicit DomainCluster(const Options& options)
      : options_(options), random_(options.seed) {}

  // Starts an instance and delivers the instance list to it; `is_listed` tells
  // whether the others find it in theirs. Ends a running instance with this id
  // without a leave.
  Node& Start(std::uint32_t id, std::uint16_t domain,
              std::uint64_t incarnation = 1, bool is_listed = true) {
    const InstanceId instance{id};
    nodes_.erase(instance);
    nodes_[instance] = std::make_unique<Node>(
        *this, Membership::Options{instance, DomainId{domain},
                                   Incarnation{incarnation << 10}});
    if (is_listed) listing_[instance] = DomainId{domain};
    DeliverInstanceList(is_listed ? kNoInstance : instance);
    return *nodes_[instance];
  }
  // Replaces an instance while its old process keeps running: the old process
  // still sends, and receives what is sent to its replacement.
  void Replace(std::uint32_t id, std::uint64_t incarnation) {
    auto old = nodes_.extract(InstanceId{id});
    const std::uint16_t domain = Value(old.mapped()->domain);
    replaced_processes_.push_back(std::move(old.mapped()));
    Start(id, domain, incarnation);
  }
  void Kill(std::uint32_t id) { nodes_.erase(InstanceId{id}); }
  // Delivers the instance list, which still contains killed instances, to all
  // instances or to one.
  void DeliverInstanceList(InstanceId only = kNoInstance) {
    std::vector<InstanceListing> list;
    for (const auto& [id, domain] : listing_) list.push_back({id, domain});
    for (auto& [id, node] : nodes_) {
      if (only != kNoInstance && id != only) continue;
      node->membership.OnInstanceList(list, now_);
    }
  }
  void Delist(std::uint32_t id) { listing_.erase(InstanceId{id}); }
  void Pause(std::uint32_t id) { at(id).is_paused = true; }
  // Resumes the instance and its replaced processes.
  void Resume(std::uint32_t id) {
    if (nodes_.contains(InstanceId{id})) Resume(at(id));
    for (auto& process : replaced_processes_) {
      if (process->id == InstanceId{id}) Resume(*process);
    }
  }
  void Resume(Node& node) {
    node.is_paused = false;
    for (const auto& [from, message] : std::exchange(node.backlog, {})) {
      Deliver(node, from, message);
    }
  }
  // Drops every message for which the predicate holds.
  void DropMessages(
      std::function<bool(const Node& from, const Node& to)> should_drop) {
    should_drop_ = std::move(should_drop);
  }
  void IsolateDomain(std::uint16_t domain) {
    DropMessages([domain](const Node& from, const Node& to) {
      return (from.domain == DomainId{domain}) !=
             (to.domain == DomainId{domain});
    });
  }
  void IsolateInstance(std::uint32_t id) {
    DropMessages([id](const Node& from, const Node& to) {
      return from.id == InstanceId{id} || to.id == InstanceId{id};
    });
  }
  void Heal() { should_drop_ = nullptr; }

  // Advances the simulation by `time`; calls `check` after every tick of all
  // nodes.
  void Run(Duration time, const std::function<void()>& check = nullptr) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += options_.tick;
      while (!queue_.empty() && queue_.top().at <= now_) {
        const InFlightMessage in_flight = queue_.top();
        queue_.pop();
        DeliverInFlight(in_flight);
      }
      for (auto& [id, node] : nodes_) {
        if (!node->is_paused) Tick(*node);
      }
      for (auto& process : replaced_processes_) {
        if (!process->is_paused) Tick(*process);
      }
      if (check) check();
    }
  }

  [[nodiscard]] Node& at(std::uint32_t id) {
    return *nodes_.at(InstanceId{id});
  }
  [[nodiscard]] std::map<InstanceId, std::unique_ptr<Node>>& nodes() {
    return nodes_;
  }
  // Delivers a configuration of the store to the readers for which `reaches`
  // holds.
  void PublishConfiguration(
      std::uint64_t version, const std::string& body,
      const std::function<bool(const Node&)>& reaches = nullptr) {
    for (auto& [id, node] : nodes_) {
      if (!node->dissemination.IsReader() || node->is_paused) continue;
      if (reaches && !reaches(*node)) continue;
      node->dissemination.OnStoreConfiguration(ConfigVersion{version}, body,
                                               now_);
    }
  }
  // Whether every running instance has activated `version`.
  [[nodiscard]] bool IsActiveEverywhere(std::uint64_t version) {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node.second->dissemination.active() == ConfigVersion{version};
    });
  }
  [[nodiscard]] const std::vector<std::unique_ptr<Node>>& replaced_processes()
      const {
    return replaced_processes_;
  }
  [[nodiscard]] TimePoint now() const { return now_; }
  // Returns the state of `subject` as seen by `observer`; kLeft if unknown.
  [[nodiscard]] MemberState StateAt(std::uint32_t observer,
                                    std::uint32_t subject) {
    const Member* member =
        at(observer).membership.view().Find(InstanceId{subject});
    return member == nullptr ? MemberState::kLeft : member->state;
  }
  std::function<void(const Node& from, InstanceId to, const DomainMessage&)>
      on_send;

 private:
  struct InFlightMessage {
    TimePoint at;
    std::uint64_t order;
    InstanceId from;
    InstanceId to;
    DomainMessage message;
    bool operator<(const InFlightMessage& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Send(const Node& from, InstanceId to, const DomainMessage& message) {
    if (on_send) on_send(from, to, message);
    const auto it = nodes_.find(to);
    if (it == nodes_.end()) return;
    if (should_drop_ && should_drop_(from, *it->second)) return;
    if (random_.Unit() < options_.loss) return;
    const Duration base = from.domain == it->second->domain
                              ? options_.delay_within_domain
                              : options_.delay_between_domains;
    Duration jitter(
        random_.Below(static_cast<std::uint64_t>(base.count()) / 4));
    if (random_.Unit() < options_.slow_share) {
      jitter += Duration(random_.Below(
          static_cast<std::uint64_t>(options_.slow_delay.count())));
    }
    queue_.push({now_ + base + jitter, ++order_, from.id, to, message});
  }
  void DeliverInFlight(const InFlightMessage& in_flight) {
    for (auto& process : replaced_processes_) {
      if (process->id == in_flight.to) Receive(*process, in_flight);
    }
    const auto it = nodes_.find(in_flight.to);
    if (it != nodes_.end()) Receive(*it->second, in_flight);
  }
  void Receive(Node& node, const InFlightMessage& in_flight) {
    if (node.is_paused) {
      node.backlog.emplace_back(in_flight.from, in_flight.message);
    } else {
      Deliver(node, in_flight.from, in_flight.message);
    }
  }
  void Deliver(Node& node, InstanceId from, const DomainMessage& message) {
    node.membership.OnMessage(from, message, now_);
    node.dissemination.OnMessage(from, message, now_);
  }
  // Runs one iteration of an instance's control loop.
  void Tick(Node& node) {
    node.membership.SetConfigVersions(node.dissemination.prepared(),
                                      node.dissemination.active());
    node.membership.OnTimer(now_);
    if (node.seen_revision != node.membership.revision()) {
      node.seen_revision = node.membership.revision();
      node.dissemination.OnView(node.membership.view(), now_);
    }
    node.dissemination.OnTimer(now_);
  }

  Options options_;
  SeededRandom random_;
  SpliceBody body_;
  TimePoint now_{std::chrono::seconds(1'000)};
  std::map<InstanceId, std::unique_ptr<Node>> nodes_;
  // Replaced processes that still run.
  std::vector<std::unique_ptr<Node>> replaced_processes_;
  std::map<InstanceId, DomainId> listing_;
  std::priority_queue<InFlightMessage> queue_;
  std::uint64_t order_ = 0;
  std::function<bool(const Node&, const Node&)> should_drop_;
};

}  // namespace sapphirestream::testing

#endif  // SAPPHIRESTREAM_TESTING_DOMAIN_CLUSTER_H_
