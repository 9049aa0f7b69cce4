// Steering decisions about packets.
#ifndef SAPPHIRESTREAM_FLOW_VERDICT_H_
#define SAPPHIRESTREAM_FLOW_VERDICT_H_

#include <cstdint>
#include <string_view>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

enum class VerdictKind : std::uint8_t {
  kForward,   // encapsulate and send to `target`
  kEscalate,  // pass to the Steering of this instance (FastPath only)
  kRedirect,  // send to `instance` in a Redirect message
  kHold,      // keep the packet until SteeringSink::Release of `token`
  kAnswer,    // answer the client with AnswerFor(reason).packet
  kDrop,      // drop and count under `reason`
};

[[nodiscard]] constexpr std::string_view Name(VerdictKind kind) noexcept {
  constexpr std::string_view names[] = {"forward", "escalate", "redirect",
                                        "hold",    "answer",   "drop"};
  return names[static_cast<std::size_t>(kind)];
}

struct Verdict {
  VerdictKind kind = VerdictKind::kDrop;
  TargetId target = kNoTarget;
  InstanceId instance = kNoInstance;
  // Only for kHold; unique among the held packets of one Steering.
  std::uint64_t token = 0;
  ErrorKind reason = ErrorKind::kNone;
  // Only for kRedirect: remaining number of redirects.
  std::uint8_t hop_limit = 0;
};

[[nodiscard]] constexpr Verdict ForwardTo(TargetId target) noexcept {
  return {.kind = VerdictKind::kForward, .target = target};
}

[[nodiscard]] constexpr Verdict DropFor(ErrorKind reason) noexcept {
  return {.kind = VerdictKind::kDrop, .reason = reason};
}

[[nodiscard]] constexpr Verdict AnswerWith(ErrorKind reason) noexcept {
  return {.kind = VerdictKind::kAnswer, .reason = reason};
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_VERDICT_H_
