// Guards against entries of other writers that are accepted as targets, and
// against a malformed entry that hides valid ones.
#include "platform/object_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "sapphirestream/base/id.h"
#include "sapphirestream/base/random.h"

namespace sapphirestream::platform {
namespace {

std::string Entry(const std::string& name, const std::string& spec) {
  return R"({"meta":{"Name":")" + name +
         R"(","Revision":12,"CreateRevision":3,"Finalizers":[],)"
         R"("Deleting":false},"spec":)" +
         spec + R"(,"status":null})";
}

constexpr const char* kSpec =
    R"({"Service":"desk","Address":"10.128.0.9:8080","Zone":"a",)"
    R"("Version":"v1","Slots":2,"State":"ready","ColdRemainingMs":1500,)"
    R"("Seq":4,"born":1787949095014})";

std::string List(const std::string& items) {
  return R"({"items":[)" + items + R"(],"Truncated":true,"CurrentRev":530})";
}

BOOST_AUTO_TEST_SUITE(object_codec)

BOOST_AUTO_TEST_CASE(a_list_of_targets_is_decoded) {
  const auto reply = DecodeTargets(List(Entry("i-7f3a91c2", kSpec)));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply->revision.number == 530U);
  BOOST_TEST(reply->has_more);
  BOOST_REQUIRE(reply->items.size() == 1U);
  BOOST_TEST(reply->items[0].revision.number == 12U);
  BOOST_REQUIRE(reply->items[0].record.has_value());
  const TargetRecord& record = *reply->items[0].record;
  BOOST_TEST(Value(record.key) == 0x7f3a91c2U);
  BOOST_TEST(Value(record.incarnation) == 1787949095014U);
  BOOST_TEST(record.service == "desk");
  BOOST_TEST(ToString(record.address) == "10.128.0.9:8080");
  BOOST_TEST(record.domain == "a");
  BOOST_TEST(record.slots == 2U);
  BOOST_TEST(!record.draining);
  BOOST_TEST((record.cold_remaining == std::chrono::milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(malformed_entries_have_no_record_and_hide_no_others) {
  const std::string bad =
      Entry("i-1", R"("text")") + "," + Entry("i-2", "null") + "," +
      Entry("x-3", kSpec) + "," +
      Entry("i-4",
            R"({"Service":7,"Address":"10.0.0.1:1","Zone":"a",)"
            R"("Slots":2,"State":"ready","ColdRemainingMs":0,"Seq":1})") +
      "," +
      Entry("i-5",
            R"({"Service":"desk","Address":"here","Zone":"a",)"
            R"("Slots":2,"State":"ready","ColdRemainingMs":0,"Seq":1})") +
      "," +
      Entry("i-6",
            R"({"Service":"desk","Address":"10.0.0.1:1","Zone":"a",)"
            R"("Slots":2,"State":"asleep","ColdRemainingMs":0,"Seq":1})") +
      "," +
      Entry("i-7", R"({"Service":"desk","Address":"10.0.0.1:1","Zone":"a",)"
                   R"("Slots":-2,"State":"ready","ColdRemainingMs":0,)"
                   R"("Seq":1})") +
      ",17,{\"meta\":3}," + Entry("i-8", kSpec);
  const auto reply = DecodeTargets(List(bad));
  BOOST_REQUIRE(reply.has_value());
  int records = 0;
  for (const auto& item : reply->items) records += item.record ? 1 : 0;
  BOOST_TEST(records == 1);
  BOOST_TEST(reply->items.back().name == "i-8");
}

BOOST_AUTO_TEST_CASE(changes_report_removed_entries) {
  const auto reply =
      DecodeTargets(R"({"events":[{"Tombstone":true,"Object":)" +
                    Entry("i-7", kSpec) + R"(},{"Tombstone":false,"Object":)" +
                    Entry("i-8", kSpec) + R"(}],"CurrentRev":533})");
  BOOST_REQUIRE(reply.has_value());
  BOOST_REQUIRE(reply->items.size() == 2U);
  BOOST_TEST(reply->items[0].deleted);
  BOOST_TEST(!reply->items[0].record.has_value());
  BOOST_TEST(reply->items[1].record.has_value());
}

BOOST_AUTO_TEST_CASE(routes_are_decoded_with_kinds_shares_and_health_paths) {
  const auto reply = DecodeRoutes(List(Entry(
      "main", R"({"Version":7,"Routes":[)"
              R"({"Name":"r1","Host":"198.18.0.1","PathPrefix":"/8080/",)"
              R"("Type":"unsafe","Service":"desk"},)"
              R"({"Name":"r2","Host":"198.18.0.1","PathPrefix":"/8443/",)"
              R"("Type":"safe","Backends":[{"Service":"desk","Weight":90},)"
              R"({"Service":"intake","Weight":10}]},)"
              R"({"Name":"r3","Host":"198.18.0.2","PathPrefix":"/1/",)"
              R"("Type":"upload","Service":"intake"},)"
              R"({"Name":"r4","Host":"198.18.0.2","PathPrefix":"/none/",)"
              R"("Service":"intake"},)"
              R"({"Name":"r5","Host":"198.18.0.2","PathPrefix":"/2/",)"
              R"("Type":"download","Service":"intake"}],)"
              R"("Services":[{"Name":"desk","HealthPath":"/health"}]})")));
  BOOST_REQUIRE(reply.has_value());
  const RouteConfig& config = *reply->items.at(0).record;
  BOOST_TEST(config.version == 7U);
  BOOST_REQUIRE(config.routes.size() == 4U);
  BOOST_TEST((config.routes[0].kind == RequestKind::kNonIdempotent));
  BOOST_TEST((config.routes[1].kind == RequestKind::kIdempotent));
  BOOST_TEST(config.routes[1].services.size() == 2U);
  BOOST_TEST((config.routes[2].kind == RequestKind::kUpload));
  // A download that is not idempotent would not be reset when its target is
  // lost, so that the client waits for its own timeout.
  BOOST_TEST((config.routes[3].kind == RequestKind::kIdempotent));
  BOOST_TEST(ToString(config.routes[0].address) == "198.18.0.1:8080");
  BOOST_TEST(config.services.at(0).health_path == "/health");
}

// A limit that is missing or unusable must not make the route or the service
// unusable.
BOOST_AUTO_TEST_CASE(objectives_and_limits_are_decoded) {
  const auto reply = DecodeRoutes(List(Entry(
      "main", R"({"Version":7,"Routes":[)"
              R"({"Name":"r1","Host":"198.18.0.1","PathPrefix":"/8080/",)"
              R"("Type":"unsafe","TimeoutMs":1200,"TargetLatencyMs":300,)"
              R"("Priority":1,"Service":"desk"},)"
              R"({"Name":"r2","Host":"198.18.0.1","PathPrefix":"/8443/",)"
              R"("TimeoutMs":-1,"Priority":"high","Service":"desk"}],)"
              R"("Services":[{"Name":"desk","HealthPath":"/health",)"
              R"("MaxFlows":2000,"ColdStartS":2.5,"ColdPerS":0.0},)"
              R"({"Name":"intake","HealthPath":"/h","ColdPerS":"x"}]})")));
  BOOST_REQUIRE(reply.has_value());
  const RouteConfig& config = *reply->items.at(0).record;
  BOOST_REQUIRE(config.routes.size() == 2U);
  const RouteObjective& objective = config.routes[0].objective;
  BOOST_TEST((objective.timeout == std::chrono::milliseconds(1200)));
  BOOST_TEST((objective.target_latency == std::chrono::milliseconds(300)));
  BOOST_TEST(objective.priority == 1U);
  // An unusable priority is not the most urgent one.
  BOOST_TEST((config.routes[1].objective.timeout == Duration::zero()));
  BOOST_TEST(config.routes[1].objective.priority > 1U);
  BOOST_REQUIRE(config.services.size() == 2U);
  BOOST_TEST(config.services[0].max_flows == 2000U);
  BOOST_TEST(
      (config.services[0].cold_start == std::chrono::milliseconds(2500)));
  BOOST_TEST((config.services[0].cold_flows_per_s == 0.0));
  // An unusable limit does not remove the limit.
  BOOST_TEST((config.services[1].cold_flows_per_s == 0.0));
}

// Responses that were truncated or corrupted in transit.
BOOST_AUTO_TEST_CASE(any_text_is_decoded_or_rejected) {
  const std::string whole = List(Entry("i-7f3a91c2", kSpec));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodeTargets(whole.substr(0, size)).has_value());
  }
  SeededRandom random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string text = whole;
    for (int n = 0; n < 3; ++n) {
      text[random.Below(text.size())] = static_cast<char>(random.Next());
    }
    (void)DecodeTargets(text);
    (void)DecodeRoutes(text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::platform
