// Shard ranges, splitting of large shards and removal of empty ones.
#include "sapphirestream/store/shard_plan.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "sapphirestream/base/hash.h"
#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/store/shard_codec.h"

namespace sapphirestream {
namespace {

constexpr std::uint64_t kChecksumSeed = 0;
// Lower bound of the size of a service or target entry in JSON.
constexpr std::size_t kMinEntryBytes = 80;

std::uint64_t Checksum(const std::string& value) {
  return HashBytes(value.data(), value.size(), kChecksumSeed);
}

ShardRange RangeAt(const std::vector<ShardRef>& refs, std::size_t index) {
  ShardRange range{refs[index].first, std::nullopt};
  if (index + 1 < refs.size()) range.end = refs[index + 1].first;
  return range;
}

// Returns the number of service and target entries in the slices.
std::size_t CountEntries(const std::vector<ServiceSlice>& slices) {
  std::size_t count = 0;
  for (const ServiceSlice& slice : slices) {
    count += slice.targets.size() + (slice.has_entry ? 1 : 0);
  }
  return count;
}

// Returns the position in the middle of the slices, or nullopt if they hold a
// single entry.
std::optional<ShardKey> FindSplitPoint(
    const std::vector<ServiceSlice>& slices) {
  const std::size_t count = CountEntries(slices);
  if (count < 2) return std::nullopt;
  std::size_t skip = count / 2;
  for (const ServiceSlice& slice : slices) {
    const ServiceId service = slice.service->id;
    if (slice.has_entry && skip-- == 0) return ShardKey{service, kNoTarget};
    if (skip < slice.targets.size()) {
      return ShardKey{service, slice.targets[skip].id};
    }
    skip -= slice.targets.size();
  }
  return std::nullopt;
}

// Builds the shard list of a new head.
class Planner {
 public:
  Planner(const Configuration& before, const Configuration& after)
      : before_(before), after_(after), version_(after.version) {}

  [[nodiscard]] std::vector<ShardWrite>& writes() noexcept { return writes_; }

  ShardRef WritePresets(const std::vector<Preset>& presets) {
    std::string value = SerializePresets(presets);
    const ShardRef ref{{}, version_, Checksum(value)};
    writes_.push_back({PresetShardName(ref), std::move(value)});
    return ref;
  }

  std::vector<ShardRef> PlanServices(const std::vector<ShardRef>& stored) {
    std::vector<ShardRef> kept;
    std::vector<bool> dirty;
    for (std::size_t i = 0; i < stored.size(); ++i) {
      const ShardRange range = RangeAt(stored, i);
      const auto slices = after_.Slices(range);
      if (slices.empty() && i > 0) {
        // The preceding shard takes over the range, so it must be written under
        // a new name.
        dirty.back() = true;
        continue;
      }
      kept.push_back(stored[i]);
      dirty.push_back(!SameContent(before_.Slices(range), slices));
    }
    if (kept.empty()) {
      kept.emplace_back();
      dirty.push_back(true);
    }
    std::vector<ShardRef> out;
    for (std::size_t i = 0; i < kept.size(); ++i) {
      if (dirty[i]) {
        WriteRange(RangeAt(kept, i), out);
      } else {
        out.push_back(kept[i]);
      }
    }
    return out;
  }

 private:
  void WriteRange(const ShardRange& range, std::vector<ShardRef>& out) {
    const auto slices = after_.Slices(range);
    std::string value;
    // Does not serialize ranges that are certainly too large. Otherwise,
    // writing all shards would serialize everything once per level of
    // splitting.
    bool fits = CountEntries(slices) <= kMaxShardBytes / kMinEntryBytes;
    if (fits) {
      value = SerializeShard(slices);
      fits = value.size() <= kMaxShardBytes;
    }
    if (!fits) {
      if (const auto middle = FindSplitPoint(slices)) {
        WriteRange({range.first, middle}, out);
        WriteRange({*middle, range.end}, out);
        return;
      }
    }
    const ShardRef ref{range.first, version_, Checksum(value)};
    writes_.push_back({ServiceShardName(ref), std::move(value)});
    out.push_back(ref);
  }

  SliceIndex before_;
  SliceIndex after_;
  ConfigVersion version_;
  std::vector<ShardWrite> writes_;
};

leaf::result<const std::string*> FindShardValue(
    const std::map<std::string, std::string>& values, const std::string& name,
    const ShardRef& ref) {
  const auto it = values.find(name);
  if (it == values.end()) return MakeError(ErrorKind::kNotFound, name);
  if (Checksum(it->second) != ref.checksum) {
    return MakeError(ErrorKind::kMalformedMessage,
                     name + ": content does not match the checksum");
  }
  return &it->second;
}

bool IsKnown(const ShardRef& ref, const Configuration* known) {
  return known != nullptr && ref.version <= known->version;
}

}  // namespace

ShardPlan PlanShards(const ConfigHead* stored, const Configuration& before,
                     const Configuration& after) {
  ShardPlan plan;
  plan.head.head = after;
  plan.head.head.services.clear();
  plan.head.head.presets.clear();
  plan.head.head.announcements.clear();
  Planner planner(before, after);
  if (stored != nullptr && before.presets == after.presets) {
    plan.head.presets = stored->presets;
  } else {
    plan.head.presets = planner.WritePresets(after.presets);
  }
  plan.head.services = planner.PlanServices(
      stored != nullptr ? stored->services : std::vector<ShardRef>{});
  plan.writes = std::move(planner.writes());
  return plan;
}

std::vector<std::string> MissingShards(const ConfigHead& head,
                                       const Configuration* known) {
  std::vector<std::string> out;
  if (!IsKnown(head.presets, known)) {
    out.push_back(PresetShardName(head.presets));
  }
  for (const ShardRef& ref : head.services) {
    if (!IsKnown(ref, known)) out.push_back(ServiceShardName(ref));
  }
  return out;
}

leaf::result<Configuration> Assemble(
    const ConfigHead& head, const Configuration* known,
    const std::map<std::string, std::string>& values) {
  Configuration out = head.head;
  if (IsKnown(head.presets, known)) {
    out.presets = known->presets;
  } else {
    BOOST_LEAF_AUTO(value, FindShardValue(values, PresetShardName(head.presets),
                                          head.presets));
    BOOST_LEAF_ASSIGN(out.presets, ParsePresets(*value));
  }
  std::optional<SliceIndex> index;
  if (known != nullptr) index.emplace(*known);
  for (std::size_t i = 0; i < head.services.size(); ++i) {
    const ShardRef& ref = head.services[i];
    if (IsKnown(ref, known)) {
      BOOST_LEAF_CHECK(
          AppendSlices(index->Slices(RangeAt(head.services, i)), out));
    } else {
      BOOST_LEAF_AUTO(value,
                      FindShardValue(values, ServiceShardName(ref), ref));
      BOOST_LEAF_CHECK(AppendShard(*value, out));
    }
  }
  std::sort(out.announcements.begin(), out.announcements.end(),
            [](const Announcement& a, const Announcement& b) {
              return a.name < b.name;
            });
  BOOST_LEAF_CHECK(Validate(out));
  return out;
}

}  // namespace sapphirestream
