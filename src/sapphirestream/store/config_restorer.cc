// Each attempt reads the head, writes all shards under their names, which
// contain their content's hash, and then replaces the head it has read.
#include "sapphirestream/store/config_restorer.h"

#include <string>
#include <utility>

#include "sapphirestream/contract/change.h"
#include "sapphirestream/store/shard_plan.h"

namespace sapphirestream {

ConfigRestorer::ConfigRestorer(ObjectStore& store, Timer& timer, Random& random,
                               CounterSet& counters,
                               const ConfigRestorerOptions& options)
    : store_(store),
      timer_(timer),
      random_(random),
      options_(options),
      backoff_(options.backoff),
      restored_(counters.Emplace("configs_restored_total")) {}

ConfigRestorer::~ConfigRestorer() { timer_.Cancel(timer_id_); }

void ConfigRestorer::Restore(
    std::shared_ptr<const Configuration> configuration) {
  if (configuration_ && configuration->version <= configuration_->version) {
    return;
  }
  configuration_ = std::move(configuration);
  backoff_.Reset();
  ScheduleAttempt();
}

void ConfigRestorer::ScheduleAttempt() {
  epoch_.Begin();
  timer_.Cancel(timer_id_);
  timer_id_ = timer_.After(backoff_.Next(random_),
                           epoch_.Bind([](ConfigRestorer& r) { r.Load(); }));
}

void ConfigRestorer::Load() {
  LoadConfig(store_, configuration_, options_.call_deadline,
             epoch_.Bind([](ConfigRestorer& r, const LoadResult& result) {
               r.OnLoaded(result);
             }));
}

void ConfigRestorer::OnLoaded(const LoadResult& result) {
  if (result.error.kind != ErrorKind::kNone) return ScheduleAttempt();
  const ConfigVersion stored =
      result.value.head ? result.value.head->head.version : ConfigVersion{};
  if (stored >= configuration_->version) {
    configuration_.reset();
    return;
  }
  WriteShards(result.value);
}

void ConfigRestorer::WriteShards(const LoadedConfig& stored) {
  ShardPlan plan = PlanShards(nullptr, InitialConfiguration(), *configuration_);
  plan.head.era = stored.era;
  head_value_ = SerializeHead(plan.head);
  head_version_ = stored.head_version;
  pending_writes_ = plan.writes.size();
  shard_error_ = ErrorKind::kNone;
  if (pending_writes_ == 0) return WriteHead();
  for (ShardWrite& write : plan.writes) {
    store_.Put(write.name, kMustNotExist, std::move(write.value),
               options_.call_deadline,
               epoch_.Bind([](ConfigRestorer& r,
                              const StoreResult<ObjectVersion>& result) {
                 r.OnShardWritten(result.error);
               }));
  }
}

void ConfigRestorer::OnShardWritten(ErrorKind error) {
  // An existing shard of this name has the same content.
  if (error != ErrorKind::kNone && error != ErrorKind::kVersionConflict) {
    shard_error_ = error;
  }
  if (--pending_writes_ != 0) return;
  if (shard_error_ != ErrorKind::kNone) return ScheduleAttempt();
  WriteHead();
}

void ConfigRestorer::WriteHead() {
  store_.Put(std::string(kHeadName), head_version_, head_value_,
             options_.call_deadline,
             epoch_.Bind([](ConfigRestorer& r,
                            const StoreResult<ObjectVersion>& result) {
               if (result.error != ErrorKind::kNone) {
                 // After a conflict or an unknown outcome the head tells.
                 return r.ScheduleAttempt();
               }
               r.restored_.Add();
               r.configuration_.reset();
             }));
}

}  // namespace sapphirestream
