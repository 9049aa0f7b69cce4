// The configuration as the instance sees it.
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

std::vector<TargetId> NewestBuckets(const Service& service) {
  constexpr ConfigVersion k_newest{~0ULL};
  return LookupTable::Build(service, k_newest).buckets();
}

}  // namespace

ConfigService::ConfigService(const Dissemination::Options& options,
                             const Borders& borders, Handler on_change)
    : borders_(borders),
      self_(options.self),
      on_change_(std::move(on_change)),
      dissemination_(options, format_, borders.sink, borders.random,
                     borders.clock.Now()),
      reader_(borders.store, borders.timer, borders.clock, borders.random,
              borders.counters, {},
              [this](const std::shared_ptr<const Configuration>& c) {
                OnStored(c);
              }),
      writer_(borders.store, borders.timer, borders.clock, borders.random, {},
              [this](const Configuration& before, const Configuration& after) {
                return Review(before, after);
              }) {}

void ConfigService::OnView(const MemberView& view) {
  is_alone_ = std::all_of(
      view.members().begin(), view.members().end(), [&](const Member& member) {
        return member.id == self_ || member.state == MemberState::kLeft;
      });
  dissemination_.OnView(view, borders_.clock.Now());
  Follow();
}

void ConfigService::OnMessage(InstanceId from, const DomainMessage& message) {
  dissemination_.OnMessage(from, message, borders_.clock.Now());
  Follow();
}

void ConfigService::OnTimer() {
  dissemination_.OnTimer(borders_.clock.Now());
  // Without any configuration the store is worth asking for everybody.
  const bool must_read =
      !dissemination_.is_ready() || dissemination_.IsReader();
  if (must_read != is_reading_) {
    is_reading_ = must_read;
    borders_.log.Write(LogLevel::kInfo, "store_reader",
                       {{"reading", must_read ? "true" : "false"}});
    if (must_read) {
      reader_.Start();
    } else {
      reader_.Stop();
    }
  }
  Follow();
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
      borders_.clock.Now());
  Follow();
}

leaf::result<ChangeEffect> ConfigService::Review(const Configuration& before,
                                                 const Configuration& after) {
  const auto loads = loads_.Loads(before, borders_.clock.Now());
  BOOST_LEAF_CHECK(
      CheckAnnounced(before, after, loads, borders_.clock.WallNow()));
  return ComputeEffect(before, after, loads, NewestBuckets);
}

void ConfigService::Follow() {
  if (dissemination_.revision() == seen_revision_) return;
  seen_revision_ = dissemination_.revision();
  std::map<ConfigVersion, std::shared_ptr<const Configuration>> parsed;
  for (const HeldVersion& held : dissemination_.versions()) {
    if (held.body == nullptr) continue;
    if (auto configuration = Parsed(held)) {
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
    // Saves reading again what a peer has sent.
    reader_.Observe(newest);
    writer_.Observe(newest);
  }
  newest_ = newest;
  active_ = active;
  borders_.log.Write(LogLevel::kInfo, "config_changed",
                     {{"prepared", Value(newest_->version)},
                      {"active", Value(active_->version)},
                      {"preset", active_->preset},
                      {"services", active_->services.size()}});
  on_change_();
}

std::shared_ptr<const Configuration> ConfigService::Parsed(
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
        // Only a peer of another release can send such a body.
        borders_.log.Write(LogLevel::kError, "config_unreadable",
                           {{"version", Value(held.version)},
                            {"error", AnswerFor(error.kind).name},
                            {"detail", error.detail}});
        return nullptr;
      },
      []() -> std::shared_ptr<const Configuration> { return nullptr; });
}

}  // namespace sapphirestream
