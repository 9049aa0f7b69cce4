// A delta consists of the head fields, with only the changes since the base
// version in the history, and lists of changed and removed objects of each
// kind. A changed service contains only its changed targets.
#include "sapphirestream/contract/delta.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/field_reader.h"
#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/limits.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;
using internal::FieldReader;
using internal::ParseStatus;
using internal::Range;

constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxTargetId =
    std::numeric_limits<std::uint32_t>::max();

ServiceId KeyOf(const Service& service) { return service.id; }
TargetId KeyOf(const Target& target) { return target.id; }
const std::string& KeyOf(const Preset& preset) { return preset.name; }
const std::string& KeyOf(const Announcement& a) { return a.name; }

json::value KeyToJson(ServiceId id) { return json::value(Value(id)); }
json::value KeyToJson(TargetId id) { return json::value(Value(id)); }
json::value KeyToJson(const std::string& name) { return json::value(name); }

// Calls `changed(before or null, after)` and `removed(before)` for each element
// that differs. Both lists must be sorted by key.
template <typename T, typename Changed, typename Removed>
void ForEachDifference(const std::vector<T>& before,
                       const std::vector<T>& after, Changed changed,
                       Removed removed) {
  auto old = before.begin();
  for (const T& element : after) {
    while (old != before.end() && KeyOf(*old) < KeyOf(element)) removed(*old++);
    if (old != before.end() && KeyOf(*old) == KeyOf(element)) {
      if (!(*old == element)) changed(&*old, element);
      ++old;
    } else {
      changed(static_cast<const T*>(nullptr), element);
    }
  }
  while (old != before.end()) removed(*old++);
}

template <typename T>
void WriteLists(const std::vector<T>& before, const std::vector<T>& after,
                std::string_view name, json::object& out);

json::object ChangedToJson(const Target* /*before*/, const Target& after) {
  return ToJson(after);
}
json::object ChangedToJson(const Preset* /*before*/, const Preset& after) {
  return ToJson(after);
}
json::object ChangedToJson(const Announcement* /*before*/,
                           const Announcement& after) {
  return ToJson(after);
}
json::object ChangedToJson(const Service* before, const Service& after) {
  Service fields{after.id,         after.name, after.address, after.kind,
                 after.idempotent, {},         after.version};
  json::object out = ToJson(fields);
  out.erase("targets");
  const std::vector<Target> none;
  WriteLists(before != nullptr ? before->targets : none, after.targets,
             "targets", out);
  return out;
}

// Writes `<name>` and `removed_<name>`; omits empty lists.
template <typename T>
void WriteLists(const std::vector<T>& before, const std::vector<T>& after,
                std::string_view name, json::object& out) {
  json::array changed;
  json::array removed;
  ForEachDifference(
      before, after,
      [&](const T* old, const T& element) {
        changed.emplace_back(ChangedToJson(old, element));
      },
      [&](const T& element) {
        removed.emplace_back(KeyToJson(KeyOf(element)));
      });
  if (!changed.empty()) out[name] = std::move(changed);
  if (!removed.empty()) {
    out["removed_" + std::string(name)] = std::move(removed);
  }
}

template <typename T>
void EraseKey(std::vector<T>& elements, const decltype(T::name)& key,
              const std::string& path, ParseStatus& status) {
  if (std::erase_if(elements, [&](const T& e) { return e.name == key; }) == 0) {
    status.Fail(ErrorKind::kNotFound, path + ": " + key);
  }
}

template <typename T, typename Id>
void EraseId(std::vector<T>& elements, Id id, const std::string& path,
             ParseStatus& status) {
  if (std::erase_if(elements, [&](const T& e) { return e.id == id; }) == 0) {
    status.Fail(ErrorKind::kNotFound, path + ": " + std::to_string(Value(id)));
  }
}

// Inserts an element or replaces the one with the same key.
template <typename T>
void Upsert(std::vector<T>& elements, T element) {
  const auto it = std::lower_bound(
      elements.begin(), elements.end(), element,
      [](const T& a, const T& b) { return KeyOf(a) < KeyOf(b); });
  if (it != elements.end() && KeyOf(*it) == KeyOf(element)) {
    *it = std::move(element);
  } else {
    elements.insert(it, std::move(element));
  }
}

