#include "sapphirestream/edge_io/edge_settings.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>

namespace sapphirestream {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kVariablePrefix = "SAPPHIRE_EDGE_";

// Describes one setting.
struct SettingRow {
  const char* name;
  const char* default_value;  // parsed if the setting is missing
  const char* help;
  // Parses `value` and assigns it. Returns an error message, empty on success.
  std::string (*assign)(std::string_view value, EdgeSettings& settings);
};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::string AssignText(std::string_view value, std::string& out) {
  if (value.empty()) return "must not be empty";
  out = value;
  return {};
}

std::string AssignEndpoint(std::string_view value, Endpoint& out) {
  const auto endpoint = ParseEndpoint(value);
  if (!endpoint || !endpoint->address.is_v4()) {
    return "must be an IPv4 address and port, e.g. 127.0.0.1:80";
  }
  out = *endpoint;
  return {};
}

template <typename Number>
std::string AssignNumber(std::string_view value, std::uint64_t min,
                         std::uint64_t max, std::string_view unit,
                         Number& out) {
  const auto number = ParseNumber(value);
  if (!number || *number < min || *number > max) {
    return "must be " + std::to_string(min) + " to " + std::to_string(max) +
           " " + std::string(unit);
  }
  out = static_cast<Number>(*number);
  return {};
}

// Assigns a number of `Unit`, which may be a fraction, in whole milliseconds.
template <typename Unit>
std::string AssignTime(std::string_view value, Unit min, Unit max,
                       std::string_view unit, std::chrono::milliseconds& out) {
  using Fraction = std::chrono::duration<double, typename Unit::period>;
  double number = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), number);
  // Not a number compares as false.
  const bool is_valid = error == std::errc{} &&
                        end == value.data() + value.size() &&
                        Fraction(number) >= min && Fraction(number) <= max;
  if (!is_valid) {
    return "must be " + std::to_string(min.count()) + " to " +
           std::to_string(max.count()) + " " + std::string(unit);
  }
  out = std::chrono::duration_cast<std::chrono::milliseconds>(Fraction(number));
  return {};
}

std::string AssignMs(std::string_view value, std::int64_t min, std::int64_t max,
                     std::chrono::milliseconds& out) {
  return AssignTime(value, std::chrono::milliseconds(min),
                    std::chrono::milliseconds(max), "ms", out);
}

// Splits a comma-separated list; returns no empty items.
std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> items;
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    if (end > 0) items.emplace_back(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return items;
}

std::string AssignEndpoints(std::string_view value,
                            std::vector<Endpoint>& out) {
  out.clear();
  for (const std::string& item : SplitList(value)) {
    if (std::string error = AssignEndpoint(item, out.emplace_back());
        !error.empty()) {
      return error;
    }
  }
  return {};
}

// All settings, in the order of --help.
constexpr std::array kSettings{
    SettingRow{"name", "", "name of this instance in logs",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignText(v, s.name);
               }},
    SettingRow{"domain", "", "failure domain of this instance",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignText(v, s.domain);
               }},
    SettingRow{"data", "", "address:port for client packets (UDP)",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignEndpoint(v, s.data);
               }},
    SettingRow{"ready", "", "address:port for readiness checks (HTTP)",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignEndpoint(v, s.ready);
               }},
    SettingRow{"metrics", "", "address:port for metrics (HTTP)",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignEndpoint(v, s.metrics);
               }},
    SettingRow{"store", "", "address:port of the platform's store",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignEndpoint(v, s.store);
               }},
    SettingRow{"store-id", "",
               "identity of the store, the same on all instances; empty: its "
               "address",
               [](std::string_view v, EdgeSettings& s) {
                 s.store_id = v;
                 return std::string();
               }},
    SettingRow{"grace-s", "6", "seconds between the stop request and the kill",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignTime(v, std::chrono::seconds(1),
                                   std::chrono::seconds(600), "seconds",
                                   s.grace);
               }},
    SettingRow{"watch-wait-ms", "20000",
               "long-poll timeout of configuration watches in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 100, 30000, s.watch_wait);
               }},
    SettingRow{"cached-wait-ms", "3000",
               "long-poll timeout of target watches in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 100, 30000, s.cached_wait);
               }},
    SettingRow{"target-pause-ms", "1500",
               "minimum time between target watches in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 0, 10000, s.target_pause);
               }},
    SettingRow{"drain-bound-ms", "3000",
               "time after which a draining target must get no new flows in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 10, 600000, s.drain_bound);
               }},
    SettingRow{"config-pause-ms", "500",
               "minimum time between configuration watches in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 0, 10000, s.config_pause);
               }},
    SettingRow{"config-bound-ms", "2000",
               "time within which a configuration must take effect in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 10, 600000, s.config_bound);
               }},
    SettingRow{"rules", "", "comma-separated rules of the platform in force",
               [](std::string_view v, EdgeSettings& s) -> std::string {
                 s.rules = SplitList(v);
                 return {};
               }},
    SettingRow{"evacuation-bound-ms", "",
               "time after which an evacuated failure domain must get no new "
               "flows in ms; empty if domains are not evacuated",
               [](std::string_view v, EdgeSettings& s) -> std::string {
                 s.evacuation_bound = {};
                 if (v.empty()) return {};
                 return AssignMs(v, 10, 600000, s.evacuation_bound);
               }},
    SettingRow{"seeds", "",
               "comma-separated addresses of other instances; may be stale",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignEndpoints(v, s.seeds);
               }},
    SettingRow{"peer", "", "address:port for messages between instances (UDP)",
               [](std::string_view v, EdgeSettings& s) -> std::string {
                 s.peer.reset();
                 if (v.empty()) return {};
                 return AssignEndpoint(v, s.peer.emplace());
               }},
    SettingRow{"heartbeat-ms", "1200",
               "interval at which targets confirm their entries in ms",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignMs(v, 10, 600000, s.heartbeat);
               }},
    SettingRow{"address-reuse-s", "",
               "shortest time between the end of a target and the start of "
               "another one at its address in seconds; empty if not known",
               [](std::string_view v, EdgeSettings& s) -> std::string {
                 s.address_reuse = {};
                 if (v.empty()) return {};
                 return AssignTime(v, std::chrono::seconds(0),
                                   std::chrono::seconds(3600), "seconds",
                                   s.address_reuse);
               }},
    SettingRow{"flow-capacity", "2048",
               "flows tracked for load and failure detection",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignNumber(v, 8, 1U << 24U, "flows", s.flow_capacity);
               }},
    SettingRow{"log-lines", "2000", "maximum log lines per event in 10 s",
               [](std::string_view v, EdgeSettings& s) {
                 return AssignNumber(v, 1, 1000000, "lines", s.log_lines);
               }},
    SettingRow{"log-level", "info", "debug, info, warn or error",
               [](std::string_view v, EdgeSettings& s) -> std::string {
                 const auto level = ParseLogLevel(v);
                 if (!level) return "must be debug, info, warn or error";
                 s.log_level = *level;
                 return {};
               }},
};

