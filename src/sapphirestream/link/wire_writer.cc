// Converts messages to their Cap'n Proto form.
#include "sapphirestream/link/wire_writer.h"

#include <string>
#include <vector>

namespace sapphirestream::internal {
namespace {

capnp::Data::Reader AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void WriteKey(const FlowKey& key, wire::FlowKey::Builder out) {
  constexpr std::size_t k_v4_offset = 12;
  const auto& bytes = key.client.bytes;
  const std::size_t skip = key.client.is_v4() ? k_v4_offset : 0;
  out.setClient(kj::arrayPtr(bytes.data() + skip, bytes.size() - skip));
  out.setService(Value(key.service));
  out.setClientPort(key.client_port);
  out.setProtocol(static_cast<std::uint8_t>(key.protocol));
}

void WriteRecords(const std::vector<RecordCopy>& records,
                  capnp::List<wire::Record>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    WriteKey(records[i].key, out[i].initKey());
    out[i].setTarget(Value(records[i].target));
    out[i].setState(static_cast<std::uint8_t>(records[i].state));
  }
}

unsigned Size(std::size_t size) { return static_cast<unsigned>(size); }

}  // namespace

void Write(const Heartbeat& message, wire::PeerMessage::Builder root) {
  auto out = root.initHeartbeat();
  out.setDomain(Value(message.domain));
  out.setIncarnation(Value(message.incarnation));
  out.setSequence(message.sequence);
  out.setPrepared(Value(message.prepared));
  out.setActive(Value(message.active));
  out.setLeaving(message.leaving);
  auto echoes = out.initEchoes(Size(message.echoes.size()));
  for (unsigned i = 0; i < echoes.size(); ++i) {
    echoes[i].setInstance(Value(message.echoes[i].instance));
    echoes[i].setSequence(message.echoes[i].sequence);
  }
  auto members = out.initMembers(Size(message.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    const Member& member = message.members[i];
    members[i].setInstance(Value(member.id));
    members[i].setDomain(Value(member.domain));
    members[i].setState(static_cast<std::uint8_t>(member.state));
    members[i].setIncarnation(Value(member.incarnation));
  }
}

void Write(const Probe& message, wire::PeerMessage::Builder root) {
  auto out = root.initProbe();
  out.setSubject(Value(message.subject));
  out.setNonce(message.nonce);
}

void Write(const ProbeAck& message, wire::PeerMessage::Builder root) {
  auto out = root.initProbeAck();
  out.setSubject(Value(message.subject));
  out.setIncarnation(Value(message.incarnation));
  out.setNonce(message.nonce);
}

void Write(const Leave& message, wire::PeerMessage::Builder root) {
  root.initLeave().setIncarnation(Value(message.incarnation));
}

void Write(const ConfigDelta& message, wire::PeerMessage::Builder root) {
  auto out = root.initConfigDelta();
  out.setBase(Value(message.base));
  out.setVersion(Value(message.version));
  out.setBody(AsData(message.body));
}

void Write(const ConfigPull& message, wire::PeerMessage::Builder root) {
  auto out = root.initConfigPull();
  out.setHave(Value(message.have));
  out.setWanted(Value(message.wanted));
  out.setIndex(message.index);
}

void Write(const ConfigChunk& message, wire::PeerMessage::Builder root) {
  auto out = root.initConfigChunk();
  out.setBase(Value(message.base));
  out.setVersion(Value(message.version));
  out.setIndex(message.index);
  out.setCount(message.count);
  out.setBody(AsData(message.body));
}

void Write(const ConfigConfirm& message, wire::PeerMessage::Builder root) {
  auto out = root.initConfigConfirm();
  out.setVersion(Value(message.version));
  out.setDomain(Value(message.domain));
  out.setPrepared(message.prepared);
  out.setActive(message.active);
  out.setLive(message.live);
  auto lagging = out.initLagging(Size(message.lagging.size()));
  for (unsigned i = 0; i < lagging.size(); ++i) {
    lagging.set(i, Value(message.lagging[i]));
  }
}

void Write(const Redirect& message, wire::PeerMessage::Builder root) {
  auto out = root.initRedirect();
  out.setAsker(Value(message.asker));
  out.setHopLimit(message.hop_limit);
  out.setService(Value(message.service));
  out.setRepeated(message.repeated);
  out.setPacket(AsData(message.packet));
}

void Write(const Learn& message, wire::PeerMessage::Builder root) {
  auto out = root.initLearn();
  WriteKey(message.key, out.initKey());
  out.setTarget(Value(message.target));
}

void Write(const RecordBatch& message, wire::PeerMessage::Builder root) {
  auto out = root.initRecordBatch();
  out.setSequence(message.sequence);
  out.setHandover(message.handover);
  out.setUrgent(message.urgent);
  WriteRecords(message.records, out.initRecords(Size(message.records.size())));
}

void WriteSequences(const std::vector<std::uint64_t>& sequences,
                    capnp::List<std::uint64_t>::Builder out) {
  for (std::size_t i = 0; i < sequences.size(); ++i) {
    out.set(Size(i), sequences[i]);
  }
}

void Write(const RecordAck& message, wire::PeerMessage::Builder root) {
  auto out = root.initRecordAck();
  WriteSequences(message.accepted,
                 out.initAccepted(Size(message.accepted.size())));
  WriteSequences(message.refused,
                 out.initRefused(Size(message.refused.size())));
}

void Write(const RecordPull& message, wire::PeerMessage::Builder root) {
  auto out = root.initRecordPull();
  out.setService(Value(message.service));
  out.setDomain(Value(message.domain));
  out.setCursor(message.cursor);
}

void Write(const RecordPage& message, wire::PeerMessage::Builder root) {
  auto out = root.initRecordPage();
  out.setService(Value(message.service));
  out.setDomain(Value(message.domain));
  out.setNextCursor(message.next_cursor);
  WriteRecords(message.records, out.initRecords(Size(message.records.size())));
}

void Write(const FlowEnd& message, wire::PeerMessage::Builder root) {
  auto out = root.initFlowEnd(Size(message.flows.size()));
  for (unsigned i = 0; i < out.size(); ++i) WriteKey(message.flows[i], out[i]);
}

void Write(const PlacementCounts& message, wire::PeerMessage::Builder root) {
  auto out = root.initPlacementCounts();
  out.setService(Value(message.service));
  auto counts = out.initCounts(Size(message.counts.size()));
  for (unsigned i = 0; i < counts.size(); ++i) {
    counts[i].setTarget(Value(message.counts[i].target));
    counts[i].setOpen(message.counts[i].open);
  }
}

}  // namespace sapphirestream::internal
