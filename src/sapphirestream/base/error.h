// All error kinds, and the table that maps each of them to its answer.
#ifndef SAPPHIRESTREAM_BASE_ERROR_H_
#define SAPPHIRESTREAM_BASE_ERROR_H_

#include <array>
#include <boost/leaf.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirestream {

namespace leaf = boost::leaf;

// GCC 12 reports scoped enumerators as shadowing constants of the namespace.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
enum class ErrorKind : std::uint8_t {
  kNone,
  // Packets: dropped without a reply and counted by the name of the kind.
  kTruncated,
  kOversized,
  kBadGeneveVersion,
  kUnknownCriticalOption,
  kUnknownProtocolType,
  kFragment,
  kBadInnerHeader,
  kUnknownService,
  kHopLimitExceeded,
  kAddressMismatch,
  // Messages between instances.
  kBadTag,
  kReplayed,
  kUnknownPeer,
  kMalformedMessage,
  // First packets of flows, and established flows.
  kNoTargetAvailable,
  kCapacityExceeded,
  kDeadlineExceeded,
  kNoAuthority,
  kOwnerUnreachable,
  kQueueFull,
  kSilentFlow,
  // Operators' requests.
  kMalformedJson,
  kUnknownField,
  kWrongType,
  kOutOfRange,
  kNotFound,
  kAlreadyExists,
  kVersionConflict,
  kContradicted,
  kNotAnnounced,
  kStoreUnavailable,
  kOutcomeUnknown,
  kHistoryLost,
  kRateLimited,
  kReplyTooLarge,
  kNotReady,
  kTimedOut,
  kUnreachable,
  kBadSetting,
  kInternal,
};
#pragma GCC diagnostic pop

inline constexpr std::size_t kErrorKindCount =
    static_cast<std::size_t>(ErrorKind::kInternal) + 1;

// The reply to a client's packet: none, a refusal that tells the client that
// its request was not run, or a reset of the flow.
enum class PacketReply : std::uint8_t { kNoReply, kRefusal, kReset };

// The answer to an error of one kind, on each interface.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  // snake_case, unique; used in JSON, logs and counters
  int http_status;        // 0 if the kind never occurs on the HTTP interface
  int exit_code;          // of sapphirectl; 0 if the kind never occurs there
  PacketReply packet_reply;
  std::string_view text;
};

// Returns the answer for a kind.
[[nodiscard]] const ErrorAnswer& AnswerFor(ErrorKind kind) noexcept;
// Returns the kind with the given name, or kInternal if there is none.
[[nodiscard]] ErrorKind ErrorKindFromName(std::string_view name) noexcept;

// An error with its detail: the value, the permitted range and the unit, where
// applicable.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

// Makes a LEAF error id that carries `Error`.
[[nodiscard]] inline leaf::error_id MakeError(ErrorKind kind,
                                              std::string detail = {}) {
  return leaf::new_error(Error{kind, std::move(detail)});
}

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_BASE_ERROR_H_
