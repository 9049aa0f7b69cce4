// Guards against starting with invalid settings, against reporting only the
// first of several errors, and against printing the peer key.
#include "sapphirestream/instance/settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace sapphirestream {
namespace {

const std::string kKey(64, 'a');

struct Fixture {
  std::vector<std::string> arguments{"--instance-id=7", "--domain", "2",
                                     "--return-path=127.0.0.2:7600",
                                     "--object-api=127.0.0.1:7400"};
  std::map<std::string, std::string> variables{{"SAPPHIRED_PEER_KEY", kKey}};

  [[nodiscard]] ParsedSettings Parse() const {
    return ParseSettings(
        arguments,
        [this](const std::string& name) -> std::optional<std::string> {
          const auto it = variables.find(name);
          if (it == variables.end()) return std::nullopt;
          return it->second;
        });
  }
  [[nodiscard]] bool HasError(const std::string& part) const {
    const auto errors = Parse().errors;
    return std::any_of(errors.begin(), errors.end(), [&](const auto& error) {
      return error.find(part) != std::string::npos;
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(settings, Fixture)

BOOST_AUTO_TEST_CASE(valid_settings_are_read) {
  arguments.insert(arguments.end(), {"--known-peers=8@3@127.0.0.9:7000",
                                     "--peer-address=::1", "--check"});
  const ParsedSettings parsed = Parse();
  BOOST_TEST(parsed.errors.empty());
  BOOST_TEST((parsed.mode == StartMode::kCheck));
  const Settings& settings = parsed.settings;
  BOOST_TEST((settings.instance_id == InstanceId{7}));
  BOOST_TEST((settings.domain == DomainId{2}));
  BOOST_TEST(settings.peer_key[31] == 0xaa);
  BOOST_TEST((settings.peer == *ParseEndpoint("[::1]:7000")));
  BOOST_TEST((settings.peers ==
              std::vector<KnownPeer>{{InstanceId{8}, DomainId{3},
                                      *ParseEndpoint("127.0.0.9:7000")}}));
  BOOST_TEST(settings.idle_timeout.count() == 900);
}

BOOST_AUTO_TEST_CASE(flags_override_environment_variables) {
  variables["SAPPHIRED_DATA_PORT"] = "6000";
  BOOST_TEST(Parse().settings.data.port == 6000);
  arguments.emplace_back("--data-port=6001");
  BOOST_TEST(Parse().settings.data.port == 6001);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  arguments = {"--instance-id=0",      "--domain=x",
               "--data-port=65536",    "--data-address=host",
               "--traffic-threads=65", "--drain-time=-1",
               "--log-level=loud",     "--known-peers=1@2@3",
               "--unknown=1",          "extra"};
  variables.clear();
  for (const char* part :
       {"setting=instance-id value=\"0\" expected=\"1 to 4294967295\"",
        "setting=domain value=\"x\"", "setting=data-port value=\"65536\"",
        "setting=data-address", "setting=traffic-threads value=\"65\"",
        "expected=\"0 to 3600 seconds\"", "setting=log-level",
        "setting=known-peers", "--unknown=1 is unknown", "extra is unknown",
        "setting=return-path is missing", "setting=object-api is missing",
        "setting=peer-key is missing"}) {
    BOOST_TEST(HasError(part), part);
  }
}

BOOST_AUTO_TEST_CASE(peer_keys_are_checked_and_never_printed) {
  for (const std::string& key :
       {kKey + "a", kKey.substr(1), kKey.substr(1) + "g", kKey + "aa"}) {
    variables["SAPPHIRED_PEER_KEY"] = key;
    BOOST_TEST(HasError("setting=peer-key"));
    BOOST_TEST(!HasError(key));
  }
}

BOOST_AUTO_TEST_CASE(help_and_version_need_no_settings) {
  arguments = {"--help"};
  BOOST_TEST((Parse().mode == StartMode::kHelp));
  arguments = {"--version"};
  BOOST_TEST((Parse().mode == StartMode::kVersion));
  BOOST_TEST(Parse().errors.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
