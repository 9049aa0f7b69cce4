// Status, dump and metrics of an instance.
#include <unistd.h>

#include <set>
#include <utility>

#include "sapphirestream/admin/metrics.h"
#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/instance/instance.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;

json::array ListVersions(const std::vector<ServiceVersion>& versions) {
  json::array out;
  for (const ServiceVersion& version : versions) {
    out.emplace_back(
        json::object{{"version", Value(version.version)},
                     {"buckets", version.table->size()},
                     {"load_share_permille", version.load_share_permille},
                     {"recorded", version.recorded}});
  }
  return out;
}

json::array ListSchedulers(const ServiceView& view,
                           const std::vector<DomainId>& domains) {
  json::array out;
  for (std::size_t i = 0; i < view.schedulers.size(); ++i) {
    out.emplace_back(
        json::object{{"domain", Value(domains[i])},
                     {"first", Value(view.schedulers[i].first)},
                     {"second", Value(view.schedulers[i].second)}});
  }
  return out;
}

json::array ListViews(const Snapshot& snapshot) {
  json::array out;
  for (const auto& [id, view] : snapshot.services) {
    out.emplace_back(
        json::object{{"service", Value(id)},
                     {"name", view.service.name},
                     {"active", ListVersions({view.active})},
                     {"retained", ListVersions(view.retained)},
                     {"prepared", ListVersions(view.prepared)},
                     {"slowdown_announced", view.slowdown_announced},
                     {"schedulers", ListSchedulers(view, snapshot.domains)}});
  }
  return out;
}

}  // namespace

Instance::Gauges::Gauges(CounterSet& counters)
    : owned(counters.Emplace("flow_records{role=\"owner\"}")),
      replicas(counters.Emplace("flow_records{role=\"replica\"}")),
      held(counters.Emplace("held_packets")),
      prepared(counters.Emplace("config_version{state=\"prepared\"}")),
      active(counters.Emplace("config_version{state=\"active\"}")) {}

bool Instance::is_ready() const {
  return publisher_->current() != nullptr && !stop_began_;
}

json::object Instance::LocalStatus() const {
  json::object out{{"instance", Value(settings_.instance_id)},
                   {"domain", Value(settings_.domain)},
                   {"ready", is_ready()},
                   {"leaving", stop_began_.has_value()}};
  if (config_.newest() != nullptr) {
    out["version"] = Value(config_.newest()->version);
    out["active_version"] = Value(config_.active()->version);
  }
  return out;
}

DomainStatus Instance::LocalDomainStatus() const {
  DomainStatus status;
  status.domain = settings_.domain;
  status.version = config_.newest()->version;
  for (const Member& member : membership_.view().members()) {
    if (member.domain != settings_.domain) continue;
    if (!MemberView::IsEligible(member)) continue;
    ConfigVersion prepared = status.version;
    ConfigVersion active = config_.active()->version;
    if (member.id != settings_.instance_id) {
      const auto heartbeat = heartbeats_.find(member.id);
      const bool has_heartbeat = heartbeat != heartbeats_.end();
      prepared = has_heartbeat ? heartbeat->second.prepared : ConfigVersion{};
      active = has_heartbeat ? heartbeat->second.active : ConfigVersion{};
    }
    ++status.live;
    if (prepared >= status.version) ++status.prepared;
    if (active >= status.version) {
      ++status.active;
    } else {
      status.lagging.push_back(member.id);
    }
  }
  return status;
}

void Instance::WriteStatus(TimePoint now) {
  if (config_.newest() == nullptr) return;
  // The first eligible instance of the domain writes its status.
  for (const Member& member : membership_.view().members()) {
    if (member.domain != settings_.domain) continue;
    if (!MemberView::IsEligible(member)) continue;
    if (member.id == settings_.instance_id) {
      status_store_.Write(LocalDomainStatus(), now);
    }
    return;
  }
}

void Instance::ReadStatus(std::function<void(json::object)> done) {
  if (config_.newest() == nullptr) {
    done(LocalStatus());
    return;
  }
  std::set<DomainId> others;
  std::size_t live = 0;
  for (const Member& member : membership_.view().members()) {
    if (!MemberView::IsEligible(member)) continue;
    ++live;
    if (member.domain != settings_.domain) others.insert(member.domain);
  }
  const std::vector<DomainId> domains(others.begin(), others.end());
  status_store_.Read(domains, [this, live, done = std::move(done)](
                                  std::vector<DomainStatus> statuses) {
    statuses.push_back(LocalDomainStatus());
    json::object out = LocalStatus();
    std::uint64_t prepared = 0;
    std::uint64_t active = 0;
    json::array lagging;
    for (const DomainStatus& status : statuses) {
      // Counts of an earlier version do not apply to the newest one.
      if (status.version < config_.newest()->version) continue;
      prepared += status.prepared;
      active += status.active;
      for (const InstanceId id : status.lagging) {
        lagging.emplace_back(Value(id));
      }
    }
    out["live"] = live;
    out["prepared"] = prepared;
    out["active"] = active;
    out["lagging"] = std::move(lagging);
    done(std::move(out));
  });
}

json::object Instance::Dump() const {
  json::object out = LocalStatus();
  json::array members;
  for (const Member& member : membership_.view().members()) {
    json::object item{{"instance", Value(member.id)},
                      {"domain", Value(member.domain)},
                      {"state", Name(member.state)},
                      {"incarnation", Value(member.incarnation)}};
    if (const auto it = heartbeats_.find(member.id); it != heartbeats_.end()) {
      item["prepared"] = Value(it->second.prepared);
      item["active"] = Value(it->second.active);
    }
    members.emplace_back(std::move(item));
  }
  out["members"] = std::move(members);
  const Steering::Stats stats = dispatcher_->steering().stats();
  out["steering"] = {{"owned", stats.owned},
                     {"replicas", stats.replicas},
                     {"held", stats.held},
                     {"moving", stats.moving},
                     {"recovering_services", stats.recovering_services}};
  const TimePoint now = clock_.Now();
  const TimePoint authority = membership_.AuthorityUntil();
  out["authority_ms"] =
      authority > now ? std::chrono::duration_cast<std::chrono::milliseconds>(
                            authority - now)
                            .count()
                      : 0;
  out["uptime_seconds"] =
      std::chrono::duration_cast<std::chrono::seconds>(now - started_).count();
  if (const auto current = publisher_->current()) {
    out["confirmed"] = current->snapshot.confirmed;
    out["services"] = ListViews(current->snapshot);
    json::object peers;
    for (const auto& [id, endpoint] : current->peers) {
      peers[std::to_string(Value(id))] = ToString(endpoint);
    }
    out["peers"] = std::move(peers);
  }
  if (config_.newest() != nullptr) {
    out["configuration"] = ToJson(*config_.newest());
  }
  return out;
}

std::string Instance::Metrics() const {
  const Steering::Stats stats = dispatcher_->steering().stats();
  gauges_.owned.Set(stats.owned);
  gauges_.replicas.Set(stats.replicas);
  gauges_.held.Set(stats.held);
  if (config_.newest() != nullptr) {
    gauges_.prepared.Set(Value(config_.newest()->version));
    gauges_.active.Set(Value(config_.active()->version));
  }
  return RenderMetrics(counters_);
}

void Instance::Submit(const Change& change, ConfigWriter::Done done) {
  config_.Submit(change, std::move(done));
}

}  // namespace sapphirestream
