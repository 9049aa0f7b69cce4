// Field names and value ranges of the JSON form of the configuration.
#include "sapphirestream/contract/configuration_json.h"

#include <limits>
#include <utility>

#include "sapphirestream/contract/limits.h"

namespace sapphirestream {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxTargetId =
    std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxDomainId =
    std::numeric_limits<std::uint16_t>::max();
// Integers above 2^63 - 1 are not portable between JSON parsers.
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxSlowStartMs = 600'000;
constexpr std::uint64_t kMaxWaitMs = 60'000;

std::int64_t ToMs(WallTime time) { return time.time_since_epoch().count(); }

}  // namespace

std::string_view Name(FlowKind kind) noexcept {
  for (const auto& entry : kFlowKindNames) {
    if (entry.value == kind) return entry.name;
  }
  return "unknown";
}

json::object ToJson(const Target& target) {
  json::object out{{"id", Value(target.id)},
                   {"tunnel", ToString(target.tunnel)},
                   {"domain", Value(target.domain)},
                   {"slots", target.slots},
                   {"max_connections", target.max_connections},
                   {"weight", target.weight},
                   {"added", Value(target.added)},
                   {"added_at", ToMs(target.added_at)}};
  // Omitted for targets in the lookup table, which are the majority, to keep
  // shards small.
  if (target.drained != ConfigVersion{}) {
    out["drained"] = Value(target.drained);
    out["drained_at"] = ToMs(target.drained_at);
    out["removed"] = target.removed;
  }
  return out;
}

json::object ToJson(const FormerLoadShare& former) {
  return {{"until", Value(former.until)},
          {"until_at", ToMs(former.until_at)},
          {"load_share_permille", former.load_share_permille}};
}

json::object ToJson(const Service& service) {
  return {{"id", Value(service.id)},
          {"name", service.name},
          {"address", ToString(service.address)},
          {"kind", Name(service.kind)},
          {"idempotent", service.idempotent},
          {"version", Value(service.version)},
          {"targets", internal::ToArray(service.targets)}};
}

json::object ToJson(const Preset& preset) {
  return {{"name", preset.name},
          {"load_share_permille", preset.load_share_permille},
          {"spill_permille", preset.spill_permille},
          {"spill_hysteresis_permille", preset.spill_hysteresis_permille},
          {"slow_start_ms", preset.slow_start.count()},
          {"max_wait_ms", preset.max_wait.count()},
          {"capacity_permille", preset.capacity_permille},
          {"retry_permille", preset.retry_permille}};
}

json::object ToJson(const Announcement& announcement) {
  return {{"name", announcement.name},
          {"service", Value(announcement.service)},
          {"from", ToMs(announcement.from)},
          {"until", ToMs(announcement.until)},
          {"text", announcement.text}};
}

json::object ToJson(const ChangeRecord& record) {
  json::array touched;
  touched.reserve(record.touched.size());
  for (const std::string& path : record.touched) touched.emplace_back(path);
  return {{"id", record.id},
          {"version", Value(record.version)},
          {"author", record.author},
          {"summary", record.summary},
          {"touched", std::move(touched)},
          {"accepted", ToMs(record.accepted)}};
}

json::object ToJson(const Configuration& configuration) {
  json::object out;
  internal::WriteHeadFields(configuration, out);
  out["presets"] = internal::ToArray(configuration.presets);
  out["services"] = internal::ToArray(configuration.services);
  out["announcements"] = internal::ToArray(configuration.announcements);
  return out;
}

leaf::result<Configuration> ParseConfiguration(std::string_view text) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(text));
  internal::ParseStatus status;
  internal::FieldReader reader(value, "", status);
  Configuration out;
  internal::ReadHeadFields(reader, out);
  out.presets = internal::ReadArray<Preset>(reader, "presets", kMaxPresets,
                                            internal::ReadPreset);
  out.services = internal::ReadArray<Service>(reader, "services", kMaxServices,
                                              internal::ReadService);
  out.announcements = internal::ReadArray<Announcement>(
      reader, "announcements", kMaxServices * kMaxAnnouncementsPerService,
      internal::ReadAnnouncement);
  reader.Finish();
  BOOST_LEAF_CHECK(status.ToResult());
  BOOST_LEAF_CHECK(Validate(out));
  return out;
}

