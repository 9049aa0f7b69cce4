// Guards against responses with undocumented errors, changes submitted from
// invalid requests, and removed targets shown to operators.
#include "sapphirestream/instance/operator_api.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "sapphirestream/admin/metrics.h"
#include "sapphirestream/instance/target_report_receiver.h"

namespace sapphirestream {
namespace {

struct Fixture : OperatorBackend {
  [[nodiscard]] std::shared_ptr<const Configuration> configuration()
      const override {
    return current;
  }
  [[nodiscard]] bool is_ready() const override { return ready; }
  void Submit(const Change& change, ConfigWriter::Done done) override {
    submitted = change;
    done(outcome);
  }
  void ReadStatus(std::function<void(boost::json::object)> done) override {
    done({{"live", 1}});
  }
  [[nodiscard]] boost::json::object Dump() const override {
    return {{"whole", true}};
  }
  [[nodiscard]] std::string Metrics() const override { return "metrics"; }

  HttpResponse Handle(const std::string& method, const std::string& target,
                      const std::string& body = "") {
    std::optional<HttpResponse> response;
    api.Handle({method, target, body},
               [&](HttpResponse r) { response = std::move(r); });
    BOOST_REQUIRE(response.has_value());
    return *response;
  }
  HttpResponse Get(const std::string& target) { return Handle("GET", target); }
  void Configure() {
    auto next = std::make_shared<Configuration>(InitialConfiguration());
    Service service;
    service.id = ServiceId{1};
    service.name = "orders";
    service.targets.resize(2);
    service.targets[1].removed = true;
    next->services.push_back(service);
    current = next;
  }

