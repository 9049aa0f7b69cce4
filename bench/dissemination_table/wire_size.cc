#include "bench/dissemination_table/wire_size.h"

#include <variant>

namespace sapphirestream::internal {
namespace {

constexpr std::size_t kHeadersSize = 60;
constexpr std::size_t kEchoSize = 4 + 8;
constexpr std::size_t kMemberSize = 4 + 2 + 1 + 8;

struct FieldSize {
  std::size_t operator()(const Heartbeat& message) const {
    return 2 + 4 * 8 + 1 + message.echoes.size() * kEchoSize +
           message.members.size() * kMemberSize;
  }
  std::size_t operator()(const Probe&) const { return 4 + 8; }
  std::size_t operator()(const ProbeAck&) const { return 4 + 8 + 8; }
  std::size_t operator()(const Leave&) const { return 8; }
  std::size_t operator()(const ConfigChunk& message) const {
    return 8 + 8 + 4 + 4 + message.body.size();
  }
  std::size_t operator()(const ConfigDelta& message) const {
    return 8 + 8 + message.body.size();
  }
  std::size_t operator()(const ConfigPull&) const { return 8 + 8 + 4; }
  std::size_t operator()(const ConfigConfirm& message) const {
    return 8 + 2 + 3 * 4 + 4 * message.lagging.size();
  }
};

}  // namespace

std::size_t WireSize(const DomainMessage& message) {
  return kHeadersSize + std::visit(FieldSize(), message);
}

}  // namespace sapphirestream::internal
