// Guards against messages that are altered by encoding and decoding, and
// against malformed ones that crash the receiver or use unbounded memory.
#include "sapphirestream/link/peer_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "sapphirestream/base/random.h"
#include "sapphirestream/link/messages.capnp.h"

namespace sapphirestream {
namespace {

FlowKey Key(const char* client, Protocol protocol = Protocol::kTcp) {
  return {*ParseAddress(client), ServiceId{kMaxServiceId}, 65535, protocol};
}

std::vector<PeerMessage> AllMessages() {
  const std::vector<RecordCopy> records{
      {Key("10.1.2.3"), TargetId{7}, RecordState::kRefused},
      {Key("fd00::9", Protocol::kUdp), kNoTarget, RecordState::kOpening}};
  Heartbeat heartbeat{DomainId{3},
                      Incarnation{1ULL << 60},
                      99,
                      ConfigVersion{5},
                      ConfigVersion{4},
                      true,
                      {{InstanceId{1}, 8}, {InstanceId{2}, 0}},
                      {}};
  heartbeat.members.push_back(
      {InstanceId{4}, DomainId{1}, MemberState::kLeft, Incarnation{2}});
  return {
      heartbeat,
      Probe{InstanceId{1}, 2},
      ProbeAck{InstanceId{1}, Incarnation{3}, 2},
      Leave{Incarnation{4}},
      ConfigDelta{ConfigVersion{1}, ConfigVersion{2}, "{\"a\":1}"},
      ConfigPull{ConfigVersion{1}, ConfigVersion{2}, 3},
      ConfigChunk{ConfigVersion{0}, ConfigVersion{2}, 1, 2, "body"},
      ConfigConfirm{ConfigVersion{9}, DomainId{1}, 2, 3, 4, {InstanceId{5}}},
      Redirect{InstanceId{5}, 2, ServiceId{6}, true, std::string(1400, '\0')},
      Learn{Key("10.0.0.1"), TargetId{8}},
      RecordBatch{1, true, true, records},
      RecordAck{{1, 1ULL << 40}, {3}},
      RecordPull{ServiceId{1}, DomainId{2}, 3},
      RecordPage{ServiceId{1}, DomainId{2}, 3, records},
      FlowEnd{{Key("10.0.0.1"), Key("fd00::1")}},
      PlacementCounts{ServiceId{1}, {{TargetId{1}, 5}, {TargetId{2}, 0}}},
  };
}

std::vector<std::byte> Encode(const PeerMessage& message) {
  std::vector<std::byte> out;
  EncodePeerMessage(message, out);
  return out;
}

bool IsMalformed(std::span<const std::byte> bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(DecodePeerMessage(bytes));
        return false;
      },
      [](const Error& error) {
        return error.kind == ErrorKind::kMalformedMessage;
      },
      [] { return false; });
}

template <typename Fill>
std::vector<std::byte> EncodeWire(Fill fill) {
  capnp::MallocMessageBuilder builder;
  fill(builder.initRoot<wire::PeerMessage>());
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  const auto* begin = reinterpret_cast<const std::byte*>(bytes.begin());
  return {begin, begin + bytes.size()};
}

BOOST_AUTO_TEST_SUITE(peer_message)

BOOST_AUTO_TEST_CASE(every_message_survives_a_round_trip) {
  const auto messages = AllMessages();
  BOOST_TEST(messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : messages) {
    BOOST_TEST_CONTEXT("message " << message.index()) {
      const auto decoded = DecodePeerMessage(Encode(message));
      BOOST_REQUIRE(decoded);
      BOOST_TEST((*decoded == message));
    }
  }
}

BOOST_AUTO_TEST_CASE(every_truncation_is_malformed) {
  for (const PeerMessage& message : AllMessages()) {
    const auto bytes = Encode(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST_CONTEXT("message " << message.index() << " size " << size)
      BOOST_TEST(IsMalformed(std::span(bytes).first(size)));
    }
  }
}

BOOST_AUTO_TEST_CASE(corrupted_messages_never_crash) {
  SeededRandom random(1);
  for (const PeerMessage& message : AllMessages()) {
    for (int i = 0; i < 500; ++i) {
      auto bytes = Encode(message);
      bytes[random.Below(bytes.size())] =
          static_cast<std::byte>(random.Below(256));
      (void)IsMalformed(bytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(values_out_of_range_are_malformed) {
  const auto with_key = [](auto change) {
    return EncodeWire([&](wire::PeerMessage::Builder root) {
      auto key = root.initLearn().initKey();
      const kj::byte address[16] = {10};
      key.setClient(kj::arrayPtr(address, 4));
      key.setProtocol(6);
      change(key, address);
    });
  };
  BOOST_TEST(!IsMalformed(with_key([](auto, const auto&) {})));
  BOOST_TEST(
      IsMalformed(with_key([](auto key, const auto&) { key.setProtocol(1); })));
  BOOST_TEST(IsMalformed(
      with_key([](auto key, const auto&) { key.setService(1U << 24); })));
  BOOST_TEST(IsMalformed(with_key([](auto key, const auto& address) {
    key.setClient(kj::arrayPtr(address, 5));
  })));
  const auto mapped = MakeV4(10, 0, 0, 1).bytes;
  BOOST_TEST(IsMalformed(with_key([&](auto key, const auto&) {
    key.setClient(kj::arrayPtr(mapped.data(), mapped.size()));
  })));
  BOOST_TEST(IsMalformed(EncodeWire([](wire::PeerMessage::Builder root) {
    root.initHeartbeat().initMembers(1)[0].setState(6);
  })));
  BOOST_TEST(IsMalformed(EncodeWire([](wire::PeerMessage::Builder root) {
    root.initConfigChunk().setIndex(1);
  })));
}

BOOST_AUTO_TEST_CASE(packed_zeros_cannot_use_unbounded_memory) {
  const auto bytes = EncodeWire([](wire::PeerMessage::Builder root) {
    root.initRedirect().initPacket(1'000'000);
  });
  BOOST_TEST(bytes.size() < 1400U);
  BOOST_TEST(IsMalformed(bytes));
  const auto long_list = EncodeWire([](wire::PeerMessage::Builder root) {
    root.initPlacementCounts().initCounts(4'096);
  });
  BOOST_TEST(IsMalformed(long_list));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
