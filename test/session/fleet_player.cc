// Plays a script on the decision logic of several instances and records their
// actions.
#include <algorithm>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "bench/fleet/fleet.h"
#include "bench/fleet/site.h"
#include "test/session/promises.h"
#include "test/session/script.h"

namespace sapphirestream::session {
namespace {

using fleet::Fleet;
using fleet::PacketInFlight;

// Time for started instances to pull records from each other.
constexpr Duration kWarmUpTime = std::chrono::milliseconds(500);
// Time after a fault during which packets may be lost: detection takes 3 s, and
// records are restored within 10 s after a partition has healed.
constexpr Duration kFaultRecoveryTime = std::chrono::seconds(5);
constexpr Duration kPartitionRecoveryTime = std::chrono::seconds(12);

constexpr const char* kMessageNames[] = {"learn",       "record_batch",
                                         "record_ack",  "record_pull",
                                         "record_page", "flow_end"};

ServiceId ServiceFrom(const Arguments& arguments) {
  static const std::map<std::string, ServiceId> services = {
      {"board", fleet::kBoard},
      {"orders", fleet::kOrders},
      {"uploads", fleet::kUploads},
      {"datagram_orders", fleet::kDatagramOrders},
      // Not in any configuration.
      {"unknown", ServiceId{99}}};
  return services.at(arguments.Text("service"));
}

class FleetPlayer final : public fleet::Observer {
 public:
  explicit FleetPlayer(const Script& script)
      : script_(script),
        records_messages_(script.options.Number("messages", 1)) {
    const Arguments& options = script.options;
    fleet::SiteOptions site;
    site.domains = options.Number("domains");
    site.large_targets = options.Number("targets", 14);
    site.load_share_permille = options.Number("load_share", 200);
    const Configuration configuration = fleet::MakeSite(site);
    promises_.OnAccepted(configuration, TimePoint{});
    fleet::FleetOptions fleet_options;
    fleet_options.instances = options.Number("instances");
    fleet_options.domains = site.domains;
    fleet_options.seed = options.Number("seed");
    fleet_options.loss = options.Number("loss_permille", 0) / 1000.0;
    if (fleet_options.loss > 0) lossy_until_ = TimePoint::max();
    fleet_ = std::make_unique<Fleet>(fleet_options, configuration, *this);
  }

  Outcome Play() {
    fleet_->RunFor(kWarmUpTime);
    record_.str("");
    start_ = Now();
    for (const Step& step : script_.steps) {
      fleet_->queue().After(step.at, [this, &step] { Run(step); });
    }
    fleet_->RunFor(script_.end);
    promises_.Finish(sent_);
    return {record_.str(), promises_.violations()};
  }