// Reads and applies the lists of a kind of object that is replaced as a whole.
template <typename T, typename Read>
void ReadNamedLists(FieldReader& reader, std::string_view name,
                    std::size_t max_size, Read read, std::vector<T>& out) {
  const std::string removed = "removed_" + std::string(name);
  if (reader.Contains(removed)) {
    for (const json::value& value : reader.Array(removed, max_size)) {
      if (const json::string* key = value.if_string()) {
        EraseKey(out, std::string(*key), reader.PathOf(removed),
                 reader.status());
      } else {
        reader.status().Fail(ErrorKind::kWrongType,
                             reader.PathOf(removed) + ": not a string");
      }
    }
  }
  if (!reader.Contains(name)) return;
  for (T& element : internal::ReadArray<T>(reader, name, max_size, read)) {
    Upsert(out, std::move(element));
  }
}

template <typename T, typename Id>
void ReadRemovedIds(FieldReader& reader, std::string_view name,
                    std::size_t max_size, Range range, std::vector<T>& out) {
  if (!reader.Contains(name)) return;
  for (const json::value& value : reader.Array(name, max_size)) {
    const auto id = static_cast<Id>(internal::ReadInteger(
        value, reader.PathOf(name), range, reader.status()));
    EraseId(out, id, reader.PathOf(name), reader.status());
  }
}

// Reads one changed service and merges it with the service in `base`.
Service ReadChangedService(const Configuration& base, const json::value& value,
                           const std::string& path, ParseStatus& status) {
  FieldReader reader(value, path, status);
  Service out;
  internal::ReadServiceFields(reader, out);
  if (const Service* old = FindService(base, out.id)) {
    out.targets = old->targets;
  }
  ReadRemovedIds<Target, TargetId>(reader, "removed_targets",
                                   kMaxTargetsPerService, {1, kMaxTargetId},
                                   out.targets);
  if (reader.Contains("targets")) {
    for (const Target& target : internal::ReadArray<Target>(
             reader, "targets", kMaxTargetsPerService, internal::ReadTarget)) {
      Upsert(out.targets, target);
    }
  }
  reader.Finish();
  return out;
}

void ReadServices(FieldReader& reader, const Configuration& base,
                  std::vector<Service>& out) {
  ReadRemovedIds<Service, ServiceId>(reader, "removed_services", kMaxServices,
                                     {1, kMaxServiceId}, out);
  if (!reader.Contains("services")) return;
  auto changed = internal::ReadArray<Service>(
      reader, "services", kMaxServices,
      [&](const json::value& value, const std::string& path,
          ParseStatus& status) {
        return ReadChangedService(base, value, path, status);
      });
  for (Service& service : changed) Upsert(out, std::move(service));
}

}  // namespace

std::string MakeDelta(const Configuration& base, const Configuration& next) {
  json::object out{{"base", Value(base.version)}};
  Configuration head = next;
  head.services.clear();
  head.presets.clear();
  head.announcements.clear();
  std::erase_if(head.recent_changes, [&](const ChangeRecord& record) {
    return record.version <= base.version;
  });
  internal::WriteHeadFields(head, out);
  WriteLists(base.services, next.services, "services", out);
  WriteLists(base.presets, next.presets, "presets", out);
  WriteLists(base.announcements, next.announcements, "announcements", out);
  return json::serialize(out);
}

leaf::result<Configuration> ApplyDelta(const Configuration& base,
                                       std::string_view delta) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(delta));
  ParseStatus status;
  FieldReader reader(value, "", status);
  const std::uint64_t base_version = reader.Number("base", {0, kMaxVersion});
  if (status.ok() && base_version != Value(base.version)) {
    return MakeError(ErrorKind::kVersionConflict,
                     "base: version " + std::to_string(base_version) +
                         " does not match " +
                         std::to_string(Value(base.version)));
  }
  Configuration out;
  internal::ReadHeadFields(reader, out);
  std::vector<ChangeRecord> records = base.recent_changes;
  std::move(out.recent_changes.begin(), out.recent_changes.end(),
            std::back_inserter(records));
  out.recent_changes = std::move(records);
  TrimRecentChanges(out.recent_changes);
  out.services = base.services;
  out.presets = base.presets;
  out.announcements = base.announcements;
  ReadServices(reader, base, out.services);
  ReadNamedLists(reader, "presets", kMaxPresets, internal::ReadPreset,
                 out.presets);
  ReadNamedLists(reader, "announcements",
                 kMaxServices * kMaxAnnouncementsPerService,
                 internal::ReadAnnouncement, out.announcements);
  reader.Finish();
  BOOST_LEAF_CHECK(status.ToResult());
  if (out.version <= base.version) {
    return MakeError(ErrorKind::kOutOfRange,
                     "version: not greater than base version " +
                         std::to_string(Value(base.version)));
  }
  BOOST_LEAF_CHECK(Validate(out));
  return out;
}

}  // namespace sapphirestream
