// Each change is a submission that runs load, apply, write shards, write head,
// and starts over when it lost a race or an answer.
#include "sapphirestream/store/config_writer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/contract/find.h"
#include "sapphirestream/contract/touched.h"
#include "sapphirestream/store/config_loader.h"
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
    accepted_ = writer_->clock_.WallNow();
    give_up_ = writer_->clock_.Now() + writer_->options_.change_deadline;
    Load();
  }

  // Makes late answers of the store harmless.
  void Abandon() noexcept { writer_ = nullptr; }

 private:
  // Wraps a step so that it runs only while the writer exists.
  template <typename Step>
  auto Guarded(Step step) {
    return [self = shared_from_this(), step = std::move(step)](auto&&... args) {
      if (self->writer_ == nullptr) return;
      step(*self, std::forward<decltype(args)>(args)...);
    };
  }

  void Load() {
    LoadConfig(writer_->store_, writer_->known_,
               writer_->options_.call_deadline,
               Guarded([](Submission& s, LoadAnswer answer) {
                 s.OnLoaded(std::move(answer));
               }));
  }

  void OnLoaded(LoadAnswer answer) {
    if (answer.error.kind != ErrorKind::kNone) {
      RetryAfterFailure(answer.error.detail);
      return;
    }
    loaded_ = std::move(answer.value);
    const Configuration& before = *loaded_.configuration;
    const ConfigVersion in_store =
        loaded_.head ? loaded_.head->head.version : ConfigVersion{};
    if (in_store < before.version) {
      // Writing on top of an older head would undo accepted changes.
      RetryAfterFailure("head is older than version " +
                        std::to_string(Value(before.version)));
      return;
    }
    writer_->Observe(loaded_.configuration);
    if (ResolveById(before)) return;
    if (!base_) base_ = before.version;
    if (!JudgeAgainst(before)) return;
    ApplyTo(before);
  }

  // Finishes if the head remembers the change id.
  bool ResolveById(const Configuration& head) {
    const ChangeRecord* record = FindChange(head, change_.id);
    if (record == nullptr) {
      // A lost write can take effect only while the head is the one that it
      // was conditional on.
      if (unresolved_ && *unresolved_ != loaded_.head_version) {
        unresolved_.reset();
      }
      return false;
    }
    if (record->author != change_.author ||
        record->summary != Summarize(change_) ||
        record->touched != TouchedBy(change_)) {
      unresolved_.reset();
      Fail({ErrorKind::kAlreadyExists,
            "id: " + change_.id + " was used for \"" + record->summary + "\""},
           record->version);
      return true;
    }
    ChangeOutcome outcome;
    outcome.version = record->version;
    outcome.already_applied = !wrote_head_;
    if (wrote_head_) outcome.effect = effect_;
    // The head may be newer than the change, but contains it.
    outcome.configuration = loaded_.configuration;
    Finish(outcome);
    return true;
  }

  // Returns whether the change may be applied to the head.
  bool JudgeAgainst(const Configuration& head) {
    const RaceOutcome race = JudgeRace(change_, *base_, head);
    if (race.verdict == RaceVerdict::kCompatible) return true;
    if (race.verdict == RaceVerdict::kForgotten) {
      // The own record may be among the forgotten ones.
      const auto kind = wrote_head_ ? ErrorKind::kOutcomeUnknown
                                    : ErrorKind::kVersionConflict;
      Fail({kind, "more changes raced than the head remembers"}, race.winner);
      return false;
    }
    Fail({ErrorKind::kContradicted, "version " +
                                        std::to_string(Value(race.winner)) +
                                        " changed the same objects"},
         race.winner);
    return false;
  }

  void ApplyTo(const Configuration& before) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(after, Apply(before, change_, accepted_));
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
    head_value_ = SerializeHead(plan.head);
    open_writes_ = plan.writes.size();
    shard_error_ = ErrorKind::kNone;
    if (open_writes_ == 0) {
      WriteHead();
      return;
    }
    for (ShardWrite& write : plan.writes) {
      writer_->store_.Put(
          write.name, kMustNotExist, std::move(write.value),
          writer_->options_.call_deadline,
          Guarded([](Submission& s, const StoreAnswer<ObjectVersion>& answer) {
            s.OnShardWritten(answer.error);
          }));
    }
  }

  void OnShardWritten(ErrorKind error) {
    // The name contains a hash of the content, so an object of this name has
    // been written by an earlier try of the same change.
    if (error != ErrorKind::kNone && error != ErrorKind::kVersionConflict) {
      shard_error_ = error;
    }
    if (--open_writes_ != 0) return;
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
        Guarded([](Submission& s, const StoreAnswer<ObjectVersion>& answer) {
          s.OnHeadWritten(answer.error);
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
      wrote_head_ = true;
      unresolved_ = loaded_.head_version;
      RetryAfterFailure("head write: " + std::string(AnswerFor(error).name));
    }
  }

  void RetryAfterConflict() {
    if (++conflicts_ > writer_->options_.max_conflicts || IsLate()) {
      Fail({ErrorKind::kVersionConflict,
            "lost " + std::to_string(conflicts_) + " races"},
           ConfigVersion{});
      return;
    }
    RetryLater();
  }

  void RetryAfterFailure(const std::string& detail) {
    if (++failures_ > writer_->options_.max_failures || IsLate()) {
      Fail({ErrorKind::kStoreUnavailable, detail}, ConfigVersion{});
      return;
    }
    RetryLater();
  }

  [[nodiscard]] bool IsLate() const {
    return writer_->clock_.Now() >= give_up_;
  }

  void RetryLater() {
    writer_->timer_.After(backoff_.Next(writer_->random_),
                          Guarded([](Submission& s) { s.Load(); }));
  }

  // A refusal must not be reported while a lost write may still take effect.
  void Fail(Error error, ConfigVersion version) {
    ChangeOutcome outcome;
    outcome.error = std::move(error);
    outcome.version = version;
    if (unresolved_) {
      outcome.error = {
          ErrorKind::kOutcomeUnknown,
          "the answer to the head write was lost; " + outcome.error.detail};
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
  TimePoint give_up_;
  // Fixed for all tries, so that a repeated try writes shards of the same
  // content and hence the same names.
  WallTime accepted_;
  int conflicts_ = 0;
  int failures_ = 0;

  // The version that the change was made against: the first one loaded.
  std::optional<ConfigVersion> base_;
  LoadedConfig loaded_;
  std::shared_ptr<const Configuration> after_;
  ChangeEffect effect_;
  std::string head_value_;
  std::size_t open_writes_ = 0;
  ErrorKind shard_error_ = ErrorKind::kNone;
  // Whether a head write of this submission may have taken effect.
  bool wrote_head_ = false;
  // Object version that a head write with a lost answer was conditional on,
  // while that write may still take effect.
  std::optional<ObjectVersion> unresolved_;
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
  if (waiting_.size() >= options_.max_waiting) {
    ChangeOutcome outcome;
    outcome.error = {ErrorKind::kStoreUnavailable,
                     std::to_string(waiting_.size()) + " changes are waiting"};
    done(outcome);
    return;
  }
  waiting_.push_back(
      std::make_shared<Submission>(*this, std::move(change), std::move(done)));
  StartNext();
}

void ConfigWriter::Observe(std::shared_ptr<const Configuration> configuration) {
  if (!known_ || known_->version < configuration->version) {
    known_ = std::move(configuration);
  }
}

void ConfigWriter::StartNext() {
  if (current_ || waiting_.empty()) return;
  current_ = std::move(waiting_.front());
  waiting_.pop_front();
  current_->Start();
}

}  // namespace sapphirestream