po::options_description Options() {
  po::options_description options("Settings");
  for (const SettingRow& row : kSettings) {
    options.add_options()(row.name, po::value<std::string>(), row.help);
  }
  return options;
}

// Flags that cannot be set in the settings file, in addition to all settings.
// Unknown lines of the file are ignored: they may belong to other programs.
po::options_description FlagOptions() {
  po::options_description options = Options();
  options.add_options()("check", "validate the settings and exit")(
      "help", "print this help and exit")("version",
                                          "print the version and exit");
  return options;
}

std::string EnvironmentVariableOf(std::string_view name) {
  std::string out(kVariablePrefix);
  std::transform(name.begin(), name.end(), std::back_inserter(out), [](char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return out;
}

EdgeStartMode ModeOf(const po::variables_map& flags) {
  if (flags.count("help") != 0) return EdgeStartMode::kHelp;
  if (flags.count("version") != 0) return EdgeStartMode::kVersion;
  return flags.count("check") != 0 ? EdgeStartMode::kCheck
                                   : EdgeStartMode::kRun;
}

void AssignAll(const po::variables_map& values, const Environment& environment,
               ParsedEdgeSettings& out) {
  for (const SettingRow& row : kSettings) {
    std::string value = row.default_value;
    // Flags were stored first and so take precedence over the file. Environment
    // variables rank between the two.
    const bool is_flag = values.count(std::string("flag:") + row.name) != 0;
    if (values.count(row.name) != 0) value = values[row.name].as<std::string>();
    if (const auto variable = environment(EnvironmentVariableOf(row.name));
        variable && !is_flag) {
      value = *variable;
    }
    if (const std::string error = row.assign(value, out.settings);
        !error.empty()) {
      std::string line = "name=";
      line.append(row.name).append(" value=\"").append(value);
      line.append("\" ").append(error);
      out.errors.push_back(std::move(line));
    }
  }
}

}  // namespace

std::string_view Name(PlatformRule rule) noexcept {
  constexpr std::array<std::string_view, 2> names{"health", "places"};
  return names[static_cast<std::size_t>(rule)];
}

bool EdgeSettings::IsInForce(PlatformRule rule) const {
  return std::find(rules.begin(), rules.end(), Name(rule)) != rules.end();
}

std::chrono::milliseconds ConfigWatchInterval(
    const EdgeSettings& settings) noexcept {
  // The rest of the bound is left for a slow reply and a repeated call.
  constexpr int bound_divisor = 4;
  return std::max(settings.config_pause, settings.config_bound / bound_divisor);
}

ParsedEdgeSettings ParseEdgeSettings(const std::vector<std::string>& arguments,
                                     const Environment& environment,
                                     const std::string& file) {
  ParsedEdgeSettings out;
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(FlagOptions()).run(),
              values);
    out.mode = ModeOf(values);
    // Marks the settings given as flags: a variable overrides the file, but not
    // a flag.
    for (const SettingRow& row : kSettings) {
      if (values.count(row.name) != 0) {
        values.emplace(std::string("flag:") + row.name, po::variable_value());
      }
    }
    std::istringstream lines(file);
    po::store(po::parse_config_file(lines, Options(),
                                    /*allow_unregistered=*/true),
              values);
  } catch (const po::error& error) {
    out.errors.emplace_back(error.what());
  }
  if (out.mode == EdgeStartMode::kRun || out.mode == EdgeStartMode::kCheck) {
    AssignAll(values, environment, out);
  }
  return out;
}

std::string EdgeSettingsHelp() {
  std::ostringstream out;
  out << "sapphire_edge: forwards flows by token to the targets listed in the "
         "platform's store\n"
         "Each setting is read from a flag, a variable SAPPHIRE_EDGE_NAME or a "
         "line\n"
         "`name = value` of the settings file, in this order of precedence.\n"
      << FlagOptions()
      << "Exit codes: 0 stopped, 1 internal error, 2 invalid settings, "
         "3 an address cannot be opened\n";
  return out.str();
}

}  // namespace sapphirestream
