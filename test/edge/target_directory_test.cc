// Guards against flows sent to removed targets, against live targets dropped
// because of a store outage, and against tokens that lead to another service.
#include "sapphirestream/edge/target_directory.h"

#include <boost/test/unit_test.hpp>

#include "test/edge/sample.h"

namespace sapphirestream {
namespace {

using namespace std::chrono_literals;

StoreRevision At(std::uint64_t number) { return {StoreEra{1}, number}; }

StoreRevision AfterRestoration(std::uint64_t number) {
  return {StoreEra{2}, number};
}

TargetRecord Draining(std::uint64_t key) {
  TargetRecord record = sample::Target(key, "a");
  record.draining = true;
  return record;
}

// A later target at the address of another one.
TargetRecord WithAddressOf(std::uint64_t holder, std::uint64_t key) {
  TargetRecord record = sample::Target(key, "a", "intake");
  record.address = sample::Target(holder, "a").address;
  record.incarnation = Incarnation{6000};
  return record;
}

struct Fixture {
  EdgeTarget& Add(const TargetRecord& record, std::uint64_t revision = 1) {
    targets.Upsert(record, At(revision), /*propagated=*/true, now);
    return *targets.Find(record.key);
  }
  TargetPresence PresenceOf(std::uint64_t key) {
    return targets.Find(TargetKey{key})->presence;
  }

