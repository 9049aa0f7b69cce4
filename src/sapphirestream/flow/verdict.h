// What an instance does with a packet.
#ifndef SAPPHIRESTREAM_FLOW_VERDICT_H_
#define SAPPHIRESTREAM_FLOW_VERDICT_H_

#include <cstdint>
#include <string_view>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

enum class VerdictKind : std::uint8_t {
  kForward,   // encapsulate towards `target`
  kEscalate,  // hand to the instance's own Steering (from FastPath only)
  kRedirect,  // send to `instance` inside a Redirect message
  kHold,      // keep the bytes under `token` until a Release names it
  kAnswer,    // answer the client as AnswerFor(reason).packet says
  kDrop,      // drop and count by `reason`
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
  // Of kHold; unique among held packets of one Steering.
  std::uint64_t token = 0;
  ErrorKind reason = ErrorKind::kNone;
  // Of kRedirect: redirects that may still follow.
  std::uint8_t hop_limit = 0;
};

[[nodiscard]] constexpr Verdict ForwardTo(TargetId target) noexcept {
  return {.kind = VerdictKind::kForward, .target = target};
}

[[nodiscard]] constexpr Verdict DropFor(ErrorKind reason) noexcept {
  return {.kind = VerdictKind::kDrop, .reason = reason};
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_FLOW_VERDICT_H_
