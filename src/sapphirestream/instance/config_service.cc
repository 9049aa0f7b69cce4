// Reads, replicates and changes the configuration of this instance.
#include "sapphirestream/instance/config_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "sapphirestream/contract/check.h"
#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/effect.h"
#include "sapphirestream/target/lookup_table.h"

namespace sapphirestream {
namespace {

std::vector<TargetId> BucketsAtNewestVersion(const Service& service) {
  constexpr ConfigVersion k_newest_version{~0ULL};
  return LookupTable::Build(service, k_newest_version).buckets();
}

}  // namespace

ConfigService::ConfigService(const Dissemination::Options& options,
                             const Dependencies& dependencies,
                             Handler on_change)
    : dependencies_(dependencies),
      self_(options.self),
      on_change_(std::move(on_change)),
      dissemination_(options, format_, dependencies.sink, dependencies.random,
                     dependencies.clock.Now()),
      reader_(
          dependencies.store, dependencies.timer, dependencies.clock,
          dependencies.random, dependencies.counters, {},
          [this](const std::shared_ptr<const Configuration>& c) {
            OnStored(c);
          },
          [this](const std::shared_ptr<const Configuration>& c) { OnLost(c); }),
      writer_(dependencies.store, dependencies.timer, dependencies.clock,
              dependencies.random, {},
              [this](const Configuration& before, const Configuration& after) {
                return Review(before, after);
              }),
      restorer_(dependencies.store, dependencies.timer, dependencies.random,
                dependencies.counters, {}) {}

void ConfigService::OnView(const MemberView& view) {
  is_alone_ = std::all_of(
      view.members().begin(), view.members().end(), [&](const Member& member) {
        return member.id == self_ || member.state == MemberState::kLeft;
      });
  dissemination_.OnView(view, dependencies_.clock.Now());
  UpdateConfigurations();
}

void ConfigService::OnMessage(InstanceId from, const DomainMessage& message) {
  dissemination_.OnMessage(from, message, dependencies_.clock.Now());
  UpdateConfigurations();
}

void ConfigService::OnTimer() {
  dissemination_.OnTimer(dependencies_.clock.Now());
  // Every instance reads the store until it has a first configuration.
  const bool must_read =
      !dissemination_.is_ready() || dissemination_.IsReader();
  if (must_read != is_reading_) {
    is_reading_ = must_read;
    dependencies_.log.Write(LogLevel::kInfo, "store_reader",
                            {{"reading", must_read ? "true" : "false"}});
    if (must_read) {
      reader_.Start();
    } else {
      reader_.Stop();
    }
  }
  UpdateConfigurations();
}

void ConfigService::Submit(const Change& change, ConfigWriter::Done done) {
  writer_.Submit(change,
                 [this, done = std::move(done)](const ChangeOutcome& outcome) {
                   if (outcome.configuration != nullptr) {
                     OnStored(outcome.configuration);
                   }
                   done(outcome);
                 });
}

void ConfigService::OnStored(
    const std::shared_ptr<const Configuration>& configuration) {
  const ConfigVersion version = configuration->version;
  if (version <= dissemination_.prepared()) return;
  parsed_[version] = configuration;
  dissemination_.OnStoreConfiguration(
      version, boost::json::serialize(ToJson(*configuration)),
      dependencies_.clock.Now());
  UpdateConfigurations();
}

void ConfigService::OnLost(
    const std::shared_ptr<const Configuration>& configuration) {
  dependencies_.log.Write(LogLevel::kWarn, "config_lost",
                          {{"version", Value(configuration->version)}});
  restorer_.Restore(configuration);
}

leaf::result<ChangeEffect> ConfigService::Review(const Configuration& before,
                                                 const Configuration& after) {
  const auto loads = loads_.Loads(before, dependencies_.clock.Now());
  BOOST_LEAF_CHECK(
      CheckAnnounced(before, after, loads, dependencies_.clock.WallNow()));
  return ComputeEffect(before, after, loads, BucketsAtNewestVersion);
}

void ConfigService::UpdateConfigurations() {
  if (dissemination_.revision() == seen_revision_) return;
  seen_revision_ = dissemination_.revision();
  std::map<ConfigVersion, std::shared_ptr<const Configuration>> parsed;
  for (const HeldVersion& held : dissemination_.versions()) {
    if (held.body == nullptr) continue;
    if (auto configuration = GetOrParse(held)) {
      parsed.emplace(held.version, std::move(configuration));
    }
  }
  parsed_ = std::move(parsed);
  const auto find = [this](ConfigVersion version) {
    const auto it = parsed_.find(version);
    return it == parsed_.end() ? nullptr : it->second;
  };
  const auto newest = find(dissemination_.prepared());
  const auto active = find(dissemination_.active());
  if (newest == nullptr || active == nullptr) return;
  if (newest == newest_ && active == active_) return;
  if (newest != newest_) {
    loads_.Prune(*newest);
    // Avoids reading a version from the store that a peer has already sent.
    reader_.Observe(newest);
    writer_.Observe(newest);
  }
  newest_ = newest;
  active_ = active;
  dependencies_.log.Write(LogLevel::kInfo, "config_changed",
                          {{"prepared", Value(newest_->version)},
                           {"active", Value(active_->version)},
                           {"preset", active_->preset},
                           {"services", active_->services.size()}});
  on_change_();
}

std::shared_ptr<const Configuration> ConfigService::GetOrParse(
    const HeldVersion& held) {
  if (const auto it = parsed_.find(held.version); it != parsed_.end()) {
    return it->second;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::shared_ptr<const Configuration>> {
        BOOST_LEAF_AUTO(configuration, ParseConfiguration(*held.body));
        return std::make_shared<const Configuration>(std::move(configuration));
      },
      [&](const Error& error) -> std::shared_ptr<const Configuration> {
        // A body that cannot be parsed comes from a peer of another release.
        dependencies_.log.Write(LogLevel::kError, "config_unreadable",
                                {{"version", Value(held.version)},
                                 {"error", AnswerFor(error.kind).name},
                                 {"detail", error.detail}});
        return nullptr;
      },
      []() -> std::shared_ptr<const Configuration> { return nullptr; });
}

}  // namespace sapphirestream
