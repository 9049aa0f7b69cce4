#include "sapphirestream/edge/peer_message.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <limits>
#include <optional>
#include <utility>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {
namespace {

constexpr std::uint16_t kMagic = 0x5350;
// Magic, version, kind, sender and domain.
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kAddressBytes = 6;
// An integer of variable size has seven bits per byte, most significant first;
// the highest bit is set in all bytes but the last.
constexpr unsigned kGroupBits = 7;
constexpr std::uint64_t kGroupMask = 0x7f;
constexpr std::uint8_t kMoreFlag = 0x80;

enum class Kind : std::uint8_t { kIntroduction = 1, kAddresses, kSamples };

constexpr std::size_t VariableSize(std::uint64_t value) noexcept {
  std::size_t size = 1;
  while ((value >>= kGroupBits) != 0) ++size;
  return size;
}

class Writer {
 public:
  template <std::unsigned_integral T>
  void Put(T value) {
    for (std::size_t i = sizeof(T); i-- > 0;) {
      bytes_.push_back(static_cast<std::byte>(std::uint64_t{value} >> (8 * i)));
    }
  }
  void PutVariable(std::uint64_t value) {
    for (std::size_t i = VariableSize(value); i-- > 0;) {
      const auto group =
          static_cast<std::uint8_t>((value >> (kGroupBits * i)) & kGroupMask);
      bytes_.push_back(std::byte{
          static_cast<std::uint8_t>(i > 0 ? group | kMoreFlag : group)});
    }
  }
  void Put(const std::vector<V4Endpoint>& addresses) {
    Put(static_cast<std::uint8_t>(addresses.size()));
    for (const V4Endpoint& address : addresses) {
      Put(address.address);
      Put(address.port);
    }
  }
  void Put(const std::vector<TargetSamples>& samples) {
    Put(static_cast<std::uint8_t>(samples.size()));
    if (samples.empty()) return;
    // Targets of a service mostly start at similar times, so differences from
    // the earliest incarnation are shorter than the incarnations.
    const std::uint64_t base = Value(
        std::min_element(samples.begin(), samples.end(),
                         [](const TargetSamples& a, const TargetSamples& b) {
                           return a.incarnation < b.incarnation;
                         })
            ->incarnation);
    PutVariable(base);
    std::uint64_t last_key = 0;
    for (const TargetSamples& entry : samples) {
      PutVariable(Value(entry.target) - last_key);
      last_key = Value(entry.target);
      PutVariable(Value(entry.incarnation) - base);
      PutVariable(entry.count);
      PutVariable(entry.failures);
      PutVariable(entry.relative_time_permille);
      PutVariable(entry.outstanding);
    }
  }
  void Put(const std::optional<PeerRevisionTime>& time) {
    Put(static_cast<std::uint8_t>(time ? 1 : 0));
    if (!time) return;
    Put(Value(time->store));
    PutVariable(Value(time->revision.era));
    PutVariable(time->revision.number);
    Put(Value(time->time));
  }
  std::vector<std::byte> Finish() {
    if (bytes_.size() > kMaxPeerMessageBytes) return {};
    return std::move(bytes_);
  }

 private:
  std::vector<std::byte> bytes_;
};

// After an error, all further values are zero and has_failed() stays true.
class Reader {
 public:
  explicit Reader(std::span<const std::byte> bytes) : rest_(bytes) {}

  template <std::unsigned_integral T>
  T Get() {
    if (rest_.size() < sizeof(T)) return static_cast<T>(Fail());
    std::uint64_t value = 0;
    for (const std::byte b : rest_.first(sizeof(T))) {
      value = value << 8U | std::to_integer<std::uint64_t>(b);
    }
    rest_ = rest_.subspan(sizeof(T));
    return static_cast<T>(value);
  }
  // Fails if the value exceeds `limit`.
  std::uint64_t GetVariable(
      std::uint64_t limit = std::numeric_limits<std::uint64_t>::max()) {
    std::uint64_t value = 0;
    for (;;) {
      const auto group = Get<std::uint8_t>();
      if (value > limit >> kGroupBits) return Fail();
      value = value << kGroupBits | (group & kGroupMask);
      if (value > limit) return Fail();
      if ((group & kMoreFlag) == 0) return value;
    }
  }
  std::uint32_t GetCount() {
    return static_cast<std::uint32_t>(
        GetVariable(std::numeric_limits<std::uint32_t>::max()));
  }
  std::vector<V4Endpoint> GetAddresses() {
    const std::size_t size = Get<std::uint8_t>();
    if (size > kMaxPeerAddresses) Fail();
    std::vector<V4Endpoint> addresses;
    for (std::size_t i = 0; i < size && !has_failed_; ++i) {
      const auto address = Get<std::uint32_t>();
      addresses.push_back({address, Get<std::uint16_t>()});
    }
    return addresses;
  }
  std::vector<TargetSamples> GetSamples() {
    const std::size_t size = Get<std::uint8_t>();
    std::vector<TargetSamples> samples;
    if (size == 0) return samples;
    const std::uint64_t base = GetVariable();
    std::uint64_t last_key = 0;
    for (std::size_t i = 0; i < size && !has_failed_; ++i) {
      TargetSamples entry;
      last_key = GetSum(last_key);
      // Key 0 denotes no target, and each target occurs once.
      if (i > 0 ? last_key == Value(samples.back().target) : last_key == 0) {
        Fail();
      }
      entry.target = TargetKey{last_key};
      entry.incarnation = Incarnation{GetSum(base)};
      entry.count = GetCount();
      entry.failures = GetCount();
      entry.relative_time_permille = GetVariable();
      entry.outstanding = GetCount();
      if (entry.failures > entry.count) Fail();
      samples.push_back(entry);
    }
    return samples;
  }
  std::optional<PeerRevisionTime> GetRevisionTime() {
    const auto size = Get<std::uint8_t>();
    if (size > 1) Fail();
    if (size == 0 || has_failed_) return std::nullopt;
    PeerRevisionTime time;
    time.store = StoreHash{Get<std::uint32_t>()};
    time.revision.era = StoreEra{GetVariable()};
    time.revision.number = GetVariable();
    time.time = PeerTime{Get<std::uint32_t>()};
    return time;
  }
  // Whether all bytes were read without an error.
  [[nodiscard]] bool is_complete() const noexcept {
    return !has_failed_ && rest_.empty();
  }

