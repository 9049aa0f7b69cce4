// Session scripts; docs/sessions.md describes the format.
#ifndef SAPPHIRESTREAM_TEST_SESSION_SCRIPT_H_
#define SAPPHIRESTREAM_TEST_SESSION_SCRIPT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirestream::session {

// The key=value arguments of a line. Throws if a value is missing or malformed.
class Arguments {
 public:
  Arguments() = default;
  explicit Arguments(const std::string& words);
  [[nodiscard]] const std::string& Text(const std::string& key) const {
    return values_.at(key);
  }
  [[nodiscard]] std::uint32_t Number(const std::string& key) const;
  [[nodiscard]] std::uint32_t Number(const std::string& key,
                                     std::uint32_t fallback) const {
    return values_.contains(key) ? Number(key) : fallback;
  }

 private:
  std::map<std::string, std::string> values_;
};

struct Step {
  std::chrono::milliseconds at{};
  std::string verb;
  Arguments arguments;
  // The arguments as written, each preceded by a space.
  std::string text;
};

struct Script {
  // System under test, the first word: `fleet`, `store` or `edge`.
  std::string system;
  Arguments options;
  std::vector<Step> steps;
  // End of the session, from the last line, `run <ms>`.
  std::chrono::milliseconds end{};
};

// Result of playing a script.
struct Outcome {
  std::string record;
  // Descriptions of violated invariants; empty if there are none.
  std::vector<std::string> violations;
};

// Throws std::exception if the text is malformed.
[[nodiscard]] Script ParseScript(const std::string& text);
// Plays a script of `fleet`: several instances with packets and faults.
[[nodiscard]] Outcome PlayFleet(const Script& script);
// Plays a script of `store`: operators that change a configuration.
[[nodiscard]] Outcome PlayStore(const Script& script);
// Plays a script of `edge`: flows that are steered by tokens, and faults.
[[nodiscard]] Outcome PlayEdge(const Script& script);

}  // namespace sapphirestream::session

#endif  // SAPPHIRESTREAM_TEST_SESSION_SCRIPT_H_
