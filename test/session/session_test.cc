// Golden-file tests of complete sessions: each test/session/golden/NAME.in is a
// script, and playing it must produce NAME.out byte for byte. Guards against
// changed decisions that no test of a single module detects.
// SAPPHIRE_REGENERATE=1 rewrites the records; the invariants are checked in
// that case too. docs/sessions.md describes the format.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "test/session/script.h"

namespace sapphirestream::session {
namespace {

namespace fs = std::filesystem;
namespace ut = boost::unit_test;

constexpr const char* kFolder = "test/session/golden";

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool IsRegenerating() {
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* value = std::getenv("SAPPHIRE_REGENERATE");
  return value != nullptr && std::string(value) == "1";
}

// Returns the first line that differs, with its number.
std::string FirstDifference(const std::string& expected,
                            const std::string& actual) {
  std::istringstream a(expected);
  std::istringstream b(actual);
  std::ostringstream text;
  for (int number = 1;; ++number) {
    std::string x;
    std::string y;
    const bool has_x = static_cast<bool>(std::getline(a, x));
    const bool has_y = static_cast<bool>(std::getline(b, y));
    if (has_x && has_y && x == y) continue;
    text << "line " << number << "\n  expected: " << (has_x ? x : "(end)")
         << "\n  actual:   " << (has_y ? y : "(end)");
    return text.str();
  }
}

// Whether KNOWN-RED.txt lists the session as violating an invariant.
bool IsKnownFailure(const std::string& name) {
  std::istringstream lines(ReadFile("KNOWN-RED.txt"));
  for (std::string line; std::getline(lines, line);) {
    if (line == "test: session_test sessions/" + name) return true;
  }
  return false;
}

void CheckInvariants(const std::string& name, const Outcome& outcome) {
  const bool is_known = IsKnownFailure(name);
  for (const std::string& violation : outcome.violations) {
    if (is_known) {
      std::cout << "known red: " << name << ": " << violation << '\n';
    } else {
      BOOST_ERROR(violation);
    }
  }
  if (is_known && outcome.violations.empty()) {
    BOOST_ERROR("violates no invariant; remove it from KNOWN-RED.txt");
  }
}

Outcome Play(const Script& script) {
  if (script.system == "store") return PlayStore(script);
  return script.system == "edge" ? PlayEdge(script) : PlayFleet(script);
}

void CheckSession(const std::string& name) {
  const std::string text = ReadFile(fs::path(kFolder) / (name + ".in"));
  BOOST_TEST(text.starts_with("# Guards against "));
  const Script script = ParseScript(text);
  const Outcome outcome = Play(script);
  CheckInvariants(name, outcome);
  const fs::path golden = fs::path(kFolder) / (name + ".out");
  if (IsRegenerating()) {
    std::ofstream(golden, std::ios::binary) << outcome.record;
    return;
  }
  const std::string expected = ReadFile(golden);
  if (outcome.record == expected) return;
  BOOST_ERROR(golden.string()
              << " differs at " << FirstDifference(expected, outcome.record));
}

std::set<std::string> Names(const std::string& extension) {
  std::set<std::string> names;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(fs::path(kFolder), error)) {
    if (entry.path().extension() == extension) {
      names.insert(entry.path().stem().string());
    }
  }
  return names;
}

bool RegisterSessions() {
  for (const std::string& name : Names(".in")) {
    ut::framework::current_auto_test_suite().add(ut::make_test_case(
        [name] { CheckSession(name); }, name, __FILE__, __LINE__));
  }
  return true;
}

BOOST_AUTO_TEST_SUITE(sessions)

const bool kIsRegistered = RegisterSessions();

// Guards against a run in the wrong folder, which would find no sessions.
BOOST_AUTO_TEST_CASE(every_script_has_a_record) {
  BOOST_TEST(kIsRegistered);
  BOOST_TEST(Names(".in").size() >= 12U);
  BOOST_TEST((Names(".in") == Names(".out")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream::session
