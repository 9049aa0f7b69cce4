// Guards against flags that set the wrong field, and against options that are
// silently ignored.
#include "sapphirestream/client/command_line.h"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

namespace sapphirestream {
namespace {

const WallTime kNow{std::chrono::milliseconds(1'796'000'000'000)};
const ClientEnvironment kEnvironment{
    {"SAPPHIRECTL_INSTANCES", "127.0.0.11:7080"}, {"USER", "ada"}};

leaf::result<Command> Parse(const std::string& line,
                            const ClientEnvironment& environment) {
  std::istringstream stream(line);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return ParseCommandLine(words, environment, kNow);
}

// Returns the path of a read, the operation of a change or the error's detail.
std::string Outcome(const std::string& line,
                    const ClientEnvironment& environment = kEnvironment) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(command, Parse(line, environment));
        if (const auto* read = std::get_if<ReadAction>(&command.action)) {
          return read->path;
        }
        return boost::json::serialize(
            std::get<ChangeAction>(command.action).operation);
      },
      [](const Error& error) {
        BOOST_TEST((error.kind == ErrorKind::kBadSetting));
        return error.detail;
      },
      [] { return std::string("unexpected"); });
}

BOOST_AUTO_TEST_SUITE(command_line)

BOOST_AUTO_TEST_CASE(words_and_flags_set_the_operation) {
  BOOST_TEST(Outcome("target list a/b") == "/v1/services/a%2Fb/targets");
  BOOST_TEST(Outcome("dump") == "/dump");
  BOOST_TEST(
      Outcome("service create orders --service-id 4 --address 10.9.0.4:443 "
              "--kind request --non-idempotent") ==
      R"({"op":"create_service","name":"orders","id":4,)"
      R"("address":"10.9.0.4:443","kind":"request","idempotent":false})");
  BOOST_TEST(Outcome("preset put peak --load-share 500 --slow-start-ms 0") ==
             R"({"op":"put_preset","preset":{"name":"peak",)"
             R"("load_share_permille":500,"slow_start_ms":0}})");
  BOOST_TEST(Outcome("announcement put sale --service orders --until +15m "
                     "--text busy") ==
             R"({"op":"put_announcement","name":"sale","service":"orders",)"
             R"("until":1796000900000,"text":"busy","from":1796000000000})");
  BOOST_TEST(Outcome("domains set 1,2") ==
             R"({"op":"set_domains","domains":[1,2]})");
}

// Guards against reporting only the first error.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  const std::string detail = Outcome(
      "target add orders 127.0.1.1:6081 --slots two --text x "
      "--timeout 0",
      {});
  for (const char* part :
       {"--instances is missing", "--domain is missing", "slots: 'two'",
        "--text is not an option of this command", "'0' is outside 1 to 600 s",
        "--author is missing"}) {
    BOOST_TEST(detail.find(part) != std::string::npos, part);
  }
  BOOST_TEST(Outcome("target fly") ==
             "unknown command; see sapphirectl --help");
}

// Guards against environment variables that override flags.
BOOST_AUTO_TEST_CASE(flags_override_environment_variables) {
  ClientEnvironment environment = kEnvironment;
  environment["SAPPHIRECTL_TIMEOUT"] = "30";
  environment["SAPPHIRECTL_OUTPUT"] = "json";
  const auto command = Parse("status --timeout 40", environment);
  BOOST_REQUIRE(command);
  BOOST_TEST((command.value().options.timeout == std::chrono::seconds(40)));
  BOOST_TEST((command.value().options.output == OutputFormat::kJson));
}

BOOST_AUTO_TEST_CASE(times_that_do_not_exist_are_refused) {
  for (const char* time : {"2026-02-30T00:00:00Z", "2026-02-28T24:00:00Z",
                           "2026-02-28x00:00:00Z", "+15", "+15d", "+"}) {
    const std::string line = "announcement put a --service s --text t --until=";
    BOOST_TEST(Outcome(line + time).find("until: '") != std::string::npos,
               time);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
