// Guards against forwarding a datagram whose Geneve header is malformed or has
// an unsupported critical option.
#include "sapphirestream/link/geneve.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "sapphirestream/link/packet_builder.h"

namespace sapphirestream {
namespace {

std::vector<std::byte> Bytes(std::initializer_list<int> values) {
  std::vector<std::byte> out;
  for (const int value : values) out.push_back(static_cast<std::byte>(value));
  return out;
}

ErrorKind Decode(const std::vector<std::byte>& datagram) {
  GeneveHeader header;
  return DecodeGeneve(datagram, header);
}

BOOST_AUTO_TEST_SUITE(geneve)

BOOST_AUTO_TEST_CASE(header_survives_a_round_trip) {
  std::vector<std::byte> out(kGeneveHeaderSize);
  const GeneveHeader header{ServiceId{kMaxServiceId}, kProtocolTypeIpv6};
  EncodeGeneve(header, out);
  GeneveHeader decoded;
  BOOST_TEST((DecodeGeneve(out, decoded) == ErrorKind::kNone));
  BOOST_TEST((decoded == header));
}

BOOST_AUTO_TEST_CASE(options_that_are_not_critical_are_skipped) {
  const auto datagram = Bytes({2, 0, 8, 0, 0, 0, 7, 0, 1, 2, 3, 1, 0, 0, 0, 0});
  GeneveHeader header;
  BOOST_TEST((DecodeGeneve(datagram, header) == ErrorKind::kNone));
  BOOST_TEST(header.size == 16U);
  BOOST_TEST((header.service == ServiceId{7}));
}

BOOST_AUTO_TEST_CASE(malformed_headers_are_rejected) {
  BOOST_TEST((Decode(Bytes({})) == ErrorKind::kTruncated));
  BOOST_TEST((Decode(Bytes({0, 0, 8, 0, 0, 0, 7})) == ErrorKind::kTruncated));
  BOOST_TEST((Decode(Bytes({0x40, 0, 8, 0, 0, 0, 7, 0})) ==
              ErrorKind::kBadGeneveVersion));
  // The options are longer than the datagram.
  BOOST_TEST((Decode(Bytes({2, 0, 8, 0, 0, 0, 7, 0, 1, 2, 3, 0})) ==
              ErrorKind::kTruncated));
  // An option is longer than the options field.
  BOOST_TEST((Decode(Bytes({1, 0, 8, 0, 0, 0, 7, 0, 1, 2, 3, 1})) ==
              ErrorKind::kTruncated));
  BOOST_TEST((Decode(Bytes({0, 0, 0x65, 0x58, 0, 0, 7, 0})) ==
              ErrorKind::kUnknownProtocolType));
}

BOOST_AUTO_TEST_CASE(critical_options_are_rejected) {
  BOOST_TEST((Decode(Bytes({0, 0x40, 8, 0, 0, 0, 7, 0})) ==
              ErrorKind::kUnknownCriticalOption));
  BOOST_TEST((Decode(Bytes({0, 0x80, 8, 0, 0, 0, 7, 0})) ==
              ErrorKind::kUnknownCriticalOption));
  // The option is critical although the header does not say so.
  BOOST_TEST((Decode(Bytes({1, 0, 8, 0, 0, 0, 7, 0, 1, 2, 0x83, 0})) ==
              ErrorKind::kUnknownCriticalOption));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
