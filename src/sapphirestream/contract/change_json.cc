// Field names and value ranges of each operation, in a table by operation name.
#include "sapphirestream/contract/change_json.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/field_reader.h"
#include "sapphirestream/contract/limits.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;
using internal::FieldReader;
using internal::ParseStatus;

constexpr std::uint64_t kMaxDomainId =
    std::numeric_limits<std::uint16_t>::max();

void Read(FieldReader& reader, CreateService& out) {
  out.name = reader.Name("name");
  reader.ReadNumber("id", {1, kMaxServiceId}, out.id);
  out.address = reader.EndpointWithPort("address");
  reader.ReadEnum("kind", kFlowKindNames, out.kind);
  out.idempotent = reader.Bool("idempotent");
}

void Read(FieldReader& reader, DeleteService& out) {
  out.service = reader.Name("service");
}

void Read(FieldReader& reader, AddTarget& out) {
  out.service = reader.Name("service");
  out.tunnel = reader.EndpointWithPort("tunnel");
  reader.ReadNumber("domain", {0, kMaxDomainId}, out.domain);
  reader.ReadOptional("slots", {1, kMaxSlots}, out.slots);
  reader.ReadOptional("max_connections", {1, kMaxConnections},
                      out.max_connections);
  reader.ReadOptional("weight", {1, kMaxWeight}, out.weight);
}

void Read(FieldReader& reader, DrainTarget& out) {
  out.service = reader.Name("service");
  out.tunnel = reader.EndpointWithPort("tunnel");
}

void Read(FieldReader& reader, RemoveTarget& out) {
  out.service = reader.Name("service");
  out.tunnel = reader.EndpointWithPort("tunnel");
}

void Read(FieldReader& reader, PutPreset& out) {
  if (const json::value* value = reader.RawValue("preset")) {
    out.preset =
        internal::ReadPreset(*value, reader.PathOf("preset"), reader.status());
  }
}

void Read(FieldReader& reader, DeletePreset& out) {
  out.preset = reader.Name("preset");
}

void Read(FieldReader& reader, SwitchPreset& out) {
  out.preset = reader.Name("preset");
}

void Read(FieldReader& reader, PutAnnouncement& out) {
  out.name = reader.Name("name");
  out.service = reader.Name("service");
  out.from = reader.Timestamp("from");
  out.until = reader.Timestamp("until");
  out.text = reader.Text("text", {0, kMaxAnnouncementBytes});
  if (out.until <= out.from) {
    reader.status().Fail(ErrorKind::kOutOfRange,
                         reader.PathOf("until") + ": not later than from");
  }
}

void Read(FieldReader& reader, DeleteAnnouncement& out) {
  out.announcement = reader.Name("announcement");
}

void Read(FieldReader& reader, SetDomains& out) {
  out.domains = internal::ReadArray<DomainId>(reader, "domains", kMaxDomains,
                                              internal::ReadDomain);
  if (out.domains.empty()) {
    reader.status().Fail(ErrorKind::kOutOfRange,
                         reader.PathOf("domains") +
                             ": 0 elements are outside 1 to " +
                             std::to_string(kMaxDomains));
  }
  std::sort(out.domains.begin(), out.domains.end());
  out.domains.erase(std::unique(out.domains.begin(), out.domains.end()),
                    out.domains.end());
}

void Write(const CreateService& in, json::object& out) {
  out["name"] = in.name;
  out["id"] = Value(in.id);
  out["address"] = ToString(in.address);
  out["kind"] = Name(in.kind);
  out["idempotent"] = in.idempotent;
}

void Write(const DeleteService& in, json::object& out) {
  out["service"] = in.service;
}

void Write(const AddTarget& in, json::object& out) {
  out["service"] = in.service;
  out["tunnel"] = ToString(in.tunnel);
  out["domain"] = Value(in.domain);
  out["slots"] = in.slots;
  out["max_connections"] = in.max_connections;
  out["weight"] = in.weight;
}

