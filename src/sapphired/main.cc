// sapphired: parses the settings and runs one instance until it is stopped.
#include <sodium.h>

#include <iostream>
#include <string>
#include <vector>

#include "sapphirestream/base/environment.h"
#include "sapphirestream/base/event_log.h"
#include "sapphirestream/base/system_clock.h"
#include "sapphirestream/instance/console_log_sink.h"
#include "sapphirestream/instance/instance.h"
#include "sapphirestream/instance/settings.h"
#include "sapphirestream/store/http_object_store.h"

namespace sapphirestream {
namespace {

// Exit codes, as printed by --help.
enum ExitCode : int {
  kStopped = 0,
  kInternalError = 1,
  kBadSettings = 2,
  kCannotOpen = 3,
};

constexpr const char* kVersion = "sapphired 0.1.0";

int RunInstance(const Settings& settings) {
  const SystemClock clock;
  ConsoleLogSink sink(settings.log_level);
  EventLog log(sink, clock);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(
            instance, Instance::Open(settings, clock, log,
                                     [&](boost::asio::io_context& io) {
                                       return std::make_unique<HttpObjectStore>(
                                           io, settings.object_api);
                                     }));
        instance->Run();
        return kStopped;
      },
      [&](const Error& error) -> int {
        log.Write(LogLevel::kError, "start_failed", {{"detail", error.detail}});
        return kCannotOpen;
      },
      [] { return static_cast<int>(kInternalError); });
}

int Main(const std::vector<std::string>& arguments) {
  if (sodium_init() < 0) return kInternalError;
  const ParsedSettings parsed = ParseSettings(arguments, ReadEnvironment);
  if (parsed.mode == StartMode::kHelp) {
    std::cout << SettingsHelp();
    return kStopped;
  }
  if (parsed.mode == StartMode::kVersion) {
    std::cout << kVersion << "\n";
    return kStopped;
  }
  for (const std::string& error : parsed.errors) {
    std::cerr << "error=bad_setting " << error << "\n";
  }
  if (!parsed.errors.empty()) return kBadSettings;
  if (parsed.mode == StartMode::kCheck) {
    std::cout << "settings are valid\n";
    return kStopped;
  }
  return RunInstance(parsed.settings);
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
