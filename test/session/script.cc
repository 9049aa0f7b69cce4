// Parsing of session scripts.
#include "test/session/script.h"

#include <sstream>
#include <stdexcept>

namespace sapphirestream::session {

Arguments::Arguments(const std::string& words) {
  std::istringstream in(words);
  for (std::string word; in >> word;) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      throw std::runtime_error("argument is not key=value: " + word);
    }
    values_[word.substr(0, equals)] = word.substr(equals + 1);
  }
}

std::uint32_t Arguments::Number(const std::string& key) const {
  return static_cast<std::uint32_t>(std::stoul(Text(key)));
}

Script ParseScript(const std::string& text) {
  Script script;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line.front() == '#') continue;
    std::istringstream words(line);
    std::string word;
    words >> word;
    std::string rest;
    if (script.system.empty()) {
      script.system = word;
      std::getline(words, rest);
      script.options = Arguments(rest);
      continue;
    }
    Step step;
    std::int64_t at = -1;
    words >> at;
    step.at = std::chrono::milliseconds(at);
    if (word == "run") {
      script.end = step.at;
      continue;
    }
    words >> step.verb;
    if (word != "at" || at < 0 || step.verb.empty()) {
      throw std::runtime_error("line is neither `at` nor `run`: " + line);
    }
    std::getline(words, step.text);
    step.arguments = Arguments(step.text);
    script.steps.push_back(std::move(step));
  }
  return script;
}

}  // namespace sapphirestream::session