  void OnForwarded(const PacketInFlight& packet, TargetId target,
                   InstanceId by) override {
    PacketLine("forward", packet)
        << " by=" << Value(by) << " target=" << Value(target) << '\n';
    promises_.OnForwarded(sent_.at(packet.id), target, Now());
  }
  void OnAnswered(const PacketInFlight& packet, ErrorKind reason,
                  InstanceId by) override {
    const bool is_reset = AnswerFor(reason).packet_reply == PacketReply::kReset;
    PacketLine("answer", packet)
        << " by=" << Value(by) << " reason=" << AnswerFor(reason).name
        << " answer=" << (is_reset ? "reset" : "not_run") << '\n';
    promises_.OnAnswered(sent_.at(packet.id), reason);
  }
  void OnDropped(const PacketInFlight& packet, ErrorKind reason,
                 InstanceId by) override {
    PacketLine("drop", packet)
        << " by=" << Value(by) << " reason=" << AnswerFor(reason).name << '\n';
  }
  void OnRedirected(const PacketInFlight& packet, InstanceId from,
                    InstanceId to) override {
    PacketLine("redirect", packet)
        << " from=" << Value(from) << " to=" << Value(to) << '\n';
  }
  void OnMessage(InstanceId from, InstanceId to,
                 const FlowMessage& message) override {
    const auto* page = std::get_if<RecordPage>(&message);
    const bool is_empty = page != nullptr && page->records.empty();
    // Leaves out the most frequent messages: placement counts are sent
    // continuously, and a recovery pulls the records of each service from each
    // domain.
    const bool is_frequent = std::holds_alternative<PlacementCounts>(message) ||
                             std::holds_alternative<RecordPull>(message);
    if (records_messages_ == 0 || is_frequent || is_empty) return;
    std::ostream& line = Line("message");
    line << " from=" << Value(from) << " to=" << Value(to)
         << " kind=" << kMessageNames[message.index()];
    if (page != nullptr) line << " records=" << page->records.size();
    if (const auto* batch = std::get_if<RecordBatch>(&message)) {
      line << " records=" << batch->records.size()
           << (batch->handover ? " handover=1" : "")
           << (batch->urgent ? " urgent=1" : "");
    } else if (const auto* ack = std::get_if<RecordAck>(&message)) {
      line << " refused=" << ack->refused.size();
    }
    line << '\n';
  }
  void OnConfigurations(InstanceId at, const Configuration& active,
                        const Configuration& newest) override {
    if (!promises_.OnConfigurations(at, active, newest)) return;
    Line("active") << " at=" << Value(at)
                   << " version=" << Value(active.version) << '\n';
  }

 private:
  void Run(const Step& step) {
    const std::string& verb = step.verb;
    const Arguments& arguments = step.arguments;
    if (verb == "packet") return SendPackets(arguments);
    Line(verb) << step.text << '\n';
    const Configuration& newest = fleet_->newest();
    const WallTime now = fleet_->WallNow();
    if (verb == "add") {
      Accept(fleet::AddTarget(newest, ServiceFrom(arguments),
                              static_cast<DomainId>(arguments.Number("domain")),
                              now));
    } else if (verb == "drain") {
      for (auto i = arguments.Number("count", 1); i > 0; --i) {
        Accept(
            fleet::DrainTarget(fleet_->newest(), ServiceFrom(arguments), now));
      }
    } else if (verb == "switch") {
      Accept(fleet::SwitchPreset(newest, arguments.Number("load_share"), now));
    } else if (verb == "cut" || verb == "heal") {
      const auto domain = static_cast<DomainId>(arguments.Number("domain"));
      open_partitions_ += verb == "cut" ? 1 : -1;
      AllowLossFor(kPartitionRecoveryTime);
      verb == "cut" ? fleet_->Partition(domain) : fleet_->Heal(domain);
    } else {
      RunInstanceStep(step);
    }
  }

  void RunInstanceStep(const Step& step) {
    const Arguments& arguments = step.arguments;
    const auto id = static_cast<InstanceId>(arguments.Number("instance"));
    if (step.verb == "join") {
      fleet_->Start(id, static_cast<DomainId>(arguments.Number("domain")));
    } else if (step.verb == "leave") {
      fleet_->Leave(id);
    } else if (step.verb == "kill") {
      AllowLossFor(kFaultRecoveryTime);
      fleet_->Kill(id);
    } else if (step.verb == "pause") {
      const std::chrono::milliseconds time(arguments.Number("ms"));
      AllowLossFor(time + kFaultRecoveryTime);
      fleet_->Pause(id, time);
    } else {
      throw std::runtime_error("unknown event " + step.verb);
    }
  }

  void Accept(const Configuration& configuration) {
    Line("accept") << " version=" << Value(configuration.version);
    for (const Service& service : configuration.services) {
      for (const Target& target : service.targets) {
        if (target.added == configuration.version) {
          record_ << " added=" << Value(target.id);
        } else if (target.drained == configuration.version) {
          record_ << " drained=" << Value(target.id);
        }
      }
    }
    record_ << '\n';
    promises_.OnAccepted(configuration, Now());
    fleet_->Accept(configuration);
  }

