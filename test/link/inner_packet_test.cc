// Guards against malformed inner packets that are steered by a wrong flow key,
// and against answers that a client's network stack would ignore.
#include "sapphirestream/link/inner_packet.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "sapphirestream/link/answer_packet.h"
#include "sapphirestream/link/byte_order.h"
#include "sapphirestream/link/checksum.h"
#include "sapphirestream/link/packet_builder.h"

namespace sapphirestream {
namespace {

constexpr ServiceId kService{9};

PacketSpec Spec(Protocol protocol, bool is_v6) {
  PacketSpec spec;
  spec.source = *ParseEndpoint(is_v6 ? "[fd00::1]:4000" : "10.0.0.1:4000");
  spec.destination = *ParseEndpoint(is_v6 ? "[fd00::2]:80" : "10.0.0.2:80");
  spec.protocol = protocol;
  spec.payload = "hello";
  return spec;
}

ErrorKind Parse(const std::vector<std::byte>& bytes) {
  InnerPacket out;
  return ParseInnerPacket(bytes, kService, out);
}

// Inserts an eight-byte extension header into an IPv6 packet.
std::vector<std::byte> WithExtension(std::vector<std::byte> packet,
                                     std::uint8_t type,
                                     std::uint8_t fourth_byte = 0) {
  std::vector<std::byte> extension(8);
  extension[0] = packet[6];
  extension[3] = std::byte{fourth_byte};
  packet[6] = std::byte{type};
  packet.insert(packet.begin() + 40, extension.begin(), extension.end());
  StoreBigEndian(&packet[4], static_cast<std::uint16_t>(packet.size() - 40));
  return packet;
}

// Returns the checksum over the transport part, which is zero if the checksum
// in its header is valid.
std::uint16_t TransportResidue(std::span<const std::byte> packet,
                               std::size_t offset, std::uint8_t protocol) {
  ChecksumAccumulator sum;
  const bool is_v4 = std::to_integer<int>(packet[0]) >> 4 == 4;
  if (protocol != 1) {
    sum.Add(is_v4 ? packet.subspan(12, 8) : packet.subspan(8, 32));
    sum.Add16(protocol);
    sum.Add16(static_cast<std::uint16_t>(packet.size() - offset));
  }
  sum.Add(packet.subspan(offset));
  return sum.Finish();
}

BOOST_AUTO_TEST_SUITE(inner_packet)

BOOST_AUTO_TEST_CASE(built_packets_parse_with_valid_checksums) {
  for (const bool is_v6 : {false, true}) {
    for (const Protocol protocol : {Protocol::kTcp, Protocol::kUdp}) {
      PacketSpec spec = Spec(protocol, is_v6);
      spec.syn = protocol == Protocol::kTcp;
      spec.sequence = protocol == Protocol::kTcp ? 77 : 0;
      const auto bytes = BuildPacket(spec);
      InnerPacket out;
      BOOST_TEST((ParseInnerPacket(bytes, kService, out) == ErrorKind::kNone));
      BOOST_TEST((out.packet.key.client == spec.source.address));
      BOOST_TEST(out.packet.key.client_port == 4000);
      BOOST_TEST((out.packet.key.service == kService));
      BOOST_TEST((out.destination == spec.destination));
      BOOST_TEST(out.packet.opens() == spec.syn);
      BOOST_TEST(out.packet.sequence == spec.sequence);
      BOOST_TEST(out.packet.payload_size == 5U);
      BOOST_TEST(TransportResidue(bytes, is_v6 ? 40 : 20,
                                  static_cast<std::uint8_t>(protocol)) == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(every_truncation_is_rejected) {
  for (const bool is_v6 : {false, true}) {
    for (const Protocol protocol : {Protocol::kTcp, Protocol::kUdp}) {
      const auto whole = BuildPacket(Spec(protocol, is_v6));
      for (std::size_t size = 0; size < whole.size(); ++size) {
        BOOST_TEST((Parse({whole.begin(), whole.begin() + size}) ==
                    ErrorKind::kTruncated));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(malformed_headers_are_rejected) {
  const auto v4 = BuildPacket(Spec(Protocol::kTcp, false));
  const auto rejects = [&](std::vector<std::byte> bytes, std::size_t offset,
                           int value, ErrorKind expected) {
    bytes[offset] = static_cast<std::byte>(value);
    return Parse(bytes) == expected;
  };
  using enum ErrorKind;
  BOOST_TEST(rejects(v4, 0, 0x55, kBadInnerHeader));   // IP version
  BOOST_TEST(rejects(v4, 0, 0x44, kBadInnerHeader));   // header length
  BOOST_TEST(rejects(v4, 3, 10, kBadInnerHeader));     // total length
  BOOST_TEST(rejects(v4, 6, 0x20, kFragment));         // more fragments
  BOOST_TEST(rejects(v4, 7, 1, kFragment));            // fragment offset
  BOOST_TEST(rejects(v4, 9, 1, kBadInnerHeader));      // ICMP
  BOOST_TEST(rejects(v4, 32, 0x40, kBadInnerHeader));  // TCP data offset
  BOOST_TEST(rejects(v4, 32, 0xf0, kTruncated));
  auto longer = v4;
  longer.push_back(std::byte{0});
  BOOST_TEST((Parse(longer) == kBadInnerHeader));
  const auto udp = BuildPacket(Spec(Protocol::kUdp, false));
  BOOST_TEST(rejects(udp, 25, 7, kBadInnerHeader));
  BOOST_TEST(rejects(udp, 25, 200, kTruncated));
  // An IPv6 packet must not yield the flow key of an IPv4 client.
  PacketSpec mapped = Spec(Protocol::kUdp, true);
  auto aliased = BuildPacket(mapped);
  const auto alias = MakeV4(10, 0, 0, 1).bytes;
  for (std::size_t i = 0; i < 16; ++i) aliased[8 + i] = std::byte{alias[i]};
  BOOST_TEST((Parse(aliased) == kBadInnerHeader));
}

BOOST_AUTO_TEST_CASE(extension_headers_are_skipped_or_rejected) {
  using enum ErrorKind;
  const auto plain = BuildPacket(Spec(Protocol::kUdp, true));
  InnerPacket out;
  const auto skipped = WithExtension(WithExtension(plain, 60), 0);
  BOOST_TEST((ParseInnerPacket(skipped, kService, out) == kNone));
  BOOST_TEST(out.transport_offset == 56U);
  BOOST_TEST(out.packet.key.client_port == 4000);
  BOOST_TEST((Parse(WithExtension(plain, 44)) == kFragment));
  BOOST_TEST((Parse(WithExtension(plain, 43)) == kNone));
  BOOST_TEST((Parse(WithExtension(plain, 43, 1)) == kBadInnerHeader));
  BOOST_TEST((Parse(WithExtension(plain, 51)) == kBadInnerHeader));
  BOOST_TEST(
      (Parse(WithExtension(WithExtension(plain, 0), 60)) == kBadInnerHeader));
  auto long_chain = plain;
  for (int i = 0; i < 9; ++i) long_chain = WithExtension(long_chain, 60);
  BOOST_TEST((Parse(long_chain) == kBadInnerHeader));
  auto overrun = WithExtension(plain, 60);
  overrun[41] = std::byte{200};
  BOOST_TEST((Parse(overrun) == kTruncated));
}

BOOST_AUTO_TEST_CASE(resets_carry_sequence_numbers_that_clients_accept) {
  for (const bool is_v6 : {false, true}) {
    PacketSpec spec = Spec(Protocol::kTcp, is_v6);
    spec.syn = true;
    spec.sequence = 0xffffffff;
    spec.payload = "";
    std::vector<std::byte> out(kMaxAnswerSize);
    InnerPacket parsed;
    InnerPacket answer;
    auto bytes = BuildPacket(spec);
    BOOST_TEST((ParseInnerPacket(bytes, kService, parsed) == ErrorKind::kNone));
    auto size = BuildAnswer(bytes, parsed, out);
    BOOST_TEST((ParseInnerPacket(std::span(out).first(size), kService,
                                 answer) == ErrorKind::kNone));
    BOOST_TEST(answer.packet.rst);
    BOOST_TEST(answer.packet.ack);
    BOOST_TEST(answer.packet.sequence == 0U);
    BOOST_TEST(answer.acknowledgement == 0U);  // 2^32 - 1 plus the SYN
    BOOST_TEST((answer.destination == spec.source));
    BOOST_TEST(
        TransportResidue(std::span(out).first(size), is_v6 ? 40 : 20, 6) == 0);

    spec.syn = false;
    spec.ack = true;
    spec.acknowledgement = 4242;
    bytes = BuildPacket(spec);
    BOOST_TEST((ParseInnerPacket(bytes, kService, parsed) == ErrorKind::kNone));
    size = BuildAnswer(bytes, parsed, out);
    BOOST_TEST((ParseInnerPacket(std::span(out).first(size), kService,
                                 answer) == ErrorKind::kNone));
    BOOST_TEST(answer.packet.rst);
    BOOST_TEST(!answer.packet.ack);
    BOOST_TEST(answer.packet.sequence == 4242U);

    // A reset must not be answered with a reset.
    spec.rst = true;
    bytes = BuildPacket(spec);
    BOOST_TEST((ParseInnerPacket(bytes, kService, parsed) == ErrorKind::kNone));
    BOOST_TEST(BuildAnswer(bytes, parsed, out) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(icmp_errors_quote_the_packet_within_the_size_limit) {
  for (const bool is_v6 : {false, true}) {
    PacketSpec spec = Spec(Protocol::kUdp, is_v6);
    const std::string payload(2000, 'x');
    spec.payload = payload;
    const auto bytes = BuildPacket(spec);
    InnerPacket parsed;
    std::vector<std::byte> out(kMaxAnswerSize);
    BOOST_TEST((ParseInnerPacket(bytes, kService, parsed) == ErrorKind::kNone));
    const auto size = BuildAnswer(bytes, parsed, out);
    BOOST_TEST(size == (is_v6 ? 1280U : 576U));
    const std::size_t ip_size = is_v6 ? 40 : 20;
    BOOST_TEST(std::to_integer<int>(out[ip_size]) == (is_v6 ? 1 : 3));
    BOOST_TEST(TransportResidue(std::span(out).first(size), ip_size,
                                is_v6 ? 58 : 1) == 0);
    BOOST_TEST(
        std::equal(bytes.begin(), bytes.begin() + 200,
                   out.begin() + static_cast<std::ptrdiff_t>(ip_size) + 8));
  }
  // An answer to a multicast source would amplify traffic.
  PacketSpec spec = Spec(Protocol::kUdp, false);
  spec.source.address = MakeV4(224, 0, 0, 1);
  const auto bytes = BuildPacket(spec);
  InnerPacket parsed;
  std::vector<std::byte> out(kMaxAnswerSize);
  BOOST_TEST((ParseInnerPacket(bytes, kService, parsed) == ErrorKind::kNone));
  BOOST_TEST(BuildAnswer(bytes, parsed, out) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
