// Guards against forged, altered, misdirected and replayed datagrams.
#include "sapphirestream/link/peer_datagram.h"

#include <boost/test/unit_test.hpp>

namespace sapphirestream {
namespace {

constexpr InstanceId kSender{1};
constexpr InstanceId kReceiver{2};

PeerKey Key(unsigned char fill) {
  PeerKey key;
  key.fill(fill);
  return key;
}

struct Fixture {
  PeerOpener opener{Key(7), kReceiver};
  PeerSealer sealer{Key(7), kSender, Incarnation{10}, 3};
  OpenedDatagram out;

  Fixture() { opener.SetSenders(std::array{kSender}); }

  static std::vector<std::byte> Seal(PeerSealer& from,
                                     InstanceId to = kReceiver) {
    std::vector<std::byte> datagram(kPeerHeaderSize + 4, std::byte{0x5a});
    from.Seal(to, datagram);
    return datagram;
  }
  ErrorKind Open(const std::vector<std::byte>& datagram) {
    return opener.Open(datagram, out);
  }
};

BOOST_FIXTURE_TEST_SUITE(peer_datagram, Fixture)

BOOST_AUTO_TEST_CASE(sealed_datagrams_open_once) {
  const auto datagram = Seal(sealer);
  BOOST_TEST((Open(datagram) == ErrorKind::kNone));
  BOOST_TEST((out.sender == kSender));
  BOOST_TEST((out.incarnation == Incarnation{10}));
  BOOST_TEST(out.channel == 3);
  BOOST_TEST(out.body.size() == 4U);
  BOOST_TEST((Open(datagram) == ErrorKind::kReplayed));
}

BOOST_AUTO_TEST_CASE(reordered_datagrams_open_within_the_window) {
  std::vector<std::vector<std::byte>> sent;
  for (std::uint64_t i = 0; i <= ReplayWindow::kSize; ++i) {
    sent.push_back(Seal(sealer));
  }
  BOOST_TEST((Open(sent.back()) == ErrorKind::kNone));
  BOOST_TEST((Open(sent[0]) == ErrorKind::kReplayed));  // older than the window
  BOOST_TEST((Open(sent[1]) == ErrorKind::kNone));
  BOOST_TEST((Open(sent[1]) == ErrorKind::kReplayed));
}

BOOST_AUTO_TEST_CASE(channels_have_separate_windows) {
  PeerSealer other(Key(7), kSender, Incarnation{10}, 0);
  BOOST_TEST((Open(Seal(sealer)) == ErrorKind::kNone));
  BOOST_TEST((Open(Seal(other)) == ErrorKind::kNone));
}

BOOST_AUTO_TEST_CASE(stale_incarnations_are_rejected) {
  PeerSealer later(Key(7), kSender, Incarnation{11}, 3);
  const auto earlier = Seal(sealer);
  BOOST_TEST((Open(earlier) == ErrorKind::kNone));
  BOOST_TEST((Open(Seal(later)) == ErrorKind::kNone));
  BOOST_TEST((Open(Seal(sealer)) == ErrorKind::kReplayed));
  BOOST_TEST((Open(earlier) == ErrorKind::kReplayed));
}

BOOST_AUTO_TEST_CASE(every_altered_byte_is_detected) {
  const auto good = Seal(sealer);
  for (std::size_t i = 0; i < good.size(); ++i) {
    auto altered = good;
    altered[i] ^= std::byte{1};
    BOOST_TEST((Open(altered) != ErrorKind::kNone), "byte " << i);
  }
  BOOST_TEST((Open(good) == ErrorKind::kNone));
}

BOOST_AUTO_TEST_CASE(
    unauthentic_datagrams_are_rejected_with_the_matching_error) {
  PeerSealer wrong_key(Key(8), kSender, Incarnation{10}, 0);
  BOOST_TEST((Open(Seal(wrong_key)) == ErrorKind::kBadTag));
  PeerSealer unknown(Key(7), InstanceId{9}, Incarnation{10}, 0);
  BOOST_TEST((Open(Seal(unknown)) == ErrorKind::kUnknownPeer));
  // A datagram captured on its way to another instance.
  BOOST_TEST((Open(Seal(sealer, InstanceId{3})) == ErrorKind::kBadTag));
  auto datagram = Seal(sealer);
  datagram.resize(kPeerHeaderSize - 1);
  BOOST_TEST((Open(datagram) == ErrorKind::kTruncated));
  datagram = Seal(sealer);
  datagram[4] = std::byte{9};
  BOOST_TEST((Open(datagram) == ErrorKind::kMalformedMessage));
}

BOOST_AUTO_TEST_CASE(rejected_datagrams_do_not_advance_the_window) {
  PeerSealer forger(Key(8), kSender, Incarnation{99}, 3);
  BOOST_TEST((Open(Seal(forger)) == ErrorKind::kBadTag));
  BOOST_TEST((Open(Seal(sealer)) == ErrorKind::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