  void SendPackets(const Arguments& arguments) {
    const std::uint32_t flows = arguments.Number("flows", 1);
    const std::string& name = arguments.Text("flow");
    for (std::uint32_t i = 1; i <= flows; ++i) {
      Send(flows == 1 ? name : name + std::to_string(i), arguments);
    }
  }

  void Send(const std::string& flow, const Arguments& arguments) {
    const std::string& kind = arguments.Text("kind");
    if (!templates_.contains(flow)) templates_[flow] = FirstPacket(arguments);
    Packet packet = templates_[flow];
    packet.syn = kind == "syn";
    packet.ack = kind == "data" || kind == "fin";
    packet.fin = kind == "fin";
    packet.payload_size = kind == "data" || kind == "datagram" ? 100 : 0;
    std::string label = flow + '/' + kind;
    const std::uint32_t copy = ++copies_sent_[label];
    if (copy > 1) label += '#' + std::to_string(copy);
    if (packet.ack) packet.sequence += arguments.Number("offset", 100 * copy);
    const std::vector<InstanceId> live = fleet_->live();
    // For `*`, the fabric uses the live instances in rotation.
    const InstanceId via =
        arguments.Text("via") == "*"
            ? live.at(next_via_++ % live.size())
            : static_cast<InstanceId>(arguments.Number("via"));
    const bool is_live = std::find(live.begin(), live.end(), via) != live.end();
    sent_.push_back({.flow = flow, .label = label, .packet = packet});
    const PacketInFlight in_flight{packet, sent_.size() - 1};
    if (!is_live) {
      PacketLine("lost", in_flight) << " via=" << Value(via) << '\n';
    }
    promises_.OnSent(sent_.back(), via,
                     is_live && open_partitions_ == 0 && Now() >= lossy_until_,
                     Now());
    fleet_->Deliver(via, in_flight);
  }

  Packet FirstPacket(const Arguments& arguments) {
    const std::uint32_t client = arguments.Number("client", ++last_client_);
    const bool is_udp = arguments.Text("kind") == "datagram";
    Packet packet;
    packet.key.service = ServiceFrom(arguments);
    packet.key.client = MakeV4(10, 0, 0, static_cast<std::uint8_t>(client));
    packet.key.client_port = 4000;
    packet.key.protocol = is_udp ? Protocol::kUdp : Protocol::kTcp;
    packet.hash = HashFlow(packet.key);
    packet.sequence = is_udp ? 0 : arguments.Number("isn", 7);
    return packet;
  }

  void AllowLossFor(Duration time) {
    if (lossy_until_ == TimePoint::max()) return;
    lossy_until_ = std::max(lossy_until_, Now() + time);
  }
  // Returns zero during the constructor of the fleet.
  [[nodiscard]] TimePoint Now() const {
    return fleet_ == nullptr ? TimePoint{} : fleet_->queue().now();
  }
  // Starts a line with the time since the start in milliseconds.
  std::ostream& Line(const std::string& event) {
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(Now() - start_);
    return record_ << "t=" << since.count() << " event=" << event;
  }
  std::ostream& PacketLine(const char* event, const PacketInFlight& packet) {
    return Line(event) << " packet=" << sent_.at(packet.id).label;
  }

  const Script& script_;
  std::uint32_t records_messages_;
  Promises promises_;
  std::ostringstream record_;
  // Indexed by packet id.
  std::vector<SentPacket> sent_;
  // First packet of each flow, by name, from which the later ones are made; and
  // number of packets sent, by label.
  std::map<std::string, Packet> templates_;
  std::map<std::string, std::uint32_t> copies_sent_;
  std::uint32_t last_client_ = 0;
  std::size_t next_via_ = 0;
  // Time until which a fault may lose packets.
  TimePoint lossy_until_;
  int open_partitions_ = 0;
  TimePoint start_;
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace

Outcome PlayFleet(const Script& script) { return FleetPlayer(script).Play(); }

}  // namespace sapphirestream::session