namespace internal {

Target ReadTarget(const json::value& value, const std::string& path,
                  ParseStatus& status) {
  FieldReader reader(value, path, status);
  Target out;
  reader.ReadNumber("id", {1, kMaxTargetId}, out.id);
  out.tunnel = reader.EndpointWithPort("tunnel");
  reader.ReadNumber("domain", {0, kMaxDomainId}, out.domain);
  reader.ReadOptional("slots", {1, kMaxSlots}, out.slots);
  reader.ReadOptional("max_connections", {1, kMaxConnections},
                      out.max_connections);
  reader.ReadOptional("weight", {1, kMaxWeight}, out.weight);
  reader.ReadNumber("added", {1, kMaxVersion}, out.added);
  out.added_at = reader.Timestamp("added_at");
  if (reader.Contains("drained")) {
    reader.ReadNumber("drained", {1, kMaxVersion}, out.drained);
    out.drained_at = reader.Timestamp("drained_at");
    out.removed = reader.Bool("removed");
  }
  reader.Finish();
  return out;
}

void ReadServiceFields(FieldReader& reader, Service& service) {
  reader.ReadNumber("id", {1, kMaxServiceId}, service.id);
  service.name = reader.Name("name");
  service.address = reader.EndpointWithPort("address");
  reader.ReadEnum("kind", kFlowKindNames, service.kind);
  service.idempotent = reader.Bool("idempotent");
  reader.ReadNumber("version", {0, kMaxVersion}, service.version);
}

Service ReadService(const json::value& value, const std::string& path,
                    ParseStatus& status) {
  FieldReader reader(value, path, status);
  Service out;
  ReadServiceFields(reader, out);
  out.targets =
      ReadArray<Target>(reader, "targets", kMaxTargetsPerService, ReadTarget);
  reader.Finish();
  return out;
}

Preset ReadPreset(const json::value& value, const std::string& path,
                  ParseStatus& status) {
  FieldReader reader(value, path, status);
  Preset out;
  out.name = reader.Name("name");
  reader.ReadOptional("load_share_permille", {0, 1000},
                      out.load_share_permille);
  reader.ReadOptional("spill_permille", {1, 100'000}, out.spill_permille);
  reader.ReadOptional("spill_hysteresis_permille", {0, 100'000},
                      out.spill_hysteresis_permille);
  reader.ReadOptional("slow_start_ms", {0, kMaxSlowStartMs}, out.slow_start);
  reader.ReadOptional("max_wait_ms", {0, kMaxWaitMs}, out.max_wait);
  reader.ReadOptional("capacity_permille", {1, 1000}, out.capacity_permille);
  reader.ReadOptional("retry_permille", {0, 10'000}, out.retry_permille);
  reader.Finish();
  return out;
}

Announcement ReadAnnouncement(const json::value& value, const std::string& path,
                              ParseStatus& status) {
  FieldReader reader(value, path, status);
  Announcement out;
  out.name = reader.Name("name");
  reader.ReadNumber("service", {1, kMaxServiceId}, out.service);
  out.from = reader.Timestamp("from");
  out.until = reader.Timestamp("until");
  out.text = reader.Text("text", {0, kMaxAnnouncementBytes});
  reader.Finish();
  return out;
}

ChangeRecord ReadChangeRecord(const json::value& value, const std::string& path,
                              ParseStatus& status) {
  FieldReader reader(value, path, status);
  ChangeRecord out;
  out.id = reader.Name("id");
  reader.ReadNumber("version", {1, kMaxVersion}, out.version);
  out.author = reader.Text("author", {1, kMaxNameBytes});
  out.summary = reader.Text("summary", {0, kMaxSummaryBytes});
  out.touched = ReadArray<std::string>(
      reader, "touched", kMaxRecentTouched,
      [](const json::value& element, const std::string& where,
         ParseStatus& element_status) {
        if (const json::string* text = element.if_string()) {
          return std::string(*text);
        }
        element_status.Fail(ErrorKind::kWrongType, where + ": not a string");
        return std::string();
      });
  out.accepted = reader.Timestamp("accepted");
  reader.Finish();
  return out;
}

FormerLoadShare ReadFormerLoadShare(const json::value& value,
                                    const std::string& path,
                                    ParseStatus& status) {
  FieldReader reader(value, path, status);
  FormerLoadShare out;
  reader.ReadNumber("until", {1, kMaxVersion}, out.until);
  out.until_at = reader.Timestamp("until_at");
  reader.ReadNumber("load_share_permille", {0, 1000}, out.load_share_permille);
  reader.Finish();
  return out;
}

DomainId ReadDomain(const json::value& value, const std::string& path,
                    ParseStatus& status) {
  return static_cast<DomainId>(
      ReadInteger(value, path, {0, kMaxDomainId}, status));
}

void ReadHeadFields(FieldReader& reader, Configuration& configuration) {
  reader.ReadNumber("version", {0, kMaxVersion}, configuration.version);
  configuration.preset = reader.Name("preset");
  configuration.former_load_shares = ReadArray<FormerLoadShare>(
      reader, "former_load_shares", kMaxFormerLoadShares, ReadFormerLoadShare);
  configuration.domains =
      ReadArray<DomainId>(reader, "domains", kMaxDomains, ReadDomain);
  reader.ReadNumber("next_target_id", {1, kMaxTargetId},
                    configuration.next_target_id);
  configuration.recent_changes = ReadArray<ChangeRecord>(
      reader, "recent_changes", kMaxRecentChanges, ReadChangeRecord);
}

void WriteHeadFields(const Configuration& configuration, json::object& out) {
  out["version"] = Value(configuration.version);
  out["preset"] = configuration.preset;
  out["former_load_shares"] = ToArray(configuration.former_load_shares);
  json::array domains;
  for (const DomainId domain : configuration.domains) {
    domains.emplace_back(Value(domain));
  }
  out["domains"] = std::move(domains);
  out["next_target_id"] = configuration.next_target_id;
  out["recent_changes"] = ToArray(configuration.recent_changes);
}

}  // namespace internal
}  // namespace sapphirestream
