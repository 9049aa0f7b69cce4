// Links, faults and configuration changes of a fleet.
#include "bench/fleet/fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "bench/fleet/node.h"
#include "sapphirestream/link/peer_message.h"

namespace sapphirestream::fleet {
namespace {

// UDP and IPv4 headers plus the header of an authenticated datagram.
constexpr std::size_t kDatagramOverhead = 28 + 48;

constexpr const char* kKindNames[] = {
    "learn",       "record_batch", "record_ack",      "record_pull",
    "record_page", "flow_end",     "placement_counts"};

std::size_t WireSize(const FlowMessage& message) {
  std::vector<std::byte> bytes;
  std::visit([&](const auto& m) { EncodePeerMessage(m, bytes); }, message);
  return bytes.size() + kDatagramOverhead;
}

}  // namespace

Fleet::Fleet(const FleetOptions& options, Configuration configuration,
             Observer& observer)
    : options_(options),
      observer_(observer),
      random_(options.seed),
      newest_(std::make_shared<const Configuration>(std::move(configuration))) {
  for (std::size_t i = 0; i < options_.instances; ++i) {
    const auto id = static_cast<InstanceId>(i + 1);
    const auto domain = static_cast<DomainId>(i % options_.domains + 1);
    members_[id] = {id, domain, MemberState::kAlive, Incarnation{1}};
  }
  for (const auto& [id, member] : members_) {
    nodes_[id] = std::make_unique<Node>(*this, id, member.domain);
  }
  for (const auto& [id, node] : nodes_) {
    node->SetMembers(MembersSeenFrom(node->domain()));
    node->SetConfigurations(newest_, newest_);
  }
  Tick();
}

Fleet::~Fleet() = default;

void Fleet::Tick() {
  for (const auto& [id, node] : nodes_) node->OnTick();
  queue_.After(kTick, [this] { Tick(); });
}

WallTime Fleet::WallNow() const noexcept {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      queue_.now().time_since_epoch()));
}

Node* Fleet::Find(InstanceId id) const {
  const auto it = nodes_.find(id);
  return it == nodes_.end() ? nullptr : it->second.get();
}

std::vector<InstanceId> Fleet::live() const {
  std::vector<InstanceId> ids;
  for (const auto& [id, node] : nodes_) {
    if (!node->is_stopped()) ids.push_back(id);
  }
  return ids;
}

DomainId Fleet::DomainOf(InstanceId id) const { return members_.at(id).domain; }

bool Fleet::IsPaused(InstanceId id) const {
  const Node* node = Find(id);
  return node != nullptr && node->is_paused();
}

std::size_t Fleet::records() const {
  std::size_t sum = 0;
  for (const auto& [id, node] : nodes_) {
    const Steering::Stats stats = node->steering().stats();
    sum += stats.owned + stats.replicas;
  }
  return sum;
}

void Fleet::Report(const LoadReport& report) {
  for (const auto& [id, node] : nodes_) {
    node->Run([report](Node& n) { n.OnReport(report); });
  }
}

Steering::Stats Fleet::StatsOf(InstanceId id) const {
  return Find(id)->steering().stats();
}

std::uint64_t Fleet::Count(const std::string& counter) const {
  std::uint64_t sum = 0;
  const auto add = [&](const Node& node) {
    for (const auto& [name, value] : node.counters().Read()) {
      if (name == counter) sum += value;
    }
  };
  for (const auto& [id, node] : nodes_) add(*node);
  for (const auto& node : stopped_) add(*node);
  return sum;
}

Duration Fleet::DelayBetween(DomainId a, DomainId b) {
  const Duration base = a == b ? options_.delay_inside : options_.delay_between;
  const double factor = 1.0 + options_.jitter * random_.Unit();
  return std::chrono::duration_cast<Duration>(base * factor);
}

bool Fleet::IsCut(DomainId a, DomainId b) const {
  return a != b && (cut_.contains(a) || cut_.contains(b));
}

void Fleet::Transmit(InstanceId from, InstanceId to,
                     const std::function<void(Node&)>& deliver) {
  const DomainId a = DomainOf(from);
  const DomainId b = DomainOf(to);
  if (IsCut(a, b) || random_.Unit() < options_.loss) return;
  const int copies = random_.Unit() < options_.duplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    queue_.After(DelayBetween(a, b), [this, a, b, to, deliver] {
      Node* node = Find(to);
      if (node != nullptr && !IsCut(a, b)) node->Run(deliver);
    });
  }
}

void Fleet::SendMessage(InstanceId from, InstanceId to,
                        const FlowMessage& message) {
  const std::size_t bytes = WireSize(message);
  control_bytes_ += bytes;
  bytes_by_kind_[kKindNames[message.index()]] += bytes;
  observer_.OnMessage(from, to, message);
  if (!members_.contains(to)) return;
  Transmit(from, to,
           [from, message](Node& node) { node.OnMessage(from, message); });
}

void Fleet::Deliver(InstanceId to, const PacketInFlight& packet) {
  if (Node* node = Find(to)) {
    node->Run([packet](Node& n) { n.OnPacket(packet); });
  }
}

