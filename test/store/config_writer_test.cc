// Guards against changes that are lost, applied twice, applied in part or
// misreported when the store fails or operators submit changes concurrently.
#include "sapphirestream/store/config_writer.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "sapphirestream/contract/find.h"
#include "sapphirestream/store/config_restorer.h"
#include "test/store/session.h"

namespace sapphirestream {
namespace {

using sample::Add;
using sample::MakeChange;
using sample::Remove;
using testing::LostWrite;

const std::string kHead(kHeadName);

struct Race {
  ChangeOutcome a;
  ChangeOutcome b;
  std::shared_ptr<const Configuration> after;
};

// Submits a change to each of two instances, the second one `offset` after the
// first.
Race RunRace(const Operation& a, const Operation& b, Duration offset) {
  Session session;
  session.SetUp();
  const auto first = session.MakeWriter();
  const auto second = session.MakeWriter();
  first->Observe(session.Load());
  second->Observe(session.Load());
  Race race;
  first->Submit(MakeChange("a", {a}),
                [&](const ChangeOutcome& o) { race.a = o; });
  session.time.RunFor(offset);
  second->Submit(MakeChange("b", {b}),
                 [&](const ChangeOutcome& o) { race.b = o; });
  session.time.RunFor(std::chrono::minutes(1));
  race.after = session.Load();
  return race;
}

BOOST_AUTO_TEST_SUITE(config_writer)

BOOST_AUTO_TEST_CASE(a_change_costs_three_calls_and_a_dry_run_writes_nothing) {
  Session session;
  session.SetUp();
  const auto writer = session.MakeWriter();
  writer->Observe(session.Load());
  const auto calls = [&](const Change& change) {
    const auto before = session.store.calls().total();
    BOOST_TEST((session.Run(*writer, change).error.kind == ErrorKind::kNone));
    return session.store.calls().total() - before;
  };
  BOOST_TEST(calls(MakeChange("a", {Add(3)})) == 3U);
  Change dry = MakeChange("b", {Add(4)});
  dry.dry_run = true;
  BOOST_TEST(calls(dry) == 1U);
  BOOST_TEST(calls(MakeChange("c", {SwitchPreset{"peak"}})) == 2U);
  BOOST_TEST(Value(session.Load()->version) == 3U);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_or_slow_changes_nothing) {
  for (const bool down : {true, false}) {
    Session session;
    session.SetUp();
    const auto writer = session.MakeWriter();
    session.store.set_outage(down);
    if (!down) session.store.set_latency(std::chrono::seconds(3));
    const auto outcome = session.Run(*writer, MakeChange("a", {Add(3)}));
    BOOST_TEST((outcome.error.kind == ErrorKind::kStoreUnavailable));
    session.store.set_outage(false);
    session.store.set_latency(std::chrono::milliseconds(4));
    BOOST_TEST(Value(session.Load()->version) == 1U);
  }
}

// A write without a response may have taken effect, may take effect later or
// may be lost. In each case the change must be applied exactly once.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_resolved_by_the_change_id) {
  const std::pair<std::string, LostWrite> losses[] = {
      {kHead, LostWrite::kTakesEffect},
      {kHead, LostWrite::kTakesEffectLate},
      {kHead, LostWrite::kHasNoEffect},
      {"config/services/", LostWrite::kTakesEffect},
      {"config/services/", LostWrite::kTakesEffectLate},
      {"config/services/", LostWrite::kHasNoEffect}};
  for (const auto& [name, kind] : losses) {
    Session session;
    session.SetUp();
    const auto writer = session.MakeWriter();
    session.store.LoseNextResponse(name, kind);
    const auto outcome = session.Run(*writer, MakeChange("a", {Add(3)}));
    BOOST_TEST((outcome.error.kind == ErrorKind::kNone));
    BOOST_TEST(!outcome.already_applied);
    const auto after = session.Load();
    BOOST_TEST(Value(after->version) == 2U);
    BOOST_TEST((outcome.version == after->version));
    BOOST_TEST(after->services[0].targets.size() == 3U);
  }
}

// The change may be in effect, so kStoreUnavailable would be wrong.
BOOST_AUTO_TEST_CASE(an_answer_that_stays_lost_is_reported_as_unknown) {
  Session session;
  session.SetUp();
  const auto writer = session.MakeWriter();
  session.store.LoseNextResponse(kHead, LostWrite::kTakesEffect);
  ChangeOutcome outcome;
  writer->Submit(MakeChange("a", {Add(3)}),
                 [&](const ChangeOutcome& o) { outcome = o; });
  // The head write, the fourth call of 4 ms, has taken effect and its response
  // is in flight.
  session.time.RunFor(std::chrono::milliseconds(15));
  BOOST_TEST((session.store.objects().at(kHead).value.find("\"id\":\"a\"") !=
              std::string::npos));
  session.store.set_outage(true);
  session.time.RunFor(std::chrono::minutes(1));
  BOOST_TEST((outcome.error.kind == ErrorKind::kOutcomeUnknown));
}

// Offsets that cover every interleaving of the three calls of 4 ms each. The
// half millisecond prevents two writes from taking effect at the same time.
std::vector<Duration> Offsets() {
  std::vector<Duration> out;
  for (int ms = 0; ms <= 12; ++ms) {
    out.push_back(std::chrono::microseconds(1000 * ms + 500));
  }
  return out;
}

BOOST_AUTO_TEST_CASE(racing_changes_of_different_objects_are_both_accepted) {
  const std::pair<Operation, Operation> pairs[] = {
      {SwitchPreset{"peak"}, Add(3)},
      {Add(3), SwitchPreset{"peak"}},
      {Add(3), Remove(2)},
      {Remove(2), Add(3)},
      {Remove(1), Remove(2)}};
  for (const auto& [a, b] : pairs) {
    for (const Duration offset : Offsets()) {
      const Race race = RunRace(a, b, offset);
      BOOST_TEST((race.a.error.kind == ErrorKind::kNone));
      BOOST_TEST((race.b.error.kind == ErrorKind::kNone));
      BOOST_TEST(Value(race.after->version) == 3U);
      BOOST_TEST((FindChange(*race.after, "a") != nullptr &&
                  FindChange(*race.after, "b") != nullptr));
    }
  }
}

// The rejected change reports the version of the accepted one. A change that
// first reads the head after the other one was accepted is not concurrent and
// is evaluated on its own.
BOOST_AUTO_TEST_CASE(racing_changes_of_one_object_accept_one) {
  const DrainTarget drain{"orders", sample::Tunnel(2)};
  struct Case {
    Operation a;
    Operation b;
    // When the head write of `a` takes effect: later if it writes a shard
    // first.
    std::chrono::milliseconds effect;
  };
  using std::chrono::milliseconds;
  const Case cases[] = {
      {Remove(2), Remove(2), milliseconds(10)},
      {drain, Remove(2), milliseconds(10)},
      {Remove(2), drain, milliseconds(10)},
      {SwitchPreset{"peak"}, SwitchPreset{"ordinary"}, milliseconds(6)},
      {SwitchPreset{"peak"}, SwitchPreset{"peak"}, milliseconds(6)},
      {SwitchPreset{"peak"}, DeletePreset{"peak"}, milliseconds(6)}};
  for (const Case& c : cases) {
    for (const Duration offset : Offsets()) {
      const Race race = RunRace(c.a, c.b, offset);
      const bool serial = offset + milliseconds(2) > c.effect;
      const bool a_won = race.a.error.kind == ErrorKind::kNone;
      const ChangeOutcome& winner = a_won ? race.a : race.b;
      const ChangeOutcome& loser = a_won ? race.b : race.a;
      BOOST_TEST((winner.error.kind == ErrorKind::kNone));
      BOOST_TEST(serial == (loser.error.kind != ErrorKind::kContradicted));
      if (!serial) {
        BOOST_TEST((loser.version == winner.version));
        BOOST_TEST(Value(race.after->version) == 2U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_repeated_change_id_answers_with_the_first_version) {
  Session session;
  session.SetUp();
  const auto first = session.MakeWriter();
  const auto second = session.MakeWriter();
  session.Run(*first, MakeChange("a", {Add(3)}));
  session.Run(*first, MakeChange("b", {Add(4)}));
  const auto again = session.Run(*second, MakeChange("a", {Add(3)}));
  BOOST_TEST((again.error.kind == ErrorKind::kNone));
  BOOST_TEST(again.already_applied);
  BOOST_TEST(Value(again.version) == 2U);
  // A different change under a used id must not be reported as applied.
  const auto other = session.Run(
      *second, MakeChange("a", {DrainTarget{"orders", sample::Tunnel(3)}}));
  BOOST_TEST((other.error.kind == ErrorKind::kAlreadyExists));
  BOOST_TEST(Value(session.Load()->version) == 3U);
}

// A writer that trusted an older head would revert accepted changes.
BOOST_AUTO_TEST_CASE(nothing_is_written_on_top_of_a_reverted_head) {
  Session session;
  session.SetUp();
  const std::string old = session.store.objects().at(kHead).value;
  const auto writer = session.MakeWriter();
  session.Run(*writer, MakeChange("a", {Add(3)}));
  session.store.Overwrite(kHead, old);
  const auto outcome = session.Run(*writer, MakeChange("b", {Add(4)}));
  BOOST_TEST((outcome.error.kind == ErrorKind::kStoreUnavailable));
  BOOST_TEST(session.store.objects().at(kHead).value == old);
}

// A restored store gives out the version that the write is conditional on a
// second time, for the change of another operator.
BOOST_AUTO_TEST_CASE(a_write_based_on_a_lost_version_changes_nothing) {
  Session session;
  session.SetUp();
  const auto copy = session.store.Copy();
  const auto other = session.MakeWriter();
  session.Run(*other, MakeChange("a", {Add(3)}));
  const ObjectVersion lost = session.store.objects().at(kHead).version;
  session.store.Restore(copy);
  const std::string head = session.store.objects().at(kHead).value;
  ObjectVersion again;
  while (again.number < lost.number) {
    session.store.Overwrite(kHead, head);
    again = session.store.objects().at(kHead).version;
  }
  BOOST_REQUIRE(again.number == lost.number);
  ErrorKind error = ErrorKind::kNone;
  session.store.Put(
      kHead, lost, "overwritten", std::chrono::seconds(1),
      [&](const StoreResult<ObjectVersion>& result) { error = result.error; });
  session.time.RunFor(std::chrono::seconds(2));
  BOOST_TEST((error == ErrorKind::kVersionConflict));
  BOOST_TEST(session.store.objects().at(kHead).value == head);
}

// An instance that did not know the lost change accepted another one under the
// same version.
BOOST_AUTO_TEST_CASE(
    a_restored_head_is_not_changed_before_lost_changes_return) {
  Session session;
  session.SetUp();
  const auto copy = session.store.Copy();
  const auto first = session.MakeWriter();
  const auto accepted =
      session.Run(*first, MakeChange("a", {Add(3)})).configuration;
  session.store.Restore(copy);
  ConfigRestorer restorer(session.store, session.time, session.random,
                          session.counters, {});
  const auto unaware = session.MakeWriter();
  ChangeOutcome outcome;
  unaware->Submit(MakeChange("b", {Add(4)}),
                  [&](const ChangeOutcome& o) { outcome = o; });
  session.time.RunFor(std::chrono::seconds(2));
  restorer.Restore(accepted);
  session.time.RunFor(std::chrono::seconds(10));
  BOOST_TEST((outcome.error.kind == ErrorKind::kNone));
  BOOST_TEST(Value(outcome.version) == 3U);
  BOOST_TEST(session.Load()->services[0].targets.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_change_is_based_on_the_history_that_the_store_has) {
  Session session;
  session.SetUp();
  const auto copy = session.store.Copy();
  const auto writer = session.MakeWriter();
  session.Run(*writer, MakeChange("a", {Add(3)}));
  session.store.Restore(copy);
  Preset night;
  night.name = "night";
  session.Run(*session.MakeWriter(), MakeChange("b", {PutPreset{night}}));
  const auto outcome = session.Run(*writer, MakeChange("c", {Add(5)}));
  BOOST_TEST((outcome.error.kind == ErrorKind::kNone));
  BOOST_TEST((*outcome.configuration == *session.Load()));
  BOOST_TEST(session.Load()->services[0].targets.size() == 3U);
}

// Nothing was lost, or no instance knows what was.
BOOST_AUTO_TEST_CASE(a_restored_head_is_changed_if_nothing_is_written_back) {
  Session session;
  session.SetUp();
  session.store.Restore(session.store.Copy());
  const auto writer = session.MakeWriter();
  const auto outcome = session.Run(*writer, MakeChange("a", {Add(3)}));
  BOOST_TEST((outcome.error.kind == ErrorKind::kNone));
  BOOST_TEST(Value(outcome.version) == 2U);
}

BOOST_AUTO_TEST_CASE(a_refused_review_reaches_the_operator_with_its_figures) {
  Session session;
  session.SetUp();
  const auto writer = session.MakeWriter(
      [](const Configuration&,
         const Configuration&) -> leaf::result<ChangeEffect> {
        return MakeError(ErrorKind::kNotAnnounced, "slots 4 -> 2");
      });
  const auto outcome = session.Run(*writer, MakeChange("a", {Remove(2)}));
  BOOST_TEST((outcome.error.kind == ErrorKind::kNotAnnounced));
  BOOST_TEST(outcome.error.detail == "slots 4 -> 2");
  BOOST_TEST(Value(session.Load()->version) == 1U);
}

// The retry limits must still let every one of many concurrent writers succeed.
BOOST_AUTO_TEST_CASE(eight_racing_writers_are_all_accepted) {
  Session session;
  session.SetUp();
  session.store.set_random(&session.random);
  std::vector<std::unique_ptr<ConfigWriter>> writers;
  std::set<std::uint64_t> versions;
  for (std::uint8_t i = 0; i < 8; ++i) {
    writers.push_back(session.MakeWriter());
    writers.back()->Submit(MakeChange("id" + std::to_string(i),
                                      {Add(static_cast<std::uint8_t>(10 + i))}),
                           [&](const ChangeOutcome& o) {
                             if (o.error.kind == ErrorKind::kNone) {
                               versions.insert(Value(o.version));
                             }
                           });
  }
  session.time.RunFor(std::chrono::minutes(1));
  BOOST_TEST(versions.size() == 8U);
  BOOST_TEST(session.Load()->services[0].targets.size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
