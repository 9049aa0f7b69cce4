// Main program of an edge instance: reads the settings and runs the instance
// until it is stopped.
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/edge_platform.h"
#include "sapphirestream/base/environment.h"
#include "sapphirestream/base/system_clock.h"
#include "sapphirestream/edge_io/edge_instance.h"
#include "sapphirestream/edge_io/edge_settings.h"

namespace sapphirestream {
namespace {

// Exit codes; documented in the output of --help.
enum ExitCode : int {
  kStopped = 0,
  kInternalError = 1,
  kInvalidSettings = 2,
  kCannotOpen = 3,
};

constexpr const char* kVersion = "sapphire_edge 0.1.0";

// Returns the content of the settings file; empty if there is none.
std::string ReadSettingsFile() {
  const auto path = ReadEnvironment(platform::kSettingsPathVariable);
  if (!path) return {};
  std::ifstream file(*path);
  return {std::istreambuf_iterator<char>(file), {}};
}

int RunInstance(const std::vector<std::string>& arguments,
                const EdgeSettings& settings, std::string text) {
  const SystemClock clock;
  LineWriter lines(STDOUT_FILENO, clock, settings.log_level);
  EventLog log(lines, clock, static_cast<int>(settings.log_lines));
  const auto platform = platform::MakeEdgePlatform();
  const auto reload = [&]() -> std::optional<EdgeSettings> {
    std::string next = ReadSettingsFile();
    if (next == text) return std::nullopt;
    text = std::move(next);
    const ParsedEdgeSettings parsed =
        ParseEdgeSettings(arguments, ReadEnvironment, text);
    for (const std::string& error : parsed.errors) {
      log.Write(LogLevel::kError, "bad_setting", {{"detail", error}});
    }
    if (!parsed.errors.empty()) return std::nullopt;
    return parsed.settings;
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(instance, EdgeInstance::Open(settings, *platform, clock,
                                                     lines, log, reload));
        instance->Run();
        return kStopped;
      },
      [&](const Error& error) -> int {
        log.Write(LogLevel::kError, "start_failed", {{"detail", error.detail}});
        lines.Flush();
        return kCannotOpen;
      },
      [] { return static_cast<int>(kInternalError); });
}

int Main(const std::vector<std::string>& arguments) {
  std::string text = ReadSettingsFile();
  const ParsedEdgeSettings parsed =
      ParseEdgeSettings(arguments, ReadEnvironment, text);
  if (parsed.mode == EdgeStartMode::kHelp) {
    std::cout << EdgeSettingsHelp();
    return kStopped;
  }
  if (parsed.mode == EdgeStartMode::kVersion) {
    std::cout << kVersion << "\n";
    return kStopped;
  }
  for (const std::string& error : parsed.errors) {
    std::cerr << "error=bad_setting " << error << "\n";
  }
  if (!parsed.errors.empty()) return kInvalidSettings;
  if (parsed.mode == EdgeStartMode::kCheck) {
    std::cout << "settings are valid\n";
    return kStopped;
  }
  return RunInstance(arguments, parsed.settings, std::move(text));
}

}  // namespace
}  // namespace sapphirestream

int main(int argc, char** argv) {
  try {
    return sapphirestream::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "error=internal detail=\"" << error.what() << "\"\n";
    return 1;
  }
}
