// Guards against errors that scripts or users cannot distinguish from each
// other or from success.
#include "sapphirestream/client/run_command.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <sstream>

#include "testing/fake_transport.h"

namespace sapphirestream {
namespace {

using testing::FakePause;
using testing::FakeTransport;

struct Fixture {
  int Run() {
    out.str({});
    err.str({});
    return RunCommand(command, transport, clock, random, {out, err});
  }

  FakeTransport transport;
  FakePause clock;
  SeededRandom random{1};
  std::ostringstream out;
  std::ostringstream err;
  Command command{
      {.instances = {*ParseEndpoint("127.0.0.11:7080")}, .author = "ada"},
      ChangeAction{{{"op", "switch_preset"}}}};
};

BOOST_FIXTURE_TEST_SUITE(run_command, Fixture)

// Guards against error kinds that share an exit code or have no text.
BOOST_AUTO_TEST_CASE(every_kind_has_its_own_exit_code_and_text) {
  std::set<int> codes;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    if (answer.http_status < 400) continue;
    BOOST_TEST_CONTEXT(answer.name) {
      const std::string body =
          R"({"error":")" + std::string(answer.name) + R"(","detail":"d1"})";
      transport.QueueResponse(Delivery::kAnswered, answer.http_status, body);
      const int code = Run();
      BOOST_TEST(code == answer.exit_code);
      BOOST_TEST(code != 0);
      BOOST_TEST(codes.insert(code).second);
      BOOST_TEST(err.str().find(std::string(answer.text)) != std::string::npos);
      const bool has_detail = err.str().find("d1") != std::string::npos;
      // An unknown outcome names the change id instead.
      BOOST_TEST((has_detail || answer.kind == ErrorKind::kOutcomeUnknown));
    }
  }
}

// Guards against a generated change id that is not printed: without it, the
// user cannot safely repeat a change whose answer was lost.
BOOST_AUTO_TEST_CASE(the_change_id_is_shown_on_failure) {
  transport.QueueResponse(Delivery::kNoAnswer);
  BOOST_TEST(Run() == AnswerFor(ErrorKind::kOutcomeUnknown).exit_code);
  const std::string& body = transport.sent().back().call.body;
  const std::string id = body.substr(body.find("\"id\":\"") + 6, 16);
  BOOST_TEST(err.str().find("change id " + id) != std::string::npos);
}

// Guards against a proxy's error page that counts as success or crashes the
// program.
BOOST_AUTO_TEST_CASE(an_unreadable_answer_is_an_error) {
  transport.QueueResponse(Delivery::kAnswered, 502, "<html>");
  BOOST_TEST(Run() == AnswerFor(ErrorKind::kInternal).exit_code);
  transport.QueueResponse(Delivery::kAnswered, 200, "<html>");
  BOOST_TEST(Run() == AnswerFor(ErrorKind::kOutcomeUnknown).exit_code);
}

// Guards against a dry run that waits for a version that is never accepted.
BOOST_AUTO_TEST_CASE(a_dry_run_shows_the_effect_and_does_not_wait) {
  command.options.dry_run = true;
  transport.QueueResponse(Delivery::kAnswered, 200,
                          R"({"version":8,"effect":{"buckets_moved":12}})");
  BOOST_TEST(Run() == 0);
  BOOST_TEST(out.str().find("effect.buckets_moved  12") != std::string::npos);
  BOOST_TEST(transport.sent().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
