// How far the newest configuration has come, by domain.
#include "sapphirestream/instance/status_board.h"

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace sapphirestream {
namespace {

namespace json = boost::json;

std::string NameOf(DomainId domain) {
  return "status/" + std::to_string(Value(domain));
}

std::string ToText(const DomainStatus& status) {
  json::array lagging;
  for (const InstanceId id : status.lagging) lagging.emplace_back(Value(id));
  return json::serialize(json::object{{"version", Value(status.version)},
                                      {"live", status.live},
                                      {"prepared", status.prepared},
                                      {"active", status.active},
                                      {"lagging", std::move(lagging)}});
}

// Returns nothing if the text has another form, which another release may have
// written.
std::optional<DomainStatus> FromText(DomainId domain, const std::string& text) {
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

void StatusBoard::Write(const DomainStatus& status, TimePoint now) {
  if (is_writing_ || now < next_write_ || status == written_) return;
  is_writing_ = true;
  pending_ = status;
  const std::string name = NameOf(status.domain);
  if (!must_look_) {
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

void StatusBoard::Put(const std::string& name, TimePoint now) {
  store_.Put(name, object_version_, ToText(pending_), kDeadline,
             [this, now](const StoreResult<ObjectVersion>& answer) {
               is_writing_ = false;
               must_look_ = answer.error != ErrorKind::kNone;
               next_write_ =
                   now + (must_look_ ? kRetryInterval : kWriteInterval);
               if (must_look_) return;
               object_version_ = answer.value;
               written_ = pending_;
             });
}

void StatusBoard::Read(std::span<const DomainId> domains, Done done) {
  struct Reading {
    std::size_t open = 0;
    std::vector<DomainStatus> statuses;
    Done done;
  };
  auto reading = std::make_shared<Reading>();
  reading->open = domains.size();
  reading->done = std::move(done);
  if (domains.empty()) {
    reading->done({});
    return;
  }
  for (const DomainId domain : domains) {
    store_.Get(NameOf(domain), kDeadline,
               [reading, domain](const StoreResult<StoredObject>& answer) {
                 if (answer.error == ErrorKind::kNone) {
                   if (auto status = FromText(domain, answer.value.value)) {
                     reading->statuses.push_back(std::move(*status));
                   }
                 }
                 if (--reading->open == 0) {
                   reading->done(std::move(reading->statuses));
                 }
               });
  }
}

}  // namespace sapphirestream
