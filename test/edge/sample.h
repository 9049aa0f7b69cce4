// Sample routes, targets and packets for the tests of the edge module.
#ifndef SAPPHIRESTREAM_TEST_EDGE_SAMPLE_H_
#define SAPPHIRESTREAM_TEST_EDGE_SAMPLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include "sapphirestream/edge/edge_packet.h"
#include "sapphirestream/edge/route_table.h"
#include "sapphirestream/edge/target_record.h"

namespace sapphirestream::sample {

using namespace std::chrono_literals;

inline constexpr V4Endpoint kFeed{0xc6120001, 8443};
inline constexpr V4Endpoint kOrders{0xc6120001, 8080};
inline constexpr V4Endpoint kPhotos{0xc6120002, 8443};
// Same service as kFeed; removed in version 2.
inline constexpr V4Endpoint kShortLived{0xc6120003, 80};
inline constexpr V4Endpoint kNowhere{0xc61200ff, 80};

inline RouteConfig Routes(std::uint64_t version) {
  RouteConfig config;
  config.version = version;
  config.routes = {{kFeed, RequestKind::kIdempotent, {{"desk", 1}}},
                   {kOrders, RequestKind::kNonIdempotent, {{"desk", 1}}},
                   {kPhotos, RequestKind::kUpload, {{"intake", 1}}}};
  if (version < 2) {
    config.routes.push_back(
        {kShortLived, RequestKind::kIdempotent, {{"desk", 1}}});
  }
  config.services = {{"desk", "/health"}, {"intake", "/health"}};
  return config;
}

inline TargetRecord Target(std::uint64_t key, const std::string& domain,
                           const std::string& service = "desk") {
  TargetRecord record;
  record.key = TargetKey{key};
  record.incarnation = Incarnation{1000 + key};
  record.service = service;
  record.address = {0x0a800000 + static_cast<std::uint32_t>(key), 8080};
  record.domain = domain;
  record.slots = 2;
  return record;
}

inline V4Endpoint Client(std::uint32_t number) {
  return {0x64400000 + number / 50000,
          static_cast<std::uint16_t>(1024 + number % 50000)};
}

inline EdgePacket Syn(std::uint32_t client, V4Endpoint service,
                      std::uint32_t copies = 0) {
  static constexpr std::array<std::byte, 31> bytes{};
  EdgePacket packet;
  packet.client = Client(client);
  packet.service = service;
  packet.sequence = 100;
  packet.acknowledged = copies;
  packet.opens = true;
  packet.bytes = bytes;
  return packet;
}

// A packet of an open flow with `size` bytes of payload.
inline EdgePacket Data(std::uint32_t client, V4Endpoint service,
                       FlowToken token, std::uint32_t sequence,
                       std::size_t size, std::uint32_t acknowledged) {
  static constexpr std::array<std::byte, 1231> bytes{};
  EdgePacket packet;
  packet.client = Client(client);
  packet.service = service;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.acknowledges = true;
  packet.token = token;
  packet.payload = std::span(bytes).first(size);
  packet.bytes = std::span(bytes).first(size + 31);
  if (size > 0) packet.request_id = "r1";
  return packet;
}

}  // namespace sapphirestream::sample

#endif  // SAPPHIRESTREAM_TEST_EDGE_SAMPLE_H_
