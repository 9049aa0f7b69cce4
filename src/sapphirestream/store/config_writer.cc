// Each change is a submission that loads the configuration, applies the change,
// writes the shards and then the head. It starts over after a version conflict
// or a failed store call.
#include "sapphirestream/store/config_writer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/touched.h"
#include "sapphirestream/store/shard_plan.h"

namespace sapphirestream {

class ConfigWriter::Submission
    : public std::enable_shared_from_this<Submission> {
 public:
  Submission(ConfigWriter& writer, Change change, Done done)
      : writer_(&writer),
        change_(std::move(change)),
        done_(std::move(done)),
        backoff_(writer.options_.backoff) {}

  void Start() {
    accepted_at_ = writer_->clock_.WallNow();
    deadline_ = writer_->clock_.Now() + writer_->options_.change_deadline;
    Load();
  }

  // Makes late store callbacks no-ops.
  void Abandon() noexcept { writer_ = nullptr; }

 private:
  // Wraps a step so that it runs only while the submission is active and the
  // writer exists.
  template <typename Step>
  auto WhileActive(Step step) {
    return [self = shared_from_this(), step = std::move(step)](auto&&... args) {
      if (self->writer_ == nullptr) return;
      step(*self, std::forward<decltype(args)>(args)...);
    };
  }

  void Load() {
    LoadConfig(writer_->store_, writer_->known_,
               writer_->options_.call_deadline,
               WhileActive([](Submission& s, LoadResult result) {
                 s.OnLoaded(std::move(result));
               }));
  }

  void OnLoaded(LoadResult result) {
    if (result.error.kind != ErrorKind::kNone) {
      RetryAfterFailure(result.error.detail);
      return;
    }
    loaded_ = std::move(result.value);
    const Configuration& before = *loaded_.configuration;
    const ConfigVersion stored_version =
        loaded_.head ? loaded_.head->head.version : ConfigVersion{};
    if (stored_version < before.version) {
      // Writing on top of an older head would revert accepted changes.
      RetryAfterFailure("stored head is older than known version " +
                        std::to_string(Value(before.version)));
      return;
    }
    if (writer_->MayLackChanges(loaded_)) return ScheduleRetry();
    writer_->Observe(loaded_.configuration);
    if (ResolveByChangeId(before)) return;
    if (!base_) base_ = before.version;
    if (!CheckForConflict(before)) return;
    ApplyTo(before);
  }

  // Finishes the submission if the change history of the head contains its id.
  // Returns whether it did.
  bool ResolveByChangeId(const Configuration& head) {
    const ChangeRecord* record = FindChange(head, change_.id);
    if (record == nullptr) {
      // A head write with an unknown outcome can still take effect only while
      // the head has the version that the write was conditional on.
      if (unresolved_head_version_ &&
          *unresolved_head_version_ != loaded_.head_version) {
        unresolved_head_version_.reset();
      }
      return false;
    }
    if (record->author != change_.author ||
        record->summary != Summarize(change_) ||
        record->touched != TouchedPaths(change_)) {
      unresolved_head_version_.reset();
      Fail({ErrorKind::kAlreadyExists, "id: " + change_.id +
                                           " was already used for \"" +
                                           record->summary + "\""},
           record->version);
      return true;
    }
    ChangeOutcome outcome;
    outcome.version = record->version;
    outcome.already_applied = !head_may_be_written_;
    if (head_may_be_written_) outcome.effect = effect_;
    // The head may be newer than the change, but contains it.
    outcome.configuration = loaded_.configuration;
    Finish(outcome);
    return true;
  }

  // Returns whether the change may be applied to the head; fails the submission
  // otherwise.
  bool CheckForConflict(const Configuration& head) {
    const ConflictResult conflict = CheckConflict(change_, *base_, head);
    if (conflict.status == ConflictStatus::kNoConflict) return true;
    if (conflict.status == ConflictStatus::kHistoryTrimmed) {
      // The record of this change may be among those trimmed from the history.
      const auto kind = head_may_be_written_ ? ErrorKind::kOutcomeUnknown
                                             : ErrorKind::kVersionConflict;
      Fail({kind,
            "change history no longer covers the version that the change was "
            "made against"},
           conflict.conflicting_version);
      return false;
    }
    Fail({ErrorKind::kContradicted,
          "version " + std::to_string(Value(conflict.conflicting_version)) +
              " changed the same objects"},
         conflict.conflicting_version);
    return false;
  }

  void ApplyTo(const Configuration& before) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(after, Apply(before, change_, accepted_at_));
          if (writer_->review_) {
            BOOST_LEAF_ASSIGN(effect_, writer_->review_(before, after));
          }
          after_ = std::make_shared<const Configuration>(std::move(after));
          OnApplied();
          return {};
        },
        [&](const Error& error) { Fail(error, ConfigVersion{}); },
        [&] {
          Fail({ErrorKind::kInternal, "error without detail"}, ConfigVersion{});
        });
  }

  void OnApplied() {
    if (change_.dry_run) {
      ChangeOutcome outcome;
      outcome.version = after_->version;
      outcome.effect = effect_;
      Finish(outcome);
      return;
    }
    ShardPlan plan =
        PlanShards(loaded_.head.get(), *loaded_.configuration, *after_);
    plan.head.era = loaded_.era;
    head_value_ = SerializeHead(plan.head);
    pending_writes_ = plan.writes.size();
    shard_error_ = ErrorKind::kNone;
    if (pending_writes_ == 0) {
      WriteHead();
      return;
    }
    for (ShardWrite& write : plan.writes) {
      writer_->store_.Put(
          write.name, kMustNotExist, std::move(write.value),
          writer_->options_.call_deadline,
          WhileActive(
              [](Submission& s, const StoreResult<ObjectVersion>& result) {
                s.OnShardWritten(result.error);
              }));
    }
  }

  void OnShardWritten(ErrorKind error) {
    // The name contains a hash of the content, so an existing object of this
    // name was written by an earlier attempt at the same change.
    if (error != ErrorKind::kNone && error != ErrorKind::kVersionConflict) {
      shard_error_ = error;
    }
    if (--pending_writes_ != 0) return;
    if (shard_error_ == ErrorKind::kNone) {
      WriteHead();
    } else {
      RetryAfterFailure("shard write: " +
                        std::string(AnswerFor(shard_error_).name));
    }
  }

  void WriteHead() {
    writer_->store_.Put(
        std::string(kHeadName), loaded_.head_version, std::move(head_value_),
        writer_->options_.call_deadline,
        WhileActive(
            [](Submission& s, const StoreResult<ObjectVersion>& result) {
              s.OnHeadWritten(result.error);
            }));
  }

  void OnHeadWritten(ErrorKind error) {
    if (error == ErrorKind::kNone) {
      writer_->Observe(after_);
      ChangeOutcome outcome;
      outcome.version = after_->version;
      outcome.effect = effect_;
      outcome.configuration = after_;
      Finish(outcome);
    } else if (error == ErrorKind::kVersionConflict) {
      RetryAfterConflict();
    } else if (error == ErrorKind::kStoreUnavailable) {
      RetryAfterFailure("head write: store_unavailable");
    } else if (error != ErrorKind::kOutcomeUnknown &&
               error != ErrorKind::kTimedOut) {
      Fail({error, "head write"}, ConfigVersion{});
    } else {
      head_may_be_written_ = true;
      unresolved_head_version_ = loaded_.head_version;
      RetryAfterFailure("head write: " + std::string(AnswerFor(error).name));
    }
  }

  void RetryAfterConflict() {
    if (++conflicts_ > writer_->options_.max_conflicts || IsPastDeadline()) {
      Fail({ErrorKind::kVersionConflict, "gave up after " +
                                             std::to_string(conflicts_) +
                                             " version conflicts"},
           ConfigVersion{});
      return;
    }
    ScheduleRetry();
  }

  void RetryAfterFailure(const std::string& detail) {
    if (++failures_ > writer_->options_.max_failures || IsPastDeadline()) {
      Fail({ErrorKind::kStoreUnavailable, detail}, ConfigVersion{});
      return;
    }
    ScheduleRetry();
  }

  [[nodiscard]] bool IsPastDeadline() const {
    return writer_->clock_.Now() >= deadline_;
  }

  void ScheduleRetry() {
    writer_->timer_.After(backoff_.Next(writer_->random_),
                          WhileActive([](Submission& s) { s.Load(); }));
  }

  // A rejection must not be reported while a head write may still take effect.
  void Fail(Error error, ConfigVersion version) {
    ChangeOutcome outcome;
    outcome.error = std::move(error);
    outcome.version = version;
    if (unresolved_head_version_) {
      outcome.error = {
          ErrorKind::kOutcomeUnknown,
          "no response to the head write; " + outcome.error.detail};
      outcome.version = ConfigVersion{};
    }
    Finish(outcome);
  }

  void Finish(const ChangeOutcome& outcome) {
    const auto self = shared_from_this();
    ConfigWriter& writer = *std::exchange(writer_, nullptr);
    writer.current_.reset();
    writer.StartNext();
    done_(outcome);
  }

  // Null once the submission has ended.
  ConfigWriter* writer_;
  Change change_;
  Done done_;
  Backoff backoff_;
  TimePoint deadline_;
  // The same for all attempts, so that a repeated attempt writes shards with
  // the same content and hence the same names.
  WallTime accepted_at_;
  int conflicts_ = 0;
  int failures_ = 0;

  // Version that the change was made against: the first one loaded.
  std::optional<ConfigVersion> base_;
  LoadedConfig loaded_;
  std::shared_ptr<const Configuration> after_;
  ChangeEffect effect_;
  std::string head_value_;
  std::size_t pending_writes_ = 0;
  ErrorKind shard_error_ = ErrorKind::kNone;
  // Whether a head write of this submission may have taken effect.
  bool head_may_be_written_ = false;
  // Set while a head write with an unknown outcome may still take effect: the
  // object version that the write was conditional on.
  std::optional<ObjectVersion> unresolved_head_version_;
};

