// Guards against an entry of another writer that hides valid entries, at any
// place of a list, a page or an event: instances could not read the list any
// more, and after a restart none served.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/object_codec.h"
#include "sapphirestream/base/id.h"
#include "testing/odd_target_specs.h"

namespace sapphirestream::platform {
namespace {

std::string Entry(const std::string& name, const std::string& spec) {
  return R"({"meta":{"Name":")" + name +
         R"(","Revision":12,"CreateRevision":3,"Finalizers":[],)"
         R"("Deleting":false},"spec":)" +
         spec + R"(,"status":null})";
}

// Entries that name no target to use. The names of those of the second list
// cannot be decoded either.
std::vector<std::string> OddEntries() {
  std::vector<std::string> entries;
  for (const auto& specs :
       {testing::UndecodableTargetSpecs(), testing::OutOfRangeTargetSpecs(),
        testing::ForeignTargetSpecs()}) {
    for (const std::string& spec : specs) {
      entries.push_back(Entry("i-9", spec));
    }
  }
  return entries;
}

std::vector<std::string> NamelessEntries() {
  return {Entry(R"(\udcff)", testing::TargetSpecWith("", "")),
          Entry("\xff\xfe", testing::TargetSpecWith("", "")),
          R"({"meta":{"Name":7,"Revision":12},"spec":)" +
              testing::TargetSpecWith("", "") + "}",
          R"({"meta":)" + testing::NestedArrays(50) + R"(,"spec":)" +
              testing::TargetSpecWith("", "") + "}",
          "17",
          "null",
          R"("text")",
          testing::NestedArrays(60),
          "{\"meta\":{\"Name\":\"i-9\"\x02}}"};
}

std::string Event(const std::string& object) {
  return R"({"Tombstone":false,"Object":)" + object + "}";
}

std::string Joined(const std::string& first, const std::string& second) {
  return first + "," + second;
}

std::string ListReply(const std::string& items) {
  return R"({"items":[)" + items + R"(],"Truncated":false,"CurrentRev":530})";
}

std::string EventsReply(const std::string& events) {
  return R"({"events":[)" + events + R"(],"CurrentRev":530})";
}

// Counts the usable targets of a reply, which must be those around the odd one.
void CheckNeighbours(const std::string& body, std::size_t expected) {
  const auto reply = DecodeTargets(body);
  BOOST_REQUIRE_MESSAGE(reply.has_value(), body.substr(0, 300));
  BOOST_TEST(reply->revision.number == 530U);
  std::size_t usable = 0;
  for (const auto& item : reply->items) {
    if (!item.record) continue;
    ++usable;
    BOOST_TEST((item.name == "i-1" || item.name == "i-2"));
  }
  BOOST_TEST(usable == expected, body.substr(0, 300));
}

void CheckEverywhere(const std::string& odd) {
  const std::string first = Entry("i-1", testing::TargetSpecWith("", ""));
  const std::string second = Entry("i-2", testing::TargetSpecWith("", ""));
  const std::vector<std::vector<std::string>> orders{
      {odd, first, second}, {first, odd, second}, {first, second, odd}};
  for (const auto& order : orders) {
    std::string items;
    std::string events;
    for (const std::string& object : order) {
      const char* const separator = items.empty() ? "" : ",";
      items += separator + object;
      events += separator + Event(object);
    }
    for (const char* truncated : {"true", "false"}) {
      CheckNeighbours(R"({"items":[)" + items + R"(],"Truncated":)" +
                          truncated + R"(,"CurrentRev":530})",
                      2);
    }
    CheckNeighbours(EventsReply(events), 2);
    CheckNeighbours(R"({"CurrentRev":530,"events":[)" + events + "]}", 2);
  }
  CheckNeighbours(ListReply(odd), 0);
}

BOOST_AUTO_TEST_SUITE(odd_entry)

BOOST_AUTO_TEST_CASE(an_odd_entry_costs_itself_alone) {
  for (const std::string& odd : OddEntries()) CheckEverywhere(odd);
}

BOOST_AUTO_TEST_CASE(an_entry_with_an_odd_name_costs_itself_alone) {
  for (const std::string& odd : NamelessEntries()) CheckEverywhere(odd);
}

// An entry without `Version` that named the address of a living target retired
// that target.
BOOST_AUTO_TEST_CASE(an_entry_with_a_field_missing_or_of_another_type_is_odd) {
  for (const std::string& spec : testing::ForeignTargetSpecs()) {
    const auto reply = DecodeTargets(ListReply(Entry("i-9", spec)));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(!reply->items.at(0).record.has_value(), spec);
  }
}

// The page names no values of these fields that a target could not have.
BOOST_AUTO_TEST_CASE(an_unknown_zone_or_version_is_not_odd) {
  for (const std::string& spec :
       {testing::TargetSpecWith("Zone", R"("nowhere")"),
        testing::TargetSpecWith("Version", R"("0.0-\u00e4?")"),
        testing::TargetSpecWith("Version", R"("")")}) {
    const auto reply = DecodeTargets(ListReply(Entry("i-9", spec)));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->items.at(0).record.has_value(), spec);
  }
}

