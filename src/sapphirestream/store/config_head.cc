// Shard names and JSON serialization of the head object.
#include "sapphirestream/store/config_head.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <limits>

#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/field_reader.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;
using internal::FieldReader;
using internal::ParseStatus;

constexpr std::size_t kMaxShards = 10'000;
constexpr std::size_t kChecksumDigits = 16;
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

std::string ToHex(std::uint64_t number) {
  std::string out(kChecksumDigits, '0');
  for (std::size_t i = 0; i < kChecksumDigits; ++i) {
    out[kChecksumDigits - 1 - i] = "0123456789abcdef"[number & 0xf];
    number >>= 4;
  }
  return out;
}

std::string Suffix(const ShardRef& ref) {
  return std::to_string(Value(ref.version)) + "-" + ToHex(ref.checksum);
}

json::object ToJson(const ShardRef& ref) {
  return {{"service", Value(ref.first.service)},
          {"target", Value(ref.first.target)},
          {"version", Value(ref.version)},
          {"checksum", ToHex(ref.checksum)}};
}

ShardRef ReadRef(const json::value& value, const std::string& path,
                 ParseStatus& status) {
  FieldReader reader(value, path, status);
  ShardRef out;
  reader.ReadNumber("service", {0, kMaxServiceId}, out.first.service);
  reader.ReadNumber("target", {0, std::numeric_limits<std::uint32_t>::max()},
                    out.first.target);
  reader.ReadNumber("version", {0, kMaxVersion}, out.version);
  const std::string hex =
      reader.Text("checksum", {kChecksumDigits, kChecksumDigits});
  const auto [end, error] =
      std::from_chars(hex.data(), hex.data() + hex.size(), out.checksum, 16);
  if (error != std::errc{} || end != hex.data() + hex.size()) {
    status.Fail(ErrorKind::kOutOfRange,
                reader.PathOf("checksum") + ": not a hexadecimal number");
  }
  reader.Finish();
  return out;
}

}  // namespace

std::string PresetShardName(const ShardRef& ref) {
  return "config/presets/" + Suffix(ref);
}

std::string ServiceShardName(const ShardRef& ref) {
  return "config/services/" + std::to_string(Value(ref.first.service)) + "." +
         std::to_string(Value(ref.first.target)) + "/" + Suffix(ref);
}

std::string SerializeHead(const ConfigHead& head) {
  json::object out;
  internal::WriteHeadFields(head.head, out);
  json::array shards;
  shards.reserve(head.services.size());
  for (const ShardRef& ref : head.services) shards.emplace_back(ToJson(ref));
  out["service_shards"] = std::move(shards);
  out["preset_shard"] = ToJson(head.presets);
  if (head.era != kUnknownEra) out["store_era"] = Value(head.era);
  return json::serialize(out);
}

leaf::result<ConfigHead> ParseHead(std::string_view text) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(text));
  ParseStatus status;
  FieldReader reader(value, "", status);
  ConfigHead out;
  internal::ReadHeadFields(reader, out.head);
  out.services = internal::ReadArray<ShardRef>(reader, "service_shards",
                                               kMaxShards, ReadRef);
  if (const json::value* presets = reader.RawValue("preset_shard")) {
    out.presets = ReadRef(*presets, "preset_shard", status);
  }
  reader.ReadOptional("store_era", {0, kMaxVersion}, out.era);
  reader.Finish();
  BOOST_LEAF_CHECK(status.ToResult());
  const bool sorted = std::is_sorted(
      out.services.begin(), out.services.end(),
      [](const ShardRef& a, const ShardRef& b) { return a.first < b.first; });
  if (!sorted || out.services.empty() ||
      out.services.front().first != ShardKey{}) {
    return MakeError(
        ErrorKind::kOutOfRange,
        "service_shards: must be sorted and start with the zero key");
  }
  return out;
}

}  // namespace sapphirestream
