// Entries that another writer leaves among those of the targets.
#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/base/id.h"
#include "testing/odd_target_specs.h"
#include "testing/soak/soak_world.h"

namespace sapphirestream::soak {
namespace {

// How an entry concerns a target that is alive.
enum class ClaimKind : std::uint8_t {
  kAddress,          // a later target at the same address
  kDrainingAddress,  // the same, which drains
  kMissingField,     // the same, which no target has written
  kName,             // the same key in another spelling, at another address
};
constexpr std::uint64_t kClaimKinds = 4;
// Another spelling of the prefix of a target's name.
constexpr std::string_view kNamePrefix = "i-000000";

// Removes one member of a JSON object that has several.
std::string WithoutField(std::string spec, const std::string& name) {
  const std::size_t begin = spec.find("\"" + name + "\":");
  const std::size_t end = spec.find(',', begin);
  return spec.erase(begin, end + 1 - begin);
}

}  // namespace

void SoakWorld::WriteOddEntry(Random& random) {
  // First, in the middle and last in a list; the last one cannot be decoded.
  constexpr std::array<const char*, 4> names{"a", "i-00001003a", "z",
                                             R"(z\udcff)"};
  static const std::array odd_specs{testing::UndecodableTargetSpecs(),
                                    testing::OutOfRangeTargetSpecs()};
  const std::string name = names.at(random.Below(names.size()));
  Log("another writer leaves the entry " + name);
  const std::uint64_t kind = random.Below(odd_specs.size() + 1);
  if (kind < odd_specs.size()) {
    const std::vector<std::string>& specs = odd_specs.at(kind);
    return store_->Put("servers", name, specs.at(random.Below(specs.size())));
  }
  TargetRecord record = targets_.front().process->record();
  record.service = "nobody";
  record.incarnation = Incarnation{Value(record.incarnation) + 1};
  store_->Put("servers", "i-9", SpecOf(record));
}

void SoakWorld::ClaimAddresses(Random& random) {
  const std::uint64_t chosen = random.Below(targets());
  const bool are_all = random.Below(3) == 0;
  Log("another writer names the addresses of " +
      std::string(are_all ? "all targets"
                          : "target " + std::to_string(chosen + 1)));
  for (std::size_t i = 0; i < targets(); ++i) {
    if (are_all || i == chosen) WriteClaim(*targets_.at(i).process, random);
  }
}

void SoakWorld::WriteClaim(const SoakTarget& target, Random& random) {
  const auto kind = static_cast<ClaimKind>(random.Below(kClaimKinds));
  constexpr std::uint64_t later_start = 1000;
  constexpr std::array<const char*, 4> fields{"Version", "Zone", "Slots",
                                              "Seq"};
  TargetRecord record = target.record();
  record.incarnation = Incarnation{Value(record.incarnation) + later_start};
  record.draining = kind == ClaimKind::kDrainingAddress;
  std::string name = EntryName(TargetKey{++last_claim_});
  if (kind == ClaimKind::kName) {
    if (!HasEntry(target)) return;
    name = std::string(kNamePrefix) + EntryName(record.key).substr(2);
    record.address = UnusedTargetAddress();
    record.draining = random.Below(2) == 0;
  }
  std::string spec = SpecOf(record);
  if (kind == ClaimKind::kMissingField) {
    spec = WithoutField(spec, fields.at(random.Below(fields.size())));
  }
  claims_.push_back(name);
  store_->Put("servers", name, spec);
}

bool SoakWorld::HasEntry(const SoakTarget& target) const {
  const std::vector<std::string> names = store_->Names("servers");
  return std::find(names.begin(), names.end(),
                   EntryName(target.record().key)) != names.end();
}

void SoakWorld::RemoveNameClaims() {
  for (const std::string& name : store_->Names("servers")) {
    if (name.starts_with(kNamePrefix)) store_->Delete("servers", name);
  }
}

void SoakWorld::RemoveClaims() {
  if (claims_.empty()) return;
  Log("the other writer's entries are removed");
  for (const std::string& name : claims_) store_->Delete("servers", name);
  claims_.clear();
}

}  // namespace sapphirestream::soak