  OperatorApi api{*this};
  std::shared_ptr<const Configuration> current;
  bool ready = false;
  std::optional<Change> submitted;
  ChangeOutcome outcome;
};

std::string ErrorOf(const HttpResponse& response) {
  return std::string(boost::json::parse(response.body).at("error").as_string());
}

BOOST_FIXTURE_TEST_SUITE(operator_api, Fixture)

BOOST_AUTO_TEST_CASE(without_a_configuration_reads_are_refused) {
  BOOST_TEST(Get("/healthz").status == 200);
  BOOST_TEST(Get("/readyz").status == 503);
  BOOST_TEST(Get("/metrics").body == "metrics");
  for (const char* path :
       {"/v1/config", "/v1/services", "/v1/services/orders/targets",
        "/v1/presets", "/v1/preset", "/v1/announcements"}) {
    const HttpResponse response = Get(path);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(ErrorOf(response) == "not_ready");
  }
}

BOOST_AUTO_TEST_CASE(removed_targets_are_hidden) {
  Configure();
  ready = true;
  BOOST_TEST(Get("/readyz").status == 200);
  const auto services = boost::json::parse(Get("/v1/services").body);
  BOOST_TEST(services.at(0).at("targets").as_array().size() == 1U);
  const auto targets =
      boost::json::parse(Get("/v1/services/orders/targets?x=1").body);
  BOOST_TEST(targets.as_array().size() == 1U);
}

BOOST_AUTO_TEST_CASE(unknown_names_paths_and_methods_are_not_found) {
  Configure();
  for (const auto& [method, path] :
       {std::pair{"GET", "/v1/services/none/targets"},
        {"GET", "/v1/services//targets"},
        {"GET", "/v1/changes"},
        {"GET", ""},
        {"POST", "/v1/config"},
        {"DELETE", "/v1/services"}}) {
    const HttpResponse response = Handle(method, path);
    BOOST_TEST(response.status == 404, method << " " << path);
    BOOST_TEST(ErrorOf(response) == "not_found");
  }
}

BOOST_AUTO_TEST_CASE(invalid_changes_are_never_submitted) {
  const std::string start = R"({"id":"1","author":"a","operations":)";
  const std::pair<std::string, std::string> cases[] = {
      {"", "malformed_json"},
      {"{", "malformed_json"},
      {start + R"([{"op":"switch_preset","preset":"p"}],"x":1})",
       "unknown_field"},
      {start + R"([{"op":"switch_preset","preset":1}]})", "wrong_type"},
      {start + "[]}", "out_of_range"}};
  for (const auto& [body, error] : cases) {
    const HttpResponse response = Handle("POST", "/v1/changes", body);
    BOOST_TEST(response.status == 400, body);
    BOOST_TEST(ErrorOf(response) == error, body);
  }
  BOOST_TEST(!submitted.has_value());
}

BOOST_AUTO_TEST_CASE(outcomes_contain_the_configuration_version) {
  const std::string body = R"({"id":"1","author":"a","operations":[)"
                           R"({"op":"switch_preset","preset":"peak"}]})";
  outcome.version = ConfigVersion{8};
  auto response = Handle("POST", "/v1/changes", body);
  BOOST_TEST(response.status == 200);
  BOOST_REQUIRE(submitted.has_value());
  BOOST_TEST(submitted->id == "1");
  auto json = boost::json::parse(response.body);
  BOOST_TEST(json.at("version").to_number<int>() == 8);
  BOOST_TEST(json.at("effect").is_object());
  outcome.error = {ErrorKind::kContradicted, "target orders"};
  response = Handle("POST", "/v1/changes", body);
  BOOST_TEST(response.status == 409);
  json = boost::json::parse(response.body);
  BOOST_TEST(json.at("version").to_number<int>() == 8);
  BOOST_TEST(json.at("detail").as_string() == "target orders");
}

BOOST_AUTO_TEST_CASE(every_error_has_a_response) {
  for (std::size_t i = 1; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const HttpResponse response = MakeErrorResponse({kind, {}});
    BOOST_TEST(response.status >= 400);
    BOOST_TEST(ErrorOf(response) == AnswerFor(kind).name);
  }
}

BOOST_AUTO_TEST_CASE(metrics_are_grouped_with_their_type) {
  CounterSet counters;
  counters.Emplace("packets_total{thread=\"0\"}").Add(3);
  counters.Emplace("flows").Set(2);
  counters.Emplace("packets_total{thread=\"1\"}").Add(4);
  BOOST_TEST(RenderMetrics(counters) ==
             "# TYPE sapphirestream_flows gauge\n"
             "sapphirestream_flows 2\n"
             "# TYPE sapphirestream_packets_total counter\n"
             "sapphirestream_packets_total{thread=\"0\"} 3\n"
             "sapphirestream_packets_total{thread=\"1\"} 4\n");
}

BOOST_AUTO_TEST_CASE(malformed_target_reports_are_refused) {
  const auto kind_of = [](const std::string& text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<ErrorKind> {
          BOOST_LEAF_CHECK(ParseTargetReport(text));
          return ErrorKind::kNone;
        },
        [](const Error& error) { return error.kind; },
        [] { return ErrorKind::kInternal; });
  };
  const std::string start = R"({"target":"127.0.1.1:6081","busy":1)";
  BOOST_TEST(
      (kind_of(start + R"(,"open":2,"shedding":true})") == ErrorKind::kNone));
  BOOST_TEST((kind_of("") == ErrorKind::kMalformedJson));
  BOOST_TEST((kind_of("[1]") == ErrorKind::kMalformedJson));
  BOOST_TEST((kind_of(start + "}") == ErrorKind::kMalformedJson));
  BOOST_TEST((kind_of(start + R"(,"open":-1})") == ErrorKind::kOutOfRange));
  BOOST_TEST((kind_of(start + R"(,"open":"2"})") == ErrorKind::kWrongType));
  BOOST_TEST((kind_of(start + R"(,"opened":2})") == ErrorKind::kUnknownField));
  BOOST_TEST((kind_of(R"({"target":"x","busy":1,"open":1})") ==
              ErrorKind::kOutOfRange));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
