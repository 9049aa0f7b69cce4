// Guards against messages that are decoded differently than they were encoded,
// and against reads out of bounds or accepted nonsense on malformed input.
#include "sapphirestream/edge/peer_message.h"

#include <boost/test/unit_test.hpp>
#include <limits>

#include "sapphirestream/base/random.h"
#include "testing/peer_network.h"

namespace sapphirestream {
namespace {

using Decoded = std::variant<EdgePeerMessage, PeerRejection>;

EdgePeerMessage Sample() {
  constexpr std::uint32_t max32 = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint64_t max64 = std::numeric_limits<std::uint64_t>::max();
  PeerSamples body;
  body.sequence = 9;
  body.samples = {
      {TargetKey{1}, Incarnation{0}, 0, 0, 0, 0},
      {TargetKey{300}, Incarnation{128}, 127, 3, 16384, 128},
      {TargetKey{max64}, Incarnation{max64}, max32, max32, max64, max32}};
  body.addresses = {{0x0a000001, 7000}, {0xffffffff, 0xffff}};
  body.sent = PeerTime{max32};
  body.revision_time = {
      StoreHash{max32}, {StoreEra{max64}, max64}, PeerTime{max32}};
  return {PeerId{max64}, HashOfDomain("a"), body};
}

bool IsRejected(const Decoded& decoded, PeerRejection reason) {
  const auto* rejection = std::get_if<PeerRejection>(&decoded);
  return rejection != nullptr && *rejection == reason;
}

BOOST_AUTO_TEST_SUITE(peer_message)

BOOST_AUTO_TEST_CASE(decoding_reverses_encoding) {
  const EdgePeerMessage introduction{PeerId{1}, HashOfDomain("b"),
                                     PeerIntroduction{16}};
  const EdgePeerMessage addresses{PeerId{2}, HashOfDomain("c"),
                                  PeerAddresses{{{1, 2}, {3, 4}}}};
  const EdgePeerMessage no_samples{PeerId{2}, HashOfDomain("c"), PeerSamples{}};
  for (const EdgePeerMessage& message :
       {introduction, addresses, no_samples, Sample()}) {
    const Decoded decoded =
        DecodeEdgePeerMessage(EncodeEdgePeerMessage(message));
    BOOST_REQUIRE(std::holds_alternative<EdgePeerMessage>(decoded));
    BOOST_TEST((std::get<EdgePeerMessage>(decoded) == message));
  }
}

// The exchange fills messages according to the size limits.
BOOST_AUTO_TEST_CASE(the_encoding_is_not_larger_than_its_limit) {
  const EdgePeerMessage message = Sample();
  const auto& body = std::get<PeerSamples>(message.body);
  std::size_t limit =
      SamplesOverhead(body.addresses.size(), body.revision_time->revision);
  for (const auto& entry : body.samples) {
    limit += EncodedSizeLimit(entry, Incarnation{0});
  }
  BOOST_TEST(EncodeEdgePeerMessage(message).size() <= limit);
}

BOOST_AUTO_TEST_CASE(a_message_that_exceeds_the_limit_is_not_encoded) {
  PeerSamples body;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    body.samples.push_back(testing::Samples(i, 1));
  }
  BOOST_TEST(EncodeEdgePeerMessage({PeerId{1}, {}, body}).empty());
}

BOOST_AUTO_TEST_CASE(another_version_is_rejected_as_such) {
  auto bytes = EncodeEdgePeerMessage(Sample());
  bytes[2] = std::byte{kPeerMessageVersion + 1};
  BOOST_TEST(
      IsRejected(DecodeEdgePeerMessage(bytes), PeerRejection::kOtherVersion));
  // A later version may change everything after the header.
  bytes.resize(20);
  BOOST_TEST(
      IsRejected(DecodeEdgePeerMessage(bytes), PeerRejection::kOtherVersion));
}

BOOST_AUTO_TEST_CASE(truncated_and_extended_messages_are_malformed) {
  const auto bytes = EncodeEdgePeerMessage(Sample());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    // A copy without spare capacity lets the sanitizers see an overrun.
    const auto first = std::span(bytes).first(size);
    const std::vector<std::byte> cut(first.begin(), first.end());
    BOOST_TEST(
        IsRejected(DecodeEdgePeerMessage(cut), PeerRejection::kMalformed));
  }
  auto longer = bytes;
  longer.push_back(std::byte{0});
  BOOST_TEST(
      IsRejected(DecodeEdgePeerMessage(longer), PeerRejection::kMalformed));
}

BOOST_AUTO_TEST_CASE(a_target_that_occurs_twice_is_malformed) {
  PeerSamples body;
  body.samples = {testing::Samples(1, 1), testing::Samples(1, 2)};
  const auto bytes = EncodeEdgePeerMessage({PeerId{1}, {}, body});
  BOOST_TEST(
      IsRejected(DecodeEdgePeerMessage(bytes), PeerRejection::kMalformed));
}

BOOST_AUTO_TEST_CASE(more_failures_than_requests_are_malformed) {
  PeerSamples body;
  body.samples = {testing::Samples(1, 1)};
  body.samples[0].failures = 2;
  const auto bytes = EncodeEdgePeerMessage({PeerId{1}, {}, body});
  BOOST_TEST(
      IsRejected(DecodeEdgePeerMessage(bytes), PeerRejection::kMalformed));
}

// Whatever is accepted has one encoding, which is the one that was received,
// unless an integer was padded.
BOOST_AUTO_TEST_CASE(damaged_and_random_messages_do_no_harm) {
  SeededRandom random(20261206);
  const auto valid = EncodeEdgePeerMessage(Sample());
  for (int round = 0; round < 20'000; ++round) {
    std::vector<std::byte> bytes = valid;
    if (round % 2 == 0) {
      // A valid header, so that the body is reached.
      bytes.resize(16 + random.Below(200));
      for (std::size_t i = 16; i < bytes.size(); ++i) {
        bytes[i] = static_cast<std::byte>(random.Below(256));
      }
      bytes[3] = static_cast<std::byte>(random.Below(5));
    } else {
      for (std::uint64_t i = random.Below(4) + 1; i > 0; --i) {
        bytes[random.Below(bytes.size())] =
            static_cast<std::byte>(random.Below(256));
      }
    }
    bytes.shrink_to_fit();
    const Decoded decoded = DecodeEdgePeerMessage(bytes);
    if (const auto* message = std::get_if<EdgePeerMessage>(&decoded)) {
      const auto again = EncodeEdgePeerMessage(*message);
      BOOST_TEST(again.size() <= bytes.size());
      BOOST_TEST((DecodeEdgePeerMessage(again) == decoded));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
