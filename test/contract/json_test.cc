// Guards against input that is silently misinterpreted: lost fields, unknown
// fields, wrong types and values out of range.
#include <boost/test/unit_test.hpp>

#include "sapphirestream/contract/change_json.h"
#include "sapphirestream/contract/configuration_json.h"
#include "test/contract/sample.h"

namespace sapphirestream {
namespace {

Change EveryOperation() {
  Preset preset;
  preset.name = "peak";
  preset.max_wait = std::chrono::milliseconds(7);
  const WallTime from{std::chrono::seconds(5)};
  return sample::MakeChange(
      "c-1",
      {CreateService{"orders", ServiceId{7}, Endpoint{MakeV4(10, 0, 0, 1), 443},
                     FlowKind::kRequest, false},
       DeleteService{"board"}, sample::Add(1),
       DrainTarget{"orders", sample::Tunnel(1)}, sample::Remove(2),
       PutPreset{preset}, DeletePreset{"old"}, SwitchPreset{"peak"},
       PutAnnouncement{"move", "orders", from, from + std::chrono::hours(1),
                       "slower \"tonight\""},
       DeleteAnnouncement{"move"}, SetDomains{{DomainId{1}, DomainId{4}}}});
}

BOOST_AUTO_TEST_SUITE(json)

BOOST_AUTO_TEST_CASE(every_operation_survives_a_round_trip) {
  const Change change = EveryOperation();
  BOOST_TEST(change.operations.size() == std::variant_size_v<Operation>);
  const std::string text = boost::json::serialize(ToJson(change));
  BOOST_TEST((ParseChange(text).value() == change));
}

BOOST_AUTO_TEST_CASE(a_configuration_survives_a_round_trip) {
  Preset even;
  even.name = "peak";
  even.load_share_permille = 900;
  const auto until = sample::kNow + std::chrono::hours(1);
  const Configuration before =
      Apply(sample::TwoTargets(),
            sample::MakeChange(
                "a", {sample::Remove(2), PutPreset{even}, SwitchPreset{"peak"},
                      PutAnnouncement{"move", "orders", sample::kNow, until,
                                      "slower tonight"}}),
            sample::kNow)
          .value();
  BOOST_TEST(before.former_load_shares.size() == 1U);
  const std::string text = boost::json::serialize(ToJson(before));
  BOOST_TEST((ParseConfiguration(text).value() == before));
}

// Each error must contain the path of the field, so that the operator can find
// it.
BOOST_AUTO_TEST_CASE(bad_changes_are_refused_with_path_value_and_range) {
  const std::string start = R"({"id":"c","author":"ana","operations":[)";
  const std::string target =
      R"({"op":"add_target","service":"orders","tunnel":"127.0.1.4:6081",)";
  struct Case {
    std::string text;
    ErrorKind kind;
    std::string detail;
  };
  const Case cases[] = {
      {"{", ErrorKind::kMalformedJson, "byte 1: incomplete JSON"},
      {"{} x", ErrorKind::kMalformedJson, "byte 3: text after the value"},
      {"[]", ErrorKind::kWrongType, "body: [] is not an object"},
      {start + target + R"("domain":1,"slots":0}]})", ErrorKind::kOutOfRange,
       "operations[0].slots: 0 is outside 1 to 10000"},
      {start + target + R"("domain":-1}]})", ErrorKind::kOutOfRange,
       "operations[0].domain: -1 is outside 0 to 65535"},
      {start + target + R"("domain":1.5}]})", ErrorKind::kWrongType,
       "operations[0].domain: 1.5E0 is not an integer"},
      {start + target + R"("domain":1,"slot":2}]})", ErrorKind::kUnknownField,
       "operations[0].slot"},
      {start + target.substr(0, target.size() - 1) + "}]}",
       ErrorKind::kWrongType,
       "operations[0].domain: missing, expected an integer"},
      {start + R"({"op":"stop"}]})", ErrorKind::kOutOfRange,
       "operations[0].op: \"stop\" is not an operation"},
      {start + R"({"op":"switch_preset","preset":"a b"}]})",
       ErrorKind::kOutOfRange,
       "operations[0].preset: \"a b\" has characters other than letters, "
       "digits, '-', '_' and '.'"},
      {start +
           R"({"op":"put_preset","preset":{"name":"p","max_wait_ms":"9"}}]})",
       ErrorKind::kWrongType,
       "operations[0].preset.max_wait_ms: \"9\" is not an integer"},
      {start + "]}", ErrorKind::kOutOfRange,
       "operations: 0 elements are outside 1 to 64"},
  };
  for (const Case& c : cases) {
    const Error error = sample::ErrorOf([&] { return ParseChange(c.text); });
    BOOST_TEST(AnswerFor(error.kind).name == AnswerFor(c.kind).name);
    BOOST_TEST(error.detail == c.detail);
  }
}

// Without an existing preset in force, instances would have no limits.
BOOST_AUTO_TEST_CASE(inconsistent_configurations_are_refused) {
  const auto refused = [](auto corrupt) {
    Configuration configuration = sample::TwoTargets();
    corrupt(configuration);
    const std::string text = boost::json::serialize(ToJson(configuration));
    return sample::ErrorOf([&] { return ParseConfiguration(text); }).kind;
  };
  BOOST_TEST(
      (refused([](auto& c) { c.preset = "gone"; }) == ErrorKind::kNotFound));
  BOOST_TEST(
      (refused([](auto& c) { c.domains.clear(); }) == ErrorKind::kOutOfRange));
  BOOST_TEST((refused([](auto& c) { c.next_target_id = 1; }) ==
              ErrorKind::kOutOfRange));
  BOOST_TEST((refused([](auto& c) {
                auto& targets = c.services[0].targets;
                targets[1].tunnel = targets[0].tunnel;
              }) == ErrorKind::kAlreadyExists));
  BOOST_TEST((refused([](auto& c) {
                c.services.push_back(c.services[0]);
                c.services[1].id = ServiceId{8};
              }) == ErrorKind::kAlreadyExists));
  BOOST_TEST((refused([](auto& c) { std::swap(c.presets[0], c.presets[1]); }) ==
              ErrorKind::kOutOfRange));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
