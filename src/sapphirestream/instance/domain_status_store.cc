// Rollout status of the newest configuration, by domain.
#include "sapphirestream/instance/domain_status_store.h"

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace sapphirestream {
namespace {

namespace json = boost::json;

std::string ObjectName(DomainId domain) {
  return "status/" + std::to_string(Value(domain));
}

std::string SerializeStatus(const DomainStatus& status) {
  json::array lagging;
  for (const InstanceId id : status.lagging) lagging.emplace_back(Value(id));
  return json::serialize(json::object{{"version", Value(status.version)},
                                      {"live", status.live},
                                      {"prepared", status.prepared},
                                      {"active", status.active},
                                      {"lagging", std::move(lagging)}});
}

// Returns nothing if the text has an unknown form, which another release may
// have written.
std::optional<DomainStatus> ParseStatus(DomainId domain,
                                        const std::string& text) {
  try {
    const json::value value = json::parse(text);
    DomainStatus status;
    status.domain = domain;
    status.version =
        ConfigVersion{value.at("version").to_number<std::uint64_t>()};
    status.live = value.at("live").to_number<std::uint32_t>();
    status.prepared = value.at("prepared").to_number<std::uint32_t>();
    status.active = value.at("active").to_number<std::uint32_t>();
    for (const json::value& id : value.at("lagging").as_array()) {
      status.lagging.push_back(InstanceId{id.to_number<std::uint32_t>()});
    }
    return status;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void DomainStatusStore::Write(const DomainStatus& status, TimePoint now) {
  if (is_writing_ || now < next_write_) return;
  if (status == last_written_ && now < next_refresh_) return;
  is_writing_ = true;
  being_written_ = status;
  const std::string name = ObjectName(status.domain);
  if (!must_read_version_) {
    Put(name, now);
    return;
  }
  store_.Get(name, kDeadline,
             [this, name, now](const StoreResult<StoredObject>& answer) {
               if (answer.error == ErrorKind::kNone ||
                   answer.error == ErrorKind::kNotFound) {
                 object_version_ = answer.error == ErrorKind::kNone
                                       ? answer.value.version
                                       : kMustNotExist;
                 Put(name, now);
                 return;
               }
               is_writing_ = false;
               next_write_ = now + kRetryInterval;
             });
}

void DomainStatusStore::Put(const std::string& name, TimePoint now) {
  store_.Put(name, object_version_, SerializeStatus(being_written_), kDeadline,
             [this, now](const StoreResult<ObjectVersion>& answer) {
               is_writing_ = false;
               must_read_version_ = answer.error != ErrorKind::kNone;
               next_write_ =
                   now + (must_read_version_ ? kRetryInterval : kWriteInterval);
               if (must_read_version_) return;
               object_version_ = answer.value;
               last_written_ = being_written_;
               next_refresh_ = now + kRefreshInterval;
             });
}

void DomainStatusStore::Read(std::span<const DomainId> domains, Done done) {
  struct PendingRead {
    std::size_t remaining = 0;
    std::vector<DomainStatus> statuses;
    Done done;
  };
  auto pending = std::make_shared<PendingRead>();
  pending->remaining = domains.size();
  pending->done = std::move(done);
  if (domains.empty()) {
    pending->done({});
    return;
  }
  for (const DomainId domain : domains) {
    store_.Get(ObjectName(domain), kDeadline,
               [pending, domain](const StoreResult<StoredObject>& answer) {
                 if (answer.error == ErrorKind::kNone) {
                   if (auto status = ParseStatus(domain, answer.value.value)) {
                     pending->statuses.push_back(std::move(*status));
                   }
                 }
                 if (--pending->remaining == 0) {
                   pending->done(std::move(pending->statuses));
                 }
               });
  }
}

}  // namespace sapphirestream