void Write(const DrainTarget& in, json::object& out) {
  out["service"] = in.service;
  out["tunnel"] = ToString(in.tunnel);
}

void Write(const RemoveTarget& in, json::object& out) {
  out["service"] = in.service;
  out["tunnel"] = ToString(in.tunnel);
}

void Write(const PutPreset& in, json::object& out) {
  out["preset"] = ToJson(in.preset);
}

void Write(const DeletePreset& in, json::object& out) {
  out["preset"] = in.preset;
}

void Write(const SwitchPreset& in, json::object& out) {
  out["preset"] = in.preset;
}

void Write(const PutAnnouncement& in, json::object& out) {
  out["name"] = in.name;
  out["service"] = in.service;
  out["from"] = in.from.time_since_epoch().count();
  out["until"] = in.until.time_since_epoch().count();
  out["text"] = in.text;
}

void Write(const DeleteAnnouncement& in, json::object& out) {
  out["announcement"] = in.announcement;
}

void Write(const SetDomains& in, json::object& out) {
  json::array domains;
  for (const DomainId domain : in.domains) domains.emplace_back(Value(domain));
  out["domains"] = std::move(domains);
}

template <typename T>
Operation ReadAs(FieldReader& reader) {
  T out;
  Read(reader, out);
  return out;
}

struct OperationRow {
  std::string_view name;
  Operation (*read)(FieldReader&);
};

// In the order of the variant's alternatives.
constexpr std::array<OperationRow, std::variant_size_v<Operation>> kOperations{{
    {"create_service", ReadAs<CreateService>},
    {"delete_service", ReadAs<DeleteService>},
    {"add_target", ReadAs<AddTarget>},
    {"drain_target", ReadAs<DrainTarget>},
    {"remove_target", ReadAs<RemoveTarget>},
    {"put_preset", ReadAs<PutPreset>},
    {"delete_preset", ReadAs<DeletePreset>},
    {"switch_preset", ReadAs<SwitchPreset>},
    {"put_announcement", ReadAs<PutAnnouncement>},
    {"delete_announcement", ReadAs<DeleteAnnouncement>},
    {"set_domains", ReadAs<SetDomains>},
}};

Operation ReadOperation(const json::value& value, const std::string& path,
                        ParseStatus& status) {
  FieldReader reader(value, path, status);
  const std::string name = reader.Text("op", {0, 1000});
  if (!status.ok()) return {};
  const auto row =
      std::find_if(kOperations.begin(), kOperations.end(),
                   [&](const OperationRow& r) { return r.name == name; });
  if (row == kOperations.end()) {
    status.Fail(ErrorKind::kOutOfRange,
                reader.PathOf("op") + ": \"" + name + "\" is not an operation");
    return {};
  }
  Operation out = row->read(reader);
  reader.Finish();
  return out;
}

}  // namespace

std::string_view Name(const Operation& operation) noexcept {
  return kOperations[operation.index()].name;
}

json::object ToJson(const Operation& operation) {
  json::object out{{"op", Name(operation)}};
  std::visit([&](const auto& typed) { Write(typed, out); }, operation);
  return out;
}

json::object ToJson(const Change& change) {
  return {{"id", change.id},
          {"author", change.author},
          {"dry_run", change.dry_run},
          {"operations", internal::ToArray(change.operations)}};
}

leaf::result<Change> ParseChange(std::string_view text) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(text));
  ParseStatus status;
  FieldReader reader(value, "", status);
  Change out;
  out.id = reader.Name("id");
  out.author = reader.Text("author", {1, kMaxNameBytes});
  reader.ReadOptional("dry_run", out.dry_run);
  out.operations = internal::ReadArray<Operation>(
      reader, "operations", kMaxOperations, ReadOperation);
  if (out.operations.empty()) {
    status.Fail(ErrorKind::kOutOfRange,
                "operations: 0 elements are outside 1 to " +
                    std::to_string(kMaxOperations));
  }
  reader.Finish();
  BOOST_LEAF_CHECK(status.ToResult());
  return out;
}

}  // namespace sapphirestream
