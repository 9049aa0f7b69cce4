@0xd2c5a1f0b7e94c36;
# Wire form of the messages between instances. Fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sapphirestream::wire");

struct Echo {
  instance @0 :UInt32;
  sequence @1 :UInt64;
}

struct Member {
  instance @0 :UInt32;
  domain @1 :UInt16;
  state @2 :UInt8;
  incarnation @3 :UInt64;
}

struct Heartbeat {
  domain @0 :UInt16;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  prepared @3 :UInt64;
  active @4 :UInt64;
  leaving @5 :Bool;
  echoes @6 :List(Echo);
  members @7 :List(Member);
}

struct Probe {
  subject @0 :UInt32;
  nonce @1 :UInt64;
}

struct ProbeAck {
  subject @0 :UInt32;
  incarnation @1 :UInt64;
  nonce @2 :UInt64;
}

struct Leave {
  incarnation @0 :UInt64;
}

struct ConfigPart {
  base @0 :UInt64;
  version @1 :UInt64;
  index @2 :UInt32;
  count @3 :UInt32 = 1;
  body @4 :Data;
}

struct ConfigPull {
  have @0 :UInt64;
  wanted @1 :UInt64;
  index @2 :UInt32;
}

struct ConfigConfirm {
  version @0 :UInt64;
  domain @1 :UInt16;
  prepared @2 :UInt32;
  active @3 :UInt32;
  live @4 :UInt32;
  lagging @5 :List(UInt32);
}

struct FlowKey {
  # Four bytes for IPv4, sixteen for IPv6.
  client @0 :Data;
  service @1 :UInt32;
  clientPort @2 :UInt16;
  protocol @3 :UInt8;
}

struct Redirect {
  asker @0 :UInt32;
  hopLimit @1 :UInt8;
  service @2 :UInt32;
  repeated @3 :Bool;
  packet @4 :Data;
}

struct Record {
  key @0 :FlowKey;
  target @1 :UInt32;
  state @2 :UInt8;
}

struct RecordBatch {
  sequence @0 :UInt64;
  handover @1 :Bool;
  urgent @2 :Bool;
  records @3 :List(Record);
}

struct RecordAck {
  accepted @0 :List(UInt64);
  refused @1 :List(UInt64);
}

struct RecordPull {
  service @0 :UInt32;
  domain @1 :UInt16;
  cursor @2 :UInt64;
}

struct RecordPage {
  service @0 :UInt32;
  domain @1 :UInt16;
  nextCursor @2 :UInt64;
  records @3 :List(Record);
}

struct Count {
  target @0 :UInt32;
  open @1 :UInt32;
}

struct PlacementCounts {
  service @0 :UInt32;
  counts @1 :List(Count);
}

struct PeerMessage {
  union {
    heartbeat @0 :Heartbeat;
    probe @1 :Probe;
    probeAck @2 :ProbeAck;
    leave @3 :Leave;
    configDelta @4 :ConfigPart;
    configPull @5 :ConfigPull;
    configChunk @6 :ConfigPart;
    configConfirm @7 :ConfigConfirm;
    redirect @8 :Redirect;
    learn @9 :Record;
    recordBatch @10 :RecordBatch;
    recordAck @11 :RecordAck;
    recordPull @12 :RecordPull;
    recordPage @13 :RecordPage;
    flowEnd @14 :List(FlowKey);
    placementCounts @15 :PlacementCounts;
  }
}
