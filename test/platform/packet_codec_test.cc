// Guards against a wire format that differs from other implementations, and
// against reads past the end of truncated or forged datagrams.
#include "platform/packet_codec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string_view>
#include <vector>

#include "sapphirestream/base/id.h"
#include "sapphirestream/base/random.h"

namespace sapphirestream::platform {
namespace {

std::vector<std::byte> Bytes(std::initializer_list<int> values) {
  std::vector<std::byte> out;
  for (const int value : values) out.push_back(static_cast<std::byte>(value));
  return out;
}

// The example in the specification of the format.
std::vector<std::byte> ExampleSyn() {
  return Bytes({0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00,
                0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x04, 0x9c,
                0x41, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00,
                0x07, 0x01, 0xbb, 0xa1, 0xb2, 0xc3, 0xd5});
}

BOOST_AUTO_TEST_SUITE(packet_codec)

BOOST_AUTO_TEST_CASE(the_example_is_decoded) {
  const auto bytes = ExampleSyn();
  const auto packet = DecodePacket(bytes);
  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST(ToString(packet->client) == "100.64.0.7:40001");
  BOOST_TEST(ToString(packet->service) == "198.18.0.1:443");
  BOOST_TEST(packet->sequence == 0x11223344U);
  BOOST_TEST(packet->opens);
  BOOST_TEST(!packet->acknowledges);
  BOOST_TEST(packet->payload.empty());
}

BOOST_AUTO_TEST_CASE(the_example_of_a_reset_is_encoded) {
  const ResetPacket reset = EncodeReset(
      {.client = {0x64400007, 40001}, .service = {0xc6120001, 443}});
  const auto expected =
      Bytes({0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
             0x00, 0x00, 0x00, 0x01, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0xc6,
             0x12, 0x00, 0x01, 0x9c, 0x41, 0x00, 0x00, 0x00, 0x00});
  BOOST_TEST(
      std::equal(reset.begin(), reset.end(), expected.begin(), expected.end()));
}

// The checksum covers all other fields, so only the token may change.
BOOST_AUTO_TEST_CASE(a_token_changes_four_bytes_only) {
  const auto before = ExampleSyn();
  auto after = before;
  WriteToken(after, FlowToken{0xa1b2c3d4});
  BOOST_TEST(Value(DecodePacket(after)->token) == 0xa1b2c3d4U);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (i < 8 || i >= 12) BOOST_TEST((after[i] == before[i]));
  }
}

BOOST_AUTO_TEST_CASE(a_target_prefix_is_its_key_in_network_order) {
  const TargetPrefix prefix = EncodeTargetPrefix(TargetKey{0x7f3a91c2});
  const auto expected = Bytes({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2});
  BOOST_TEST(std::equal(prefix.begin(), prefix.end(), expected.begin(),
                        expected.end()));
}

BOOST_AUTO_TEST_CASE(a_size_that_does_not_match_the_header_is_rejected) {
  auto bytes = ExampleSyn();
  bytes.push_back(std::byte{0});
  BOOST_TEST(!DecodePacket(bytes).has_value());
  bytes.resize(kHeaderSize - 1);
  BOOST_TEST(!DecodePacket(bytes).has_value());
  BOOST_TEST(!DecodePacket({}).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_is_identified_by_its_id) {
  constexpr std::string_view text =
      "GET /8443/x HTTP/1.1\r\nHost: a\r\nRequest-Id: 85bc6b84\r\n\r\n";
  auto bytes = ExampleSyn();
  bytes[13] = static_cast<std::byte>(text.size());
  for (const char c : text) bytes.push_back(static_cast<std::byte>(c));
  BOOST_TEST(DecodePacket(bytes)->request_id == "85bc6b84");
  // The value continues in the next packet.
  bytes.resize(kHeaderSize + text.size() - 8);
  bytes[13] = static_cast<std::byte>(text.size() - 8);
  BOOST_TEST(DecodePacket(bytes)->request_id == "85bc");
}

// Random and corrupted datagrams; the sanitizer preset detects invalid reads.
BOOST_AUTO_TEST_CASE(any_bytes_are_decoded_or_rejected) {
  SeededRandom random(11);
  int decoded = 0;
  for (int i = 0; i < 200'000; ++i) {
    std::vector<std::byte> bytes(random.Below(kHeaderSize * 3));
    for (std::byte& byte : bytes) {
      byte = static_cast<std::byte>(random.Next());
    }
    if (bytes.size() > 13 && random.Below(2) == 0) {
      // A matching size, so that the other fields are decoded as well.
      bytes[12] = std::byte{0};
      bytes[13] = static_cast<std::byte>(
          bytes.size() >= kHeaderSize ? bytes.size() - kHeaderSize : 0);
    }
    const auto packet = DecodePacket(bytes);
    if (!packet) continue;
    ++decoded;
    BOOST_REQUIRE(packet->payload.size() + kHeaderSize == bytes.size());
    BOOST_REQUIRE(packet->request_id.size() <= packet->payload.size());
  }
  BOOST_TEST(decoded > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::platform