  TimePoint now{1000s};
  RouteTable routes = [] {
    RouteTable table;
    table.Apply(sample::Routes(1));
    return table;
  }();
  TargetDirectory targets{routes, "a"};
  const Route& feed = *routes.Find(sample::kFeed);
  const Route& photos = *routes.Find(sample::kPhotos);
};

BOOST_FIXTURE_TEST_SUITE(target_directory, Fixture)

BOOST_AUTO_TEST_CASE(a_token_leads_only_to_allowed_services) {
  Add(sample::Target(1, "a"));
  Add(sample::Target(2, "a", "intake"));
  const FlowToken desk = targets.TokenOf(TargetKey{1});
  const FlowToken intake = targets.TokenOf(TargetKey{2});
  BOOST_TEST(targets.FindByToken(desk, feed) == targets.Find(TargetKey{1}));
  BOOST_TEST(targets.FindByToken(intake, feed) == nullptr);
  BOOST_TEST(targets.FindByToken(desk, photos) == nullptr);
  BOOST_TEST(targets.FindByToken(FlowToken{77}, feed) == nullptr);
}

BOOST_AUTO_TEST_CASE(an_older_entry_never_replaces_a_newer_one) {
  TargetRecord draining = sample::Target(1, "a");
  draining.draining = true;
  Add(draining, 9);
  BOOST_TEST((targets.Upsert(sample::Target(1, "a"), At(8), true, now) ==
              EntryOutcome::kOutdated));
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
  BOOST_TEST((targets.Erase(TargetKey{1}, At(8), std::nullopt, now) ==
              EntryOutcome::kOutdated));
}

// Targets write expired entries again about 2 s after the store has recovered.
BOOST_AUTO_TEST_CASE(a_target_that_expired_in_a_store_outage_may_return) {
  Add(sample::Target(1, "a"));
  targets.Erase(TargetKey{1}, At(2), /*store_returned_at=*/now, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  targets.Expire(now + 2s, now + 2s);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  const TimePoint end = now + TargetDirectory::kReregistrationGrace;
  targets.Expire(end, end);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// A target that was missing when the store was restored from a copy without its
// entry was given up at once, and its flows were reset.
BOOST_AUTO_TEST_CASE(a_missing_target_may_register_after_a_restoration) {
  Add(sample::Target(1, "a"));
  targets.Erase(TargetKey{1}, At(2), /*store_returned_at=*/now, now);
  const TimePoint restored = now + 5s;
  targets.Erase(TargetKey{1}, AfterRestoration(2), restored, restored);
  targets.Expire(restored, restored);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  const TimePoint end = restored + TargetDirectory::kReregistrationGrace;
  targets.Expire(end, end);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// An instance that was cut off from the store after an outage refused all flows
// although its targets had registered again.
BOOST_AUTO_TEST_CASE(a_missing_target_is_kept_until_the_store_is_read_again) {
  Add(sample::Target(1, "a"));
  targets.Erase(TargetKey{1}, At(2), /*store_returned_at=*/now, now);
  targets.Expire(now + 30s, now + 1s);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kMissing));
  targets.Expire(now + 90s, now + 90s);
  // Its flows are still forwarded.
  BOOST_REQUIRE(targets.size() == 1U);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_CASE(a_target_removed_from_an_available_store_is_gone) {
  Add(sample::Target(1, "a"));
  targets.Erase(TargetKey{1}, At(2), /*store_returned_at=*/std::nullopt, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  // Its flows are still forwarded.
  BOOST_TEST(targets.FindByToken(targets.TokenOf(TargetKey{1}), feed) !=
             nullptr);
  targets.Expire(now + TargetDirectory::kGoneRetention, now);
  BOOST_TEST(targets.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_removed_draining_target_does_not_return) {
  TargetRecord record = sample::Target(1, "a");
  record.draining = true;
  Add(record);
  targets.Erase(TargetKey{1}, At(2), /*store_returned_at=*/now, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// The previous owner of a reused address has stopped, even if it is still
// listed.
BOOST_AUTO_TEST_CASE(a_new_owner_of_an_address_retires_the_previous_one) {
  Add(sample::Target(1, "a"));
  TargetRecord next = sample::Target(2, "a", "intake");
  next.address = sample::Target(1, "a").address;
  Add(next, 2);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((PresenceOf(2) == TargetPresence::kListed));
}

// Health information does not outlive the target's process.
BOOST_AUTO_TEST_CASE(a_restart_under_the_same_key_resets_the_health) {
  EdgeTarget& target = Add(sample::Target(1, "a"));
  (void)target.health.OnUnanswered(now, true, now + 1s);
  target.health.OnProbe(ProbeOutcome::kRefused, now, now + 1s);
  TargetRecord again = sample::Target(1, "a");
  again.incarnation = Incarnation{5000};
  BOOST_TEST((targets.Upsert(again, At(2), /*propagated=*/false, now) ==
              EntryOutcome::kApplied));
  BOOST_TEST((target.health.state() == Reachability::kReachable));
  BOOST_TEST((target.usable_from == now + TargetDirectory::kPropagationDelay));
}

// A restored store assigns revisions again. Targets that drained got new flows
// until the revisions had passed the lost ones.
BOOST_AUTO_TEST_CASE(a_drain_after_a_restoration_is_not_ignored) {
  Add(sample::Target(1, "a"), 90);
  targets.Upsert(Draining(1), AfterRestoration(65), false, now);
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
}

BOOST_AUTO_TEST_CASE(a_removal_after_a_restoration_is_not_ignored) {
  Add(sample::Target(1, "a"), 90);
  targets.Erase(TargetKey{1}, AfterRestoration(56), std::nullopt, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_CASE(a_late_entry_from_before_a_restoration_is_ignored) {
  Add(sample::Target(1, "a"), 20);
  targets.Upsert(Draining(1), AfterRestoration(21), false, now);
  targets.Upsert(sample::Target(1, "a"), At(40), false, now);
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
}

// A target that left in the lost part is in the copy until its entry expires.
BOOST_AUTO_TEST_CASE(a_restored_copy_does_not_bring_back_a_drained_target) {
  Add(Draining(1), 20);
  targets.Erase(TargetKey{1}, At(30), std::nullopt, now);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(21), false, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_CASE(a_gone_target_in_a_restored_copy_gets_no_flows_at_once) {
  Add(sample::Target(1, "a"), 20);
  targets.Erase(TargetKey{1}, At(30), std::nullopt, now);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(21), false, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((targets.Find(TargetKey{1})->usable_from ==
              now + TargetDirectory::kDefaultEntryLifetime +
                  TargetDirectory::kPropagationDelay));
}

BOOST_AUTO_TEST_CASE(a_restored_copy_does_not_return_an_address_to_its_owner) {
  Add(sample::Target(1, "a"), 20);
  TargetRecord next = sample::Target(2, "a", "intake");
  next.address = sample::Target(1, "a").address;
  next.incarnation = Incarnation{5000};
  Add(next, 25);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(21), false, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((PresenceOf(2) == TargetPresence::kListed));
}

BOOST_AUTO_TEST_CASE(a_restored_copy_does_not_undo_a_restart) {
  TargetRecord again = sample::Target(1, "a");
  again.incarnation = Incarnation{5000};
  Add(again, 20);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(21), false, now);
  BOOST_TEST(
      (targets.Find(TargetKey{1})->record.incarnation == Incarnation{5000}));
}

// What the target itself writes after the restoration counts.
BOOST_AUTO_TEST_CASE(a_later_entry_of_the_new_era_replaces_what_was_known) {
  Add(Draining(1), 20);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(5), false, now);
  BOOST_TEST((targets.Upsert(sample::Target(1, "a"), AfterRestoration(6), false,
                             now) == EntryOutcome::kApplied));
  BOOST_TEST(!targets.Find(TargetKey{1})->record.draining);
}

BOOST_AUTO_TEST_CASE(a_second_restoration_is_compared_with_the_first) {
  Add(sample::Target(1, "a"), 90);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(50), false, now);
  targets.Upsert(Draining(1), {StoreEra{3}, 40}, false, now);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(60), false, now);
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
}

// After a move to another store all drains were ignored.
BOOST_AUTO_TEST_CASE(revisions_of_another_store_are_not_compared) {
  Add(sample::Target(1, "a"), 90);
  targets.ForgetRevisions();
  targets.Upsert(Draining(1), At(3), false, now);
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
  targets.Upsert(sample::Target(1, "a"), At(2), false, now);
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
}

// The copy that the store was restored from can be older than the drain.
BOOST_AUTO_TEST_CASE(a_restored_copy_does_not_undo_a_drain) {
  Add(Draining(1), 20);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(21), false, now);
  BOOST_TEST(targets.Find(TargetKey{1})->record.draining);
}

// Any writer may leave an entry that names the addresses of living targets.
BOOST_AUTO_TEST_CASE(an_entry_of_an_unknown_service_retires_no_target) {
  Add(sample::Target(1, "a"));
  TargetRecord odd = sample::Target(7, "a", "nobody");
  odd.address = sample::Target(1, "a").address;
  odd.incarnation = Incarnation{5000};
  Add(odd, 2);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  // An address that was given to another service does.
  TargetRecord next = sample::Target(8, "a", "intake");
  next.address = odd.address;
  next.incarnation = Incarnation{6000};
  Add(next, 3);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// When an instance starts, it may read the targets before the configuration;
// the entry of a target that has crashed is listed beside the one of its
// successor at the same address.
BOOST_AUTO_TEST_CASE(a_service_that_is_configured_later_takes_its_addresses) {
  RouteTable empty;
  TargetDirectory early(empty, "a");
  const TargetRecord first = sample::Target(1, "a");
  TargetRecord next = sample::Target(8, "a", "intake");
  next.address = first.address;
  next.incarnation = Incarnation{6000};
  for (const TargetRecord& record : {first, next}) {
    early.Upsert(record, At(1), /*propagated=*/true, now);
  }
  const auto presence_of_first = [&early] {
    return early.Find(TargetKey{1})->presence;
  };
  early.OnServicesConfigured();
  BOOST_TEST((presence_of_first() == TargetPresence::kListed));
  empty.Apply(sample::Routes(1));
  early.OnServicesConfigured();
  BOOST_TEST((presence_of_first() == TargetPresence::kGone));
  // It takes them once: a target that registers again afterwards is alive.
  early.Upsert(first, At(2), /*propagated=*/true, now);
  empty.Apply(sample::Routes(2));
  early.OnServicesConfigured();
  BOOST_TEST((presence_of_first() == TargetPresence::kListed));
}

// A living target was given up for good because an entry of another writer
// named its address.
BOOST_AUTO_TEST_CASE(a_target_returns_when_the_other_entry_is_removed) {
  Add(sample::Target(1, "a"));
  Add(WithAddressOf(1, 7), 2);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  targets.Erase(TargetKey{7}, At(3), /*store_returned_at=*/std::nullopt, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
}

BOOST_AUTO_TEST_CASE(a_target_returns_when_the_other_entry_moves) {
  Add(sample::Target(1, "a"));
  TargetRecord other = WithAddressOf(1, 7);
  Add(other, 2);
  other.address = sample::Target(7, "a").address;
  Add(other, 3);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((PresenceOf(7) == TargetPresence::kListed));
}

BOOST_AUTO_TEST_CASE(a_target_returns_when_it_answers_at_its_address) {
  Add(sample::Target(1, "a"));
  Add(WithAddressOf(1, 7), 2);
  BOOST_TEST(targets.unconfirmed().contains(TargetKey{1}));
  targets.OnAnswer(*targets.Find(TargetKey{1}), now + 10ms);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((PresenceOf(7) == TargetPresence::kGone));
  BOOST_TEST(targets.unconfirmed().empty());
}

// After an outage a target wrote its entry in the restored store; it was taken
// for a copy, and the target got no flows any more.
BOOST_AUTO_TEST_CASE(an_entry_written_after_the_first_list_is_no_copy) {
  Add(sample::Target(1, "a"), 90);
  targets.Erase(TargetKey{1}, At(91), /*store_returned_at=*/std::nullopt, now);
  Add(WithAddressOf(1, 7), 92);
  targets.OnFirstListOfEra(AfterRestoration(50));
  BOOST_TEST((targets.Upsert(sample::Target(1, "a"), AfterRestoration(51),
                             false, now) == EntryOutcome::kApplied));
  const EdgeTarget& target = *targets.Find(TargetKey{1});
  BOOST_TEST((target.listing == TargetPresence::kListed));
  BOOST_TEST((target.usable_from <= now));
}

// An entry of another writer must not make it an outdated one.
BOOST_AUTO_TEST_CASE(a_copy_at_an_address_that_is_claimed_is_not_superseded) {
  Add(sample::Target(1, "a"), 90);
  targets.Erase(TargetKey{1}, At(91), /*store_returned_at=*/std::nullopt, now);
  Add(WithAddressOf(1, 7), 92);
  targets.Upsert(sample::Target(1, "a"), AfterRestoration(21), false, now);
  BOOST_TEST(targets.unconfirmed().contains(TargetKey{1}));
  targets.OnAnswer(*targets.Find(TargetKey{1}), now + 10ms);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
}

// The same entry, written again and again.
BOOST_AUTO_TEST_CASE(an_entry_written_again_does_not_take_the_address_back) {
  Add(sample::Target(1, "a"));
  Add(WithAddressOf(1, 7), 2);
  targets.OnAnswer(*targets.Find(TargetKey{1}), now + 10ms);
  TargetRecord again = WithAddressOf(1, 7);
  again.draining = true;
  Add(again, 3);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
  BOOST_TEST((PresenceOf(7) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_CASE(a_target_whose_address_another_one_answers_at_is_gone) {
  Add(sample::Target(1, "a"));
  Add(WithAddressOf(1, 7), 2);
  targets.OnOtherAnswer(*targets.Find(TargetKey{1}), TargetKey{7}, now + 10ms);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST((PresenceOf(7) == TargetPresence::kListed));
  // No further probe is needed.
  BOOST_TEST(targets.unconfirmed().empty());
  // Its flows are still forwarded.
  BOOST_TEST(targets.FindByToken(targets.TokenOf(TargetKey{1}), feed) !=
             nullptr);
}

// An instance that starts reads both entries at once.
BOOST_AUTO_TEST_CASE(a_first_list_with_both_entries_is_decided_by_an_answer) {
  targets.Upsert(WithAddressOf(1, 7), At(2), true, now);
  targets.Upsert(sample::Target(1, "a"), At(1), true, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
  BOOST_TEST(targets.unconfirmed().contains(TargetKey{1}));
  targets.OnAnswer(*targets.Find(TargetKey{1}), now + 10ms);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kListed));
}

// The removal of a target that has lost its address must not be missed.
BOOST_AUTO_TEST_CASE(a_target_without_its_address_can_be_removed) {
  Add(sample::Target(1, "a"));
  Add(WithAddressOf(1, 7), 2);
  BOOST_TEST((targets.Erase(TargetKey{1}, At(3), std::nullopt, now) ==
              EntryOutcome::kApplied));
  targets.Erase(TargetKey{7}, At(4), std::nullopt, now);
  BOOST_TEST((PresenceOf(1) == TargetPresence::kGone));
}

// The steady clock may have stood still while another target got the address.
BOOST_AUTO_TEST_CASE(answers_from_before_a_pause_do_not_count) {
  TargetDirectory paused(routes, "a", TargetDirectory::kDefaultEntryLifetime,
                         /*address_reuse_delay=*/2s);
  paused.Upsert(sample::Target(1, "a"), At(1), true, now);
  paused.OnAnswer(*paused.Find(TargetKey{1}), now);
  paused.ForgetAnswers();
  paused.Upsert(WithAddressOf(1, 7), At(2), true, now);
  BOOST_TEST(paused.unconfirmed().contains(TargetKey{1}));
}

BOOST_AUTO_TEST_CASE(a_target_heard_of_lately_keeps_its_address) {
  TargetDirectory reusing(routes, "a", TargetDirectory::kDefaultEntryLifetime,
                          /*address_reuse_delay=*/2s);
  reusing.Upsert(sample::Target(1, "a"), At(1), true, now);
  reusing.OnAnswer(*reusing.Find(TargetKey{1}), now);
  reusing.Upsert(WithAddressOf(1, 7), At(2), true, now + 1s);
  const auto presence_of = [&reusing](std::uint64_t key) {
    return reusing.Find(TargetKey{key})->presence;
  };
  BOOST_TEST((presence_of(1) == TargetPresence::kListed));
  BOOST_TEST((presence_of(7) == TargetPresence::kGone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
