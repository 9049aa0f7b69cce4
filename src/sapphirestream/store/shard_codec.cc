// Configuration slices and their JSON serialization.
#include "sapphirestream/store/shard_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>
#include <tuple>
#include <utility>

#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/field_reader.h"
#include "sapphirestream/contract/limits.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;
using internal::FieldReader;
using internal::ParseStatus;

// Returns the targets of a service whose positions are in the range.
std::span<const Target> TargetsIn(const Service& service,
                                  const ShardRange& range) {
  const auto position = [&](const ShardKey& key) {
    return std::lower_bound(service.targets.begin(), service.targets.end(), key,
                            [&](const Target& target, const ShardKey& wanted) {
                              return ShardKey{service.id, target.id} < wanted;
                            });
  };
  const auto from = position(range.first);
  const auto to = range.end ? position(*range.end) : service.targets.end();
  return {from, to};
}

leaf::result<void> AppendTargets(Configuration& out, ServiceId service,
                                 std::span<const Target> targets) {
  if (out.services.empty() || out.services.back().id != service) {
    return MakeError(ErrorKind::kOutOfRange,
                     "continued: service " + std::to_string(Value(service)) +
                         " is not the last service of the preceding shard");
  }
  auto& all = out.services.back().targets;
  all.insert(all.end(), targets.begin(), targets.end());
  return {};
}

}  // namespace

SliceIndex::SliceIndex(const Configuration& configuration)
    : configuration_(configuration) {
  announcements_.reserve(configuration.announcements.size());
  for (const Announcement& announcement : configuration.announcements) {
    announcements_.push_back(&announcement);
  }
  // A stable sort preserves the order by name within each service.
  std::stable_sort(announcements_.begin(), announcements_.end(),
                   [](const Announcement* a, const Announcement* b) {
                     return a->service < b->service;
                   });
}

std::vector<ServiceSlice> SliceIndex::Slices(const ShardRange& range) const {
  std::vector<ServiceSlice> out;
  const auto& services = configuration_.services;
  auto service = std::lower_bound(
      services.begin(), services.end(), range.first.service,
      [](const Service& s, ServiceId wanted) { return s.id < wanted; });
  for (; service != services.end(); ++service) {
    const ShardKey key{service->id, kNoTarget};
    if (range.end && key >= *range.end) break;
    ServiceSlice slice{
        &*service, key >= range.first, TargetsIn(*service, range), {}};
    if (slice.has_entry) {
      auto it = std::lower_bound(
          announcements_.begin(), announcements_.end(), service->id,
          [](const Announcement* a, ServiceId id) { return a->service < id; });
      for (; it != announcements_.end() && (*it)->service == service->id;
           ++it) {
        slice.announcements.push_back(*it);
      }
    }
    if (slice.has_entry || !slice.targets.empty()) {
      out.push_back(std::move(slice));
    }
  }
  return out;
}

bool SameContent(const std::vector<ServiceSlice>& a,
                 const std::vector<ServiceSlice>& b) {
  const auto entry = [](const Service& s) {
    return std::tie(s.id, s.name, s.address, s.kind, s.idempotent, s.version);
  };
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(),
      [&](const ServiceSlice& x, const ServiceSlice& y) {
        if (x.has_entry != y.has_entry) return false;
        if (x.has_entry ? entry(*x.service) != entry(*y.service)
                        : x.service->id != y.service->id) {
          return false;
        }
        return std::equal(x.targets.begin(), x.targets.end(), y.targets.begin(),
                          y.targets.end()) &&
               std::equal(x.announcements.begin(), x.announcements.end(),
                          y.announcements.begin(), y.announcements.end(),
                          [](const Announcement* p, const Announcement* q) {
                            return *p == *q;
                          });
      });
}

std::string SerializeShard(const std::vector<ServiceSlice>& slices) {
  json::array services;
  json::array announcements;
  json::object out;
  for (const ServiceSlice& slice : slices) {
    json::array targets;
    targets.reserve(slice.targets.size());
    for (const Target& target : slice.targets) {
      targets.emplace_back(ToJson(target));
    }
    if (!slice.has_entry) {
      out["continued"] = {{"service", Value(slice.service->id)},
                          {"targets", std::move(targets)}};
      continue;
    }
    Service entry = *slice.service;
    entry.targets.clear();
    json::object service = ToJson(entry);
    service["targets"] = std::move(targets);
    services.emplace_back(std::move(service));
    for (const Announcement* announcement : slice.announcements) {
      announcements.emplace_back(ToJson(*announcement));
    }
  }
  out["services"] = std::move(services);
  out["announcements"] = std::move(announcements);
  return json::serialize(out);
}

leaf::result<void> AppendShard(std::string_view text, Configuration& out) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(text));
  ParseStatus status;
  FieldReader reader(value, "", status);
  if (reader.Contains("continued")) {
    FieldReader continued(*reader.RawValue("continued"), "continued", status);
    ServiceId id{};
    continued.ReadNumber("service", {1, kMaxServiceId}, id);
    const auto targets = internal::ReadArray<Target>(
        continued, "targets", kMaxTargetsPerService, internal::ReadTarget);
    continued.Finish();
    BOOST_LEAF_CHECK(status.ToResult());
    BOOST_LEAF_CHECK(AppendTargets(out, id, targets));
  }
  auto services = internal::ReadArray<Service>(reader, "services", kMaxServices,
                                               internal::ReadService);
  auto announcements = internal::ReadArray<Announcement>(
      reader, "announcements", kMaxServices * kMaxAnnouncementsPerService,
      internal::ReadAnnouncement);
  reader.Finish();
  BOOST_LEAF_CHECK(status.ToResult());
  std::move(services.begin(), services.end(), std::back_inserter(out.services));
  std::move(announcements.begin(), announcements.end(),
            std::back_inserter(out.announcements));
  return {};
}

leaf::result<void> AppendSlices(const std::vector<ServiceSlice>& slices,
                                Configuration& out) {
  for (const ServiceSlice& slice : slices) {
    if (slice.has_entry) {
      const Service& from = *slice.service;
      out.services.push_back(Service{from.id,
                                     from.name,
                                     from.address,
                                     from.kind,
                                     from.idempotent,
                                     {},
                                     from.version});
      for (const Announcement* announcement : slice.announcements) {
        out.announcements.push_back(*announcement);
      }
    }
    BOOST_LEAF_CHECK(AppendTargets(out, slice.service->id, slice.targets));
  }
  return {};
}

std::string SerializePresets(const std::vector<Preset>& presets) {
  return json::serialize(json::object{{"presets", internal::ToArray(presets)}});
}

leaf::result<std::vector<Preset>> ParsePresets(std::string_view text) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(text));
  ParseStatus status;
  FieldReader reader(value, "", status);
  auto out = internal::ReadArray<Preset>(reader, "presets", kMaxPresets,
                                         internal::ReadPreset);
  reader.Finish();
  BOOST_LEAF_CHECK(status.ToResult());
  return out;
}

}  // namespace sapphirestream