 private:
  // Reads a difference and adds it to `base`; fails on overflow.
  std::uint64_t GetSum(std::uint64_t base) {
    return base + GetVariable(std::numeric_limits<std::uint64_t>::max() - base);
  }
  std::uint64_t Fail() {
    has_failed_ = true;
    rest_ = {};
    return 0;
  }

  std::span<const std::byte> rest_;
  bool has_failed_ = false;
};

}  // namespace

DomainHash HashOfDomain(std::string_view name) noexcept {
  return DomainHash{static_cast<std::uint32_t>(
      HashBytes(name.data(), name.size(), /*seed=*/0))};
}

StoreHash HashOfStore(std::string_view identity) noexcept {
  return StoreHash{static_cast<std::uint32_t>(
      HashBytes(identity.data(), identity.size(), /*seed=*/1))};
}

std::string_view Name(PeerRejection reason) noexcept {
  constexpr std::array<std::string_view, kPeerRejections> names{
      "malformed", "other_version",  "other_domain", "own",     "reordered",
      "stale",     "former_process", "foreign_id",   "too_far", "overload"};
  return names[static_cast<std::size_t>(reason)];
}

std::size_t EncodedSizeLimit(const TargetSamples& samples,
                             Incarnation lowest) noexcept {
  return VariableSize(Value(samples.target)) +
         VariableSize(Value(samples.incarnation) - Value(lowest)) +
         VariableSize(samples.count) + VariableSize(samples.failures) +
         VariableSize(samples.relative_time_permille) +
         VariableSize(samples.outstanding);
}

std::size_t SamplesOverhead(
    std::size_t addresses,
    const std::optional<StoreRevision>& revision) noexcept {
  constexpr std::size_t sequence = 4;
  constexpr std::size_t sent = 4;
  constexpr std::size_t list_sizes = 2;
  constexpr std::size_t max_base = 10;
  constexpr std::size_t revision_flag = 1;
  constexpr std::size_t store_and_time = 8;
  std::size_t size = kHeaderBytes + sequence + sent + revision_flag +
                     list_sizes + max_base + addresses * kAddressBytes;
  if (revision) {
    size += store_and_time + VariableSize(Value(revision->era)) +
            VariableSize(revision->number);
  }
  return size;
}

std::vector<std::byte> EncodeEdgePeerMessage(const EdgePeerMessage& message) {
  Writer out;
  const auto put_header = [&](Kind kind) {
    out.Put(kMagic);
    out.Put(kPeerMessageVersion);
    out.Put(static_cast<std::uint8_t>(kind));
    out.Put(Value(message.sender));
    out.Put(Value(message.domain));
  };
  if (const auto* samples = std::get_if<PeerSamples>(&message.body)) {
    put_header(Kind::kSamples);
    out.Put(samples->sequence);
    out.Put(Value(samples->sent));
    out.Put(samples->revision_time);
    out.Put(samples->addresses);
    out.Put(samples->samples);
  } else if (const auto* reply = std::get_if<PeerAddresses>(&message.body)) {
    put_header(Kind::kAddresses);
    out.Put(reply->addresses);
  } else {
    put_header(Kind::kIntroduction);
    out.Put(std::get<PeerIntroduction>(message.body).wanted);
  }
  return out.Finish();
}

std::variant<EdgePeerMessage, PeerRejection> DecodeEdgePeerMessage(
    std::span<const std::byte> datagram) {
  if (datagram.size() > kMaxPeerMessageBytes) return PeerRejection::kMalformed;
  Reader in(datagram);
  if (in.Get<std::uint16_t>() != kMagic) return PeerRejection::kMalformed;
  const auto version = in.Get<std::uint8_t>();
  const auto kind = static_cast<Kind>(in.Get<std::uint8_t>());
  if (datagram.size() >= kHeaderBytes && version != kPeerMessageVersion) {
    return PeerRejection::kOtherVersion;
  }
  EdgePeerMessage message;
  message.sender = PeerId{in.Get<std::uint64_t>()};
  message.domain = DomainHash{in.Get<std::uint32_t>()};
  switch (kind) {
    case Kind::kIntroduction:
      message.body = PeerIntroduction{in.Get<std::uint8_t>()};
      break;
    case Kind::kAddresses:
      message.body = PeerAddresses{in.GetAddresses()};
      break;
    case Kind::kSamples: {
      PeerSamples body;
      body.sequence = in.Get<std::uint32_t>();
      body.sent = PeerTime{in.Get<std::uint32_t>()};
      body.revision_time = in.GetRevisionTime();
      body.addresses = in.GetAddresses();
      body.samples = in.GetSamples();
      message.body = std::move(body);
      break;
    }
    default:
      return PeerRejection::kMalformed;
  }
  if (!in.is_complete() || message.sender == PeerId{}) {
    return PeerRejection::kMalformed;
  }
  return message;
}

}  // namespace sapphirestream
