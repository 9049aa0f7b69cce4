// The table of error answers, in the order of ErrorKind.
#include "sapphirestream/base/error.h"

namespace sapphirestream {
namespace {

using enum ErrorKind;
using enum PacketReply;

constexpr std::array<ErrorAnswer, kErrorKindCount> kAnswers{{
    {kNone, "none", 200, 0, kNoReply, "success"},
    {kTruncated, "truncated", 0, 0, kNoReply, "packet shorter than its header"},
    {kOversized, "oversized", 0, 0, kNoReply, "packet larger than the limit"},
    {kBadGeneveVersion, "bad_geneve_version", 0, 0, kNoReply,
     "Geneve version is not 0"},
    {kUnknownCriticalOption, "unknown_critical_option", 0, 0, kNoReply,
     "unknown Geneve option marked critical"},
    {kUnknownProtocolType, "unknown_protocol_type", 0, 0, kNoReply,
     "inner protocol is neither IPv4 nor IPv6"},
    {kFragment, "fragment", 0, 0, kNoReply, "inner packet is a fragment"},
    {kBadInnerHeader, "bad_inner_header", 0, 0, kNoReply,
     "inner IP, TCP or UDP header is malformed"},
    {kUnknownService, "unknown_service", 0, 0, kNoReply,
     "no service has this network identifier"},
    {kHopLimitExceeded, "hop_limit_exceeded", 0, 0, kNoReply,
     "redirect hop limit exceeded"},
    {kAddressMismatch, "address_mismatch", 0, 0, kNoReply,
     "inner destination is not an address of the service"},
    {kBadTag, "bad_tag", 0, 0, kNoReply, "message authentication failed"},
    {kReplayed, "replayed", 0, 0, kNoReply, "message was received before"},
    {kUnknownPeer, "unknown_peer", 0, 0, kNoReply,
     "sender is not a known instance"},
    {kMalformedMessage, "malformed_message", 0, 0, kNoReply,
     "peer message cannot be decoded"},
    {kNoTargetAvailable, "no_target", 503, 20, kRefusal,
     "the service has no target for new flows"},
    {kCapacityExceeded, "capacity_exceeded", 409, 21, kRefusal,
     "the remaining capacity is too small"},
    {kDeadlineExceeded, "deadline_exceeded", 0, 0, kRefusal,
     "no slot became free before the deadline"},
    {kNoAuthority, "no_authority", 0, 0, kNoReply,
     "this instance has no decision authority now"},
    {kOwnerUnreachable, "owner_unreachable", 0, 0, kNoReply,
     "the flow's owner cannot be reached"},
    {kQueueFull, "queue_full", 0, 0, kRefusal, "the waiting queue is full"},
    {kSilentFlow, "silent_flow", 0, 0, kReset,
     "the flow makes no progress and was reset"},
    {kMalformedJson, "malformed_json", 400, 10, kNoReply,
     "the request body is not valid JSON"},
    {kUnknownField, "unknown_field", 400, 11, kNoReply,
     "the request has an unknown field"},
    {kWrongType, "wrong_type", 400, 12, kNoReply, "a field has the wrong type"},
    {kOutOfRange, "out_of_range", 400, 13, kNoReply, "a value is out of range"},
    {kNotFound, "not_found", 404, 14, kNoReply, "no object has this name"},
    {kAlreadyExists, "already_exists", 409, 15, kNoReply,
     "an object with this name exists"},
    {kVersionConflict, "version_conflict", 409, 16, kNoReply,
     "the configuration was changed concurrently"},
    {kContradicted, "contradicted", 409, 17, kNoReply,
     "another accepted change contradicts this one"},
    {kNotAnnounced, "not_announced", 409, 18, kNoReply,
     "the change slows clients down and no announcement covers it"},
    {kStoreUnavailable, "store_unavailable", 503, 19, kNoReply,
     "the platform's store cannot be reached; nothing was changed"},
    {kOutcomeUnknown, "outcome_unknown", 504, 22, kNoReply,
     "the store's answer was lost; repeat with the same change id"},
    {kHistoryLost, "history_lost", 0, 0, kNoReply,
     "the store no longer has the changes since this revision"},
    {kRateLimited, "rate_limited", 0, 0, kNoReply,
     "the store rejected the call: rate limit exceeded"},
    {kReplyTooLarge, "reply_too_large", 0, 0, kNoReply,
     "the store's reply exceeds the limit"},
    {kNotReady, "not_ready", 503, 23, kNoReply,
     "this instance has no configuration yet"},
    {kTimedOut, "timed_out", 504, 24, kNoReply,
     "the change was accepted but is not in force everywhere yet"},
    {kUnreachable, "unreachable", 0, 25, kNoReply,
     "no instance could be reached; nothing was changed"},
    {kBadSetting, "bad_setting", 0, 2, kNoReply, "a setting is invalid"},
    {kInternal, "internal", 500, 1, kNoReply, "internal error"},
}};

constexpr bool IsTableOrderedByKind() {
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].kind) != i) return false;
  }
  return true;
}
static_assert(IsTableOrderedByKind());

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) noexcept {
  return kAnswers[static_cast<std::size_t>(kind)];
}

ErrorKind ErrorKindFromName(std::string_view name) noexcept {
  for (const ErrorAnswer& answer : kAnswers) {
    if (answer.name == name) return answer.kind;
  }
  return kInternal;
}

}  // namespace sapphirestream