ConfigWriter::ConfigWriter(ObjectStore& store, Timer& timer, const Clock& clock,
                           Random& random, const ConfigWriterOptions& options,
                           Review review)
    : store_(store),
      timer_(timer),
      clock_(clock),
      random_(random),
      options_(options),
      review_(std::move(review)) {}

ConfigWriter::~ConfigWriter() {
  if (current_) current_->Abandon();
}

void ConfigWriter::Submit(Change change, Done done) {
  if (queue_.size() >= options_.max_queued) {
    ChangeOutcome outcome;
    outcome.error = {ErrorKind::kStoreUnavailable,
                     std::to_string(queue_.size()) + " changes are queued"};
    done(outcome);
    return;
  }
  queue_.push_back(
      std::make_shared<Submission>(*this, std::move(change), std::move(done)));
  StartNext();
}

void ConfigWriter::Observe(std::shared_ptr<const Configuration> configuration) {
  if (!known_ || known_->version < configuration->version) {
    known_ = std::move(configuration);
  }
}

bool ConfigWriter::MayLackChanges(const LoadedConfig& loaded) {
  if (!loaded.head || loaded.head->era == kUnknownEra ||
      loaded.era <= loaded.head->era) {
    return false;
  }
  if (restored_era_ != loaded.era) {
    restored_era_ = loaded.era;
    restored_since_ = clock_.Now();
  }
  return clock_.Now() - restored_since_ < options_.restoration_time;
}

void ConfigWriter::StartNext() {
  if (current_ || queue_.empty()) return;
  current_ = std::move(queue_.front());
  queue_.pop_front();
  current_->Start();
}

}  // namespace sapphirestream