// The entry of a known target that was damaged must be found by its name.
BOOST_AUTO_TEST_CASE(an_odd_entry_keeps_its_name_and_revision) {
  for (const std::string& odd : OddEntries()) {
    const auto reply = DecodeTargets(ListReply(odd));
    BOOST_REQUIRE(reply.has_value());
    BOOST_REQUIRE(reply->items.size() == 1U);
    BOOST_TEST(reply->items[0].name == "i-9");
    BOOST_TEST(reply->items[0].revision.number == 12U);
    BOOST_TEST(!reply->items[0].record.has_value());
  }
}

BOOST_AUTO_TEST_CASE(an_odd_event_costs_itself_alone) {
  const std::string good = Event(Entry("i-1", testing::TargetSpecWith("", "")));
  for (const std::string& odd :
       {std::string("7"), std::string("{}"), testing::NestedArrays(70),
        std::string(R"({"Tombstone":"\udcff","Object":)") + Entry("i-9", "{}") +
            "}",
        std::string(R"({"Tombstone":false,"Object":"\udcff"})")}) {
    CheckNeighbours(EventsReply(Joined(odd, good)), 1);
    CheckNeighbours(EventsReply(Joined(good, odd)), 1);
  }
}

// Odd members beside the entries do not matter.
BOOST_AUTO_TEST_CASE(odd_members_of_a_reply_are_ignored) {
  const std::string good = Entry("i-1", testing::TargetSpecWith("", ""));
  CheckNeighbours(R"({"x":)" + testing::NestedArrays(90) +
                      R"(,"y":"\udcff","items":[)" + good +
                      R"(],"Truncated":false,"CurrentRev":530})",
                  1);
}

// Without its entries or its revision, a reply must not count as an empty list.
BOOST_AUTO_TEST_CASE(a_reply_without_entries_or_revision_is_rejected) {
  const std::string good = Entry("i-1", testing::TargetSpecWith("", ""));
  for (const std::string& body :
       {std::string(R"({"CurrentRev":530})"),
        std::string(R"({"items":7,"CurrentRev":530})"),
        std::string(R"({"items":[],"Truncated":false})"),
        R"({"items":[)" + good + R"(],"CurrentRev":-1})",
        R"({"items":[)" + good + R"(],"CurrentRev":1.5})",
        R"({"items":[)" + good + R"(],"CurrentRev":18446744073709551616})",
        R"({"items":[)" + good + R"(,"CurrentRev":530})"}) {
    BOOST_TEST(!DecodeTargets(body).has_value(), body);
  }
}

// A writer of another language may write whole numbers in this form.
BOOST_AUTO_TEST_CASE(a_whole_number_may_have_a_fraction_of_zero) {
  const auto reply = DecodeTargets(
      R"({"items":[)" + Entry("i-9", testing::TargetSpecWith("Slots", "4.0")) +
      R"(],"Truncated":false,"CurrentRev":5})");
  BOOST_REQUIRE(reply.has_value());
  BOOST_REQUIRE(reply->items.at(0).record.has_value());
  BOOST_TEST(reply->items[0].record->slots == 4U);
}

std::string ConfigOf(const std::string& routes) {
  return R"({"Version":7,"Routes":[)" + routes + R"(],"Services":[]})";
}

// Routes: one odd route must not hide the others.
BOOST_AUTO_TEST_CASE(an_odd_route_costs_itself_alone) {
  const std::string good =
      R"({"Host":"198.18.0.1","PathPrefix":"/80/","Service":"desk"})";
  for (const std::string& odd :
       {std::string("7"),
        std::string(R"({"Host":"198.18.0.1","PathPrefix":"/0/",)"
                    R"("Service":"desk"})"),
        std::string(R"({"Host":"198.18.0.1","PathPrefix":"/65616/",)"
                    R"("Service":"desk"})"),
        std::string(R"({"Host":"198.18.0.2","PathPrefix":"/80/",)"
                    R"("Backends":[{"Service":"desk","Weight":4294967296}]})"),
        std::string(R"({"Host":"198.18.0.2","PathPrefix":"/80/",)"
                    R"("Service":7})")}) {
    const auto reply =
        DecodeRoutes(ListReply(Entry("main", ConfigOf(Joined(odd, good)))));
    BOOST_REQUIRE(reply.has_value());
    BOOST_REQUIRE(reply->items.at(0).record.has_value());
    BOOST_TEST(reply->items[0].record->routes.size() == 1U);
    BOOST_TEST(reply->items[0].record->ignored_routes == 1U);
  }
}

// An object that another writer left beside the configuration, with a higher
// version, must not replace it.
BOOST_AUTO_TEST_CASE(only_the_current_configuration_is_used) {
  const std::string spec =
      ConfigOf(R"({"Host":"198.18.0.1","PathPrefix":"/80/","Service":"desk"})");
  const auto reply = DecodeRoutes(
      ListReply(Joined(Entry("backup", spec), Entry("main", spec))));
  BOOST_REQUIRE(reply.has_value());
  BOOST_REQUIRE(reply->items.size() == 2U);
  BOOST_TEST(!reply->items[0].record.has_value());
  BOOST_TEST(reply->items[1].record.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::platform
