// Converts messages from their Cap'n Proto form.
#include "sapphirestream/link/wire_reader.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sapphirestream::internal {
namespace {

// Exceeds the length of any list in a valid datagram. Limits the memory of a
// decoded message whose list elements occupy no space on the wire.
constexpr unsigned kMaxListSize = 2'048;

std::string ReadBytes(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

bool ReadService(std::uint32_t value, ServiceId& out) {
  out = ServiceId{value};
  return value <= kMaxServiceId;
}

bool ReadKey(wire::FlowKey::Reader in, FlowKey& out) {
  const auto client = in.getClient();
  if (client.size() == 4) {
    out.client = MakeV4(client[0], client[1], client[2], client[3]);
  } else if (client.size() == out.client.bytes.size()) {
    std::copy(client.begin(), client.end(), out.client.bytes.begin());
    // IPv4 addresses must use the short form, so that each key has one
    // encoding.
    if (out.client.is_v4()) return false;
  } else {
    return false;
  }
  out.client_port = in.getClientPort();
  out.protocol = static_cast<Protocol>(in.getProtocol());
  const bool is_known =
      out.protocol == Protocol::kTcp || out.protocol == Protocol::kUdp;
  return is_known && ReadService(in.getService(), out.service);
}

// Converts each element of a list with `convert(element, converted)`, which
// returns false if the element is invalid.
template <typename List, typename T, typename Convert>
bool ReadList(const List& in, std::vector<T>& out, Convert convert) {
  if (in.size() > kMaxListSize) return false;
  out.resize(in.size());
  for (unsigned i = 0; i < in.size(); ++i) {
    if (!convert(in[i], out[i])) return false;
  }
  return true;
}

bool ReadRecord(wire::Record::Reader in, RecordCopy& out) {
  out.target = TargetId{in.getTarget()};
  out.state = static_cast<RecordState>(in.getState());
  return out.state <= RecordState::kRefused && ReadKey(in.getKey(), out.key);
}

bool ReadMember(wire::Member::Reader in, Member& out) {
  out = {InstanceId{in.getInstance()}, DomainId{in.getDomain()},
         static_cast<MemberState>(in.getState()),
         Incarnation{in.getIncarnation()}};
  return out.state <= MemberState::kLeft;
}

bool ReadHeartbeat(wire::Heartbeat::Reader in, Heartbeat& out) {
  out.domain = DomainId{in.getDomain()};
  out.incarnation = Incarnation{in.getIncarnation()};
  out.sequence = in.getSequence();
  out.prepared = ConfigVersion{in.getPrepared()};
  out.active = ConfigVersion{in.getActive()};
  out.leaving = in.getLeaving();
  const auto read_echo = [](wire::Echo::Reader echo, HeartbeatEcho& converted) {
    converted = {InstanceId{echo.getInstance()}, echo.getSequence()};
    return true;
  };
  return ReadList(in.getEchoes(), out.echoes, read_echo) &&
         ReadList(in.getMembers(), out.members, ReadMember);
}

bool ReadConfirm(wire::ConfigConfirm::Reader in, ConfigConfirm& out) {
  out.version = ConfigVersion{in.getVersion()};
  out.domain = DomainId{in.getDomain()};
  out.prepared = in.getPrepared();
  out.active = in.getActive();
  out.live = in.getLive();
  return ReadList(in.getLagging(), out.lagging,
                  [](std::uint32_t id, InstanceId& converted) {
                    converted = InstanceId{id};
                    return true;
                  });
}

bool ReadChunk(wire::ConfigPart::Reader in, ConfigChunk& out) {
  out = {ConfigVersion{in.getBase()}, ConfigVersion{in.getVersion()},
         in.getIndex(), in.getCount(), ReadBytes(in.getBody())};
  return out.index < out.count;
}

bool ReadDelta(wire::ConfigPart::Reader in, ConfigDelta& out) {
  out = {ConfigVersion{in.getBase()}, ConfigVersion{in.getVersion()},
         ReadBytes(in.getBody())};
  return true;
}

bool ReadRedirect(wire::Redirect::Reader in, Redirect& out) {
  out.asker = InstanceId{in.getAsker()};
  out.hop_limit = in.getHopLimit();
  out.repeated = in.getRepeated();
  out.packet = ReadBytes(in.getPacket());
  return ReadService(in.getService(), out.service);
}

bool ReadLearn(wire::Record::Reader in, Learn& out) {
  out.target = TargetId{in.getTarget()};
  return ReadKey(in.getKey(), out.key);
}

bool ReadBatch(wire::RecordBatch::Reader in, RecordBatch& out) {
  out.sequence = in.getSequence();
  out.handover = in.getHandover();
  out.urgent = in.getUrgent();
  return ReadList(in.getRecords(), out.records, ReadRecord);
}

std::vector<std::uint64_t> ReadSequences(
    capnp::List<std::uint64_t>::Reader in) {
  std::vector<std::uint64_t> out;
  out.reserve(in.size());
  for (const std::uint64_t sequence : in) out.push_back(sequence);
  return out;
}

bool ReadPull(wire::RecordPull::Reader in, RecordPull& out) {
  out.domain = DomainId{in.getDomain()};
  out.cursor = in.getCursor();
  return ReadService(in.getService(), out.service);
}

bool ReadPage(wire::RecordPage::Reader in, RecordPage& out) {
  out.domain = DomainId{in.getDomain()};
  out.next_cursor = in.getNextCursor();
  return ReadService(in.getService(), out.service) &&
         ReadList(in.getRecords(), out.records, ReadRecord);
}

bool ReadCounts(wire::PlacementCounts::Reader in, PlacementCounts& out) {
  const auto read_count = [](wire::Count::Reader count,
                             PlacementCount& converted) {
    converted = {TargetId{count.getTarget()}, count.getOpen()};
    return true;
  };
  return ReadService(in.getService(), out.service) &&
         ReadList(in.getCounts(), out.counts, read_count);
}

}  // namespace

bool Read(wire::PeerMessage::Reader root, PeerMessage& out) {
  switch (root.which()) {
    case wire::PeerMessage::HEARTBEAT:
      return ReadHeartbeat(root.getHeartbeat(), out.emplace<Heartbeat>());
    case wire::PeerMessage::PROBE:
      out = Probe{InstanceId{root.getProbe().getSubject()},
                  root.getProbe().getNonce()};
      return true;
    case wire::PeerMessage::PROBE_ACK:
      out = ProbeAck{InstanceId{root.getProbeAck().getSubject()},
                     Incarnation{root.getProbeAck().getIncarnation()},
                     root.getProbeAck().getNonce()};
      return true;
    case wire::PeerMessage::LEAVE:
      out = Leave{Incarnation{root.getLeave().getIncarnation()}};
      return true;
    case wire::PeerMessage::CONFIG_DELTA:
      return ReadDelta(root.getConfigDelta(), out.emplace<ConfigDelta>());
    case wire::PeerMessage::CONFIG_PULL: {
      const auto pull = root.getConfigPull();
      out = ConfigPull{ConfigVersion{pull.getHave()},
                       ConfigVersion{pull.getWanted()}, pull.getIndex()};
      return true;
    }
    case wire::PeerMessage::CONFIG_CHUNK:
      return ReadChunk(root.getConfigChunk(), out.emplace<ConfigChunk>());
    case wire::PeerMessage::CONFIG_CONFIRM:
      return ReadConfirm(root.getConfigConfirm(), out.emplace<ConfigConfirm>());
    case wire::PeerMessage::REDIRECT:
      return ReadRedirect(root.getRedirect(), out.emplace<Redirect>());
    case wire::PeerMessage::LEARN:
      return ReadLearn(root.getLearn(), out.emplace<Learn>());
    case wire::PeerMessage::RECORD_BATCH:
      return ReadBatch(root.getRecordBatch(), out.emplace<RecordBatch>());
    case wire::PeerMessage::RECORD_ACK:
      out = RecordAck{ReadSequences(root.getRecordAck().getAccepted()),
                      ReadSequences(root.getRecordAck().getRefused())};
      return true;
    case wire::PeerMessage::RECORD_PULL:
      return ReadPull(root.getRecordPull(), out.emplace<RecordPull>());
    case wire::PeerMessage::RECORD_PAGE:
      return ReadPage(root.getRecordPage(), out.emplace<RecordPage>());
    case wire::PeerMessage::FLOW_END:
      return ReadList(root.getFlowEnd(), out.emplace<FlowEnd>().flows, ReadKey);
    case wire::PeerMessage::PLACEMENT_COUNTS:
      return ReadCounts(root.getPlacementCounts(),
                        out.emplace<PlacementCounts>());
  }
  return false;
}

}  // namespace sapphirestream::internal
