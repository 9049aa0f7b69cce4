// Validates a complete configuration: order, uniqueness and references.
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/limits.h"

namespace sapphirestream {
namespace {

// Fails at the first element whose key is not greater than that of its
// predecessor.
template <typename T, typename Key>
leaf::result<void> CheckSorted(const std::vector<T>& elements,
                               const std::string& path, Key key) {
  const auto unsorted = std::adjacent_find(
      elements.begin(), elements.end(),
      [&](const T& a, const T& b) { return !(key(a) < key(b)); });
  if (unsorted == elements.end()) return {};
  const auto index = static_cast<std::size_t>(unsorted - elements.begin()) + 1;
  return MakeError(ErrorKind::kOutOfRange, path + "[" + std::to_string(index) +
                                               "]: not sorted or not unique");
}

// Returns a duplicate element, if any. Sorts `elements`, which is several times
// faster than a set; this matters because instances validate every delta that
// they apply.
template <typename T>
std::optional<T> FindDuplicate(std::vector<T>& elements) {
  std::sort(elements.begin(), elements.end());
  const auto duplicate = std::adjacent_find(elements.begin(), elements.end());
  if (duplicate == elements.end()) return std::nullopt;
  return *duplicate;
}

leaf::result<void> CheckTargets(const Configuration& configuration,
                                const Service& service) {
  const std::string path = "services." + service.name + ".targets";
  BOOST_LEAF_CHECK(
      CheckSorted(service.targets, path, [](const Target& t) { return t.id; }));
  std::vector<Endpoint> tunnels;
  tunnels.reserve(service.targets.size());
  for (const Target& target : service.targets) {
    if (Value(target.id) >= configuration.next_target_id) {
      return MakeError(ErrorKind::kOutOfRange,
                       path + ": id " + std::to_string(Value(target.id)) +
                           " is not below next_target_id " +
                           std::to_string(configuration.next_target_id));
    }
    if (!target.removed) tunnels.push_back(target.tunnel);
  }
  if (const auto duplicate = FindDuplicate(tunnels)) {
    return MakeError(
        ErrorKind::kAlreadyExists,
        path + ": tunnel " + ToString(*duplicate) + " is used twice");
  }
  return {};
}

leaf::result<void> CheckServices(const Configuration& configuration) {
  BOOST_LEAF_CHECK(CheckSorted(configuration.services, "services",
                               [](const Service& s) { return s.id; }));
  std::vector<std::string_view> names;
  std::vector<Endpoint> addresses;
  for (const Service& service : configuration.services) {
    names.emplace_back(service.name);
    addresses.push_back(service.address);
    BOOST_LEAF_CHECK(CheckTargets(configuration, service));
  }
  if (const auto duplicate = FindDuplicate(names)) {
    return MakeError(
        ErrorKind::kAlreadyExists,
        "services: name " + std::string(*duplicate) + " is used twice");
  }
  if (const auto duplicate = FindDuplicate(addresses)) {
    return MakeError(
        ErrorKind::kAlreadyExists,
        "services: address " + ToString(*duplicate) + " is used twice");
  }
  return {};
}

leaf::result<void> CheckAnnouncements(const Configuration& configuration) {
  BOOST_LEAF_CHECK(CheckSorted(
      configuration.announcements, "announcements",
      [](const Announcement& a) -> std::string_view { return a.name; }));
  for (const Announcement& announcement : configuration.announcements) {
    const std::string path = "announcements." + announcement.name;
    if (announcement.until <= announcement.from) {
      return MakeError(ErrorKind::kOutOfRange,
                       path + ".until: not later than from");
    }
    if (FindService(configuration, announcement.service) == nullptr) {
      return MakeError(
          ErrorKind::kNotFound,
          path + ".service: " + std::to_string(Value(announcement.service)));
    }
  }
  return {};
}

}  // namespace

leaf::result<void> Validate(const Configuration& configuration) {
  BOOST_LEAF_CHECK(
      CheckSorted(configuration.presets, "presets",
                  [](const Preset& p) -> std::string_view { return p.name; }));
  if (FindPreset(configuration, configuration.preset) == nullptr) {
    return MakeError(ErrorKind::kNotFound, "preset: " + configuration.preset);
  }
  if (configuration.domains.empty()) {
    return MakeError(
        ErrorKind::kOutOfRange,
        "domains: 0 elements are outside 1 to " + std::to_string(kMaxDomains));
  }
  BOOST_LEAF_CHECK(CheckSorted(configuration.domains, "domains",
                               [](DomainId domain) { return domain; }));
  BOOST_LEAF_CHECK(
      CheckSorted(configuration.former_load_shares, "former_load_shares",
                  [](const FormerLoadShare& f) { return f.until; }));
  BOOST_LEAF_CHECK(
      CheckSorted(configuration.recent_changes, "recent_changes",
                  [](const ChangeRecord& r) { return r.version; }));
  BOOST_LEAF_CHECK(CheckServices(configuration));
  return CheckAnnouncements(configuration);
}

}  // namespace sapphirestream
