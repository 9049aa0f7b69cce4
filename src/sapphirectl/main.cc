// sapphirectl: the command-line client for operators.
#include <unistd.h>

#include <chrono>
#include <exception>
#include <iostream>
#include <random>
#include <string>
#include <string_view>
#include <thread>

#include "sapphirestream/client/beast_transport.h"
#include "sapphirestream/client/command_line.h"
#include "sapphirestream/client/run_command.h"

namespace sapphirestream {
namespace {

class SteadySleepClock final : public SleepClock {
 public:
  [[nodiscard]] TimePoint Now() const noexcept override {
    return std::chrono::steady_clock::now();
  }
  void Sleep(Duration time) override { std::this_thread::sleep_for(time); }
};

ClientEnvironment ReadEnvironment() {
  ClientEnvironment result;
  for (char** item = environ; *item != nullptr; ++item) {
    const std::string_view text(*item);
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = text.substr(0, equals);
    if (name == "USER" || name.starts_with("SAPPHIRECTL_")) {
      result.emplace(name, text.substr(equals + 1));
    }
  }
  return result;
}

int Main(const std::vector<std::string>& arguments) {
  const Streams streams{std::cout, std::cerr};
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(command,
                        ParseCommandLine(arguments, ReadEnvironment(), now));
        BeastTransport transport;
        SteadySleepClock clock;
        std::random_device device;
        SeededRandom random((std::uint64_t{device()} << 32) | device());
        return RunCommand(command, transport, clock, random, streams);
      },
      [&](const Error& error) {
        return ReportError(error, OutputFormat::kTable, streams);
      },
      [&] { return ReportError({}, OutputFormat::kTable, streams); });
}

}  // namespace
}  // namespace sapphirestream

int main(int argc, char** argv) {
  try {
    return sapphirestream::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "sapphirectl: " << error.what() << '\n';
    return 1;
  }
}