void Fleet::Accept(Configuration configuration) {
  const auto accepted =
      std::make_shared<const Configuration>(std::move(configuration));
  newest_ = accepted;
  for (const auto& [id, node] : nodes_) {
    const Duration received =
        std::chrono::duration_cast<Duration>(options_.spread * random_.Unit());
    const auto prepare = [accepted,
                          uses_prepare = options_.uses_prepare](Node& n) {
      if (n.newest()->version >= accepted->version) return;
      n.SetConfigurations(uses_prepare ? n.active() : accepted, accepted);
    };
    const auto activate = [accepted](Node& n) {
      if (n.active()->version >= accepted->version) return;
      n.SetConfigurations(accepted, n.newest());
    };
    const auto run = [this,
                      target = id](const std::function<void(Node&)>& event) {
      if (Node* n = Find(target)) n->Run(event);
    };
    queue_.After(received, [run, prepare] { run(prepare); });
    // Heartbeats carry the new version almost at once, so an instance that
    // lacks it finds no peer that confirms its own version.
    queue_.After(options_.prepare, [run, accepted] {
      run([accepted](Node& n) { n.OnNewerVersion(accepted->version); });
    });
    if (!options_.uses_prepare) continue;
    // All instances have confirmed when the slowest one has received the
    // configuration, but each waits at most `prepare` after its own
    // preparation.
    const Duration confirmed = options_.spread + options_.delay_between * 2;
    const Duration activated =
        std::min(confirmed, received + options_.prepare) +
        std::chrono::duration_cast<Duration>(options_.delay_between *
                                             (2 * random_.Unit()));
    queue_.After(activated, [run, activate] { run(activate); });
  }
}

void Fleet::Kill(InstanceId id) {
  const auto it = nodes_.find(id);
  if (it == nodes_.end()) return;
  it->second->Stop();
  stopped_.push_back(std::move(it->second));
  nodes_.erase(it);
  members_[id].state = MemberState::kDead;
  PropagateMembers(options_.detection);
}

void Fleet::Start(InstanceId id, DomainId domain) {
  Member& member = members_[id];
  member = {id, domain, MemberState::kAlive,
            static_cast<Incarnation>(Value(member.incarnation) + 1)};
  auto node = std::make_unique<Node>(*this, id, domain);
  node->SetMembers(MembersSeenFrom(domain));
  node->SetConfigurations(newest_, newest_);
  nodes_[id] = std::move(node);
  PropagateMembers(options_.delay_between * 4);
}

void Fleet::Leave(InstanceId id) {
  Node* node = Find(id);
  if (node == nullptr) return;
  members_[id].state = MemberState::kLeaving;
  node->SetLeaving();
  PropagateMembers(options_.delay_between * 4);
  // The fabric stops sending well before the drain time has passed.
  queue_.After(std::chrono::seconds(10), [this, id] {
    const auto it = nodes_.find(id);
    if (it == nodes_.end()) return;
    it->second->Stop();
    stopped_.push_back(std::move(it->second));
    nodes_.erase(it);
    members_[id].state = MemberState::kLeft;
    PropagateMembers(options_.delay_between * 4);
  });
}

void Fleet::Pause(InstanceId id, Duration time) {
  Node* node = Find(id);
  if (node == nullptr) return;
  node->Pause(queue_.now() + time);
  if (time <= options_.detection) return;
  queue_.After(options_.detection, [this, id] {
    if (!IsPaused(id)) return;
    members_[id].state = MemberState::kDead;
    PropagateMembers(Duration::zero());
  });
  queue_.After(time + options_.delay_between * 4, [this, id] {
    if (members_[id].state != MemberState::kDead || Find(id) == nullptr) return;
    Member& member = members_[id];
    member.state = MemberState::kAlive;
    member.incarnation =
        static_cast<Incarnation>(Value(member.incarnation) + 1);
    PropagateMembers(Duration::zero());
  });
}

void Fleet::Partition(DomainId domain) {
  cut_.insert(domain);
  PropagateMembers(options_.detection);
}

void Fleet::Heal(DomainId domain) {
  cut_.erase(domain);
  PropagateMembers(std::chrono::seconds(1));
}

std::vector<Member> Fleet::MembersSeenFrom(DomainId domain) const {
  std::vector<Member> seen;
  for (const auto& [id, member] : members_) {
    seen.push_back(member);
    if (IsCut(domain, member.domain)) seen.back().state = MemberState::kDead;
  }
  return seen;
}

void Fleet::PropagateMembers(Duration delay) {
  for (const auto& [id, node] : nodes_) {
    const Duration received =
        delay + std::chrono::duration_cast<Duration>(
                    std::chrono::milliseconds(200) * random_.Unit());
    queue_.After(received, [this, target = id] {
      Node* n = Find(target);
      if (n == nullptr) return;
      n->Run([this](Node& m) { m.SetMembers(MembersSeenFrom(m.domain())); });
    });
  }
}

}  // namespace sapphirestream::fleet
