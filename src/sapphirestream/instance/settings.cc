// Parsing of the settings of an instance.
#include "sapphirestream/instance/settings.h"

#include <sodium.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <map>
#include <sstream>
#include <utility>

namespace sapphirestream {
namespace {

namespace po = boost::program_options;

struct SettingSpec {
  const char* name;
  // Null if the setting is required.
  const char* default_value;
  const char* description;
};

constexpr std::uint64_t kMaxTableCapacity = 16'000'000;

// ReadSettings below checks the ranges.
constexpr SettingSpec kSettingSpecs[] = {
    {"instance-id", nullptr, "id of this instance, 1 to 4294967295"},
    {"domain", nullptr, "failure domain of this instance, 1 to 65535"},
    {"data-address", "0.0.0.0", "listen address for packets from the fabric"},
    {"data-port", "6081", "UDP port for packets from the fabric, 1 to 65535"},
    {"peer-address", "0.0.0.0",
     "listen address for messages from other instances"},
    {"peer-port", "7000",
     "UDP port for messages from other instances, 1 to 65535"},
    {"http-address", "127.0.0.1", "listen address of the operator API"},
    {"http-port", "8080", "TCP port of the operator API, 1 to 65535"},
    {"report-address", "0.0.0.0", "listen address for load reports of targets"},
    {"report-port", "7001", "UDP port for load reports of targets, 1 to 65535"},
    {"return-path", nullptr,
     "endpoint of the fabric that delivers answers to clients (host:port)"},
    {"object-api", nullptr,
     "endpoint of the platform's object API (host:port)"},
    {"known-peers", "",
     "instances to contact while the platform's instance list is unavailable "
     "(id@domain@host:port,...)"},
    {"peer-key", nullptr,
     "key shared by all instances, 64 hexadecimal digits; better given as an "
     "environment variable, since flags are visible to other users"},
    {"traffic-threads", "1", "threads that forward packets, 1 to 64"},
    {"learned-capacity", "65536",
     "learned flows per traffic thread, 1 to 16000000"},
    {"record-capacity", "1000000",
     "maximum number of flow records, 1 to 16000000"},
    {"hold-capacity", "4096",
     "maximum number of first packets that wait for a slot or a replica, "
     "1 to 16000000"},
    {"idle-timeout", "900",
     "seconds after which the record of an idle flow expires, 1 to "
     "86400"},
    {"drain-time", "10",
     "seconds of forwarding after a stop was requested, 0 to 3600"},
    {"log-level", "info", "one of debug, info, warn, error"},
};

std::string EnvironmentName(std::string_view name) {
  std::string out = "SAPPHIRED_";
  for (const char c : name) {
    out += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return out;
}

po::options_description MakeOptions() {
  po::options_description options("Settings");
  for (const SettingSpec& spec : kSettingSpecs) {
    std::string text = spec.description;
    if (spec.default_value == nullptr) text += "; required";
    if (spec.default_value != nullptr && *spec.default_value != '\0') {
      text += std::string("; default ") + spec.default_value;
    }
    options.add_options()(
        spec.name, po::value<std::string>()->value_name("arg"), text.c_str());
  }
  options.add_options()("help", "print this text and exit")(
      "version", "print the version and exit")("check",
                                               "check the settings and exit");
  return options;
}

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> items;
  std::istringstream in(list);
  for (std::string item; std::getline(in, item, ',');) items.push_back(item);
  return items;
}

template <typename T>
bool ParseNumber(std::string_view text, T& out) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc{} && end == text.data() + text.size();
}

// Parses raw values one at a time and collects the errors.
class SettingReader {
 public:
  SettingReader(std::map<std::string, std::string> raw,
                std::vector<std::string>& errors)
      : raw_(std::move(raw)), errors_(errors) {}

  void AddError(const std::string& name, const std::string& value,
                const std::string& range) {
    errors_.push_back("setting=" + name + " value=\"" + value +
                      "\" expected=\"" + range + "\"");
  }

  // Parses a number in [low, high]; `unit` may be empty.
  template <typename T>
  T Number(const std::string& name, std::uint64_t low, std::uint64_t high,
           const std::string& unit) {
    std::uint64_t value = 0;
    const std::string* text = Find(name);
    if (text == nullptr) return T{};
    if (ParseNumber(*text, value) && value >= low && value <= high) {
      return static_cast<T>(value);
    }
    AddError(name, *text,
             std::to_string(low) + " to " + std::to_string(high) +
                 (unit.empty() ? "" : " " + unit));
    return T{};
  }

  Endpoint AddressAndPort(const std::string& prefix) {
    Endpoint endpoint;
    endpoint.port = Number<std::uint16_t>(prefix + "-port", 1, 65'535, "");
    const std::string name = prefix + "-address";
    if (const std::string* text = Find(name)) {
      if (const auto address = ParseAddress(*text)) {
        endpoint.address = *address;
      } else {
        AddError(name, *text, "an IPv4 or IPv6 address");
      }
    }
    return endpoint;
  }

  Endpoint OneEndpoint(const std::string& name) {
    const std::string* text = Find(name);
    if (text == nullptr) return {};
    if (const auto endpoint = ParseEndpoint(*text)) return *endpoint;
    AddError(name, *text, "host:port");
    return {};
  }

  // Converts each item of a comma-separated list by `parse(item) -> optional`.
  template <typename Parse>
  auto List(const std::string& name, const std::string& range, Parse parse) {
    std::vector<typename decltype(parse(std::string{}))::value_type> out;
    const std::string* text = Find(name);
    if (text == nullptr) return out;
    for (const std::string& item : Split(*text)) {
      if (auto value = parse(item)) {
        out.push_back(std::move(*value));
      } else {
        AddError(name, item, range);
      }
    }
    return out;
  }

  // Returns the raw text, or null if the setting is missing;
  // CollectValues has reported that.
  [[nodiscard]] const std::string* Find(const std::string& name) const {
    const auto it = raw_.find(name);
    return it == raw_.end() ? nullptr : &it->second;
  }

 private:
  std::map<std::string, std::string> raw_;
  std::vector<std::string>& errors_;
};

std::optional<KnownPeer> ParseKnownPeer(const std::string& text) {
  const std::size_t first = text.find('@');
  const std::size_t second = text.find('@', first + 1);
  if (first == std::string::npos || second == std::string::npos) return {};
  std::uint32_t id = 0;
  std::uint16_t domain = 0;
  const std::string_view view(text);
  const auto endpoint = ParseEndpoint(view.substr(second + 1));
  if (!ParseNumber(view.substr(0, first), id) || id == 0 ||
      !ParseNumber(view.substr(first + 1, second - first - 1), domain) ||
      domain == 0 || !endpoint) {
    return {};
  }
  return KnownPeer{InstanceId{id}, DomainId{domain}, *endpoint};
}

PeerKey ReadPeerKey(SettingReader& reader) {
  PeerKey key{};
  const std::string* text = reader.Find("peer-key");
  if (text == nullptr) return key;
  std::size_t size = 0;
  const bool is_hex =
      sodium_hex2bin(key.data(), key.size(), text->data(), text->size(),
                     nullptr, &size, nullptr) == 0;
  if (!is_hex || size != key.size() || text->size() != 2 * key.size()) {
    // The value is not printed, since it may be the real key with a typo.
    reader.AddError("peer-key", "(hidden)", "64 hexadecimal digits");
  }
  return key;
}

LogLevel ReadLogLevel(SettingReader& reader) {
  const std::string* text = reader.Find("log-level");
  if (text == nullptr) return LogLevel::kInfo;
  if (const auto level = ParseLogLevel(*text)) return *level;
  reader.AddError("log-level", *text, "debug, info, warn or error");
  return LogLevel::kInfo;
}

Settings ReadSettings(SettingReader& reader) {
  constexpr std::uint64_t k_day = 86'400;
  Settings out;
  out.instance_id = reader.Number<InstanceId>("instance-id", 1, 0xffffffff, "");
  out.domain = reader.Number<DomainId>("domain", 1, 0xffff, "");
  out.data = reader.AddressAndPort("data");
  out.peer = reader.AddressAndPort("peer");
  out.http = reader.AddressAndPort("http");
  out.report = reader.AddressAndPort("report");
  out.return_path = reader.OneEndpoint("return-path");
  out.object_api = reader.OneEndpoint("object-api");
  out.peers = reader.List("known-peers", "id@domain@host:port", ParseKnownPeer);
  out.peer_key = ReadPeerKey(reader);
  out.traffic_threads = reader.Number<std::uint32_t>(
      "traffic-threads", 1, kMaxPeerChannels - 1U, "threads");
  out.learned_capacity = reader.Number<std::size_t>("learned-capacity", 1,
                                                    kMaxTableCapacity, "flows");
  out.record_capacity = reader.Number<std::size_t>("record-capacity", 1,
                                                   kMaxTableCapacity, "flows");
  out.hold_capacity = reader.Number<std::size_t>("hold-capacity", 1,
                                                 kMaxTableCapacity, "packets");
  out.idle_timeout = std::chrono::seconds(
      reader.Number<std::int64_t>("idle-timeout", 1, k_day, "seconds"));
  out.drain_time = std::chrono::seconds(
      reader.Number<std::int64_t>("drain-time", 0, 3'600, "seconds"));
  out.log_level = ReadLogLevel(reader);
  return out;
}

// Collects the raw values. Flags override environment variables, and these
// override defaults.
std::map<std::string, std::string> CollectValues(
    const po::variables_map& flags, const Environment& environment,
    std::vector<std::string>& errors) {
  std::map<std::string, std::string> raw;
  for (const SettingSpec& spec : kSettingSpecs) {
    if (flags.contains(spec.name)) {
      raw[spec.name] = flags[spec.name].as<std::string>();
    } else if (auto value = environment(EnvironmentName(spec.name))) {
      raw[spec.name] = *value;
    } else if (spec.default_value != nullptr) {
      raw[spec.name] = spec.default_value;
    }
    const auto it = raw.find(spec.name);
    const bool is_missing = spec.default_value == nullptr &&
                            (it == raw.end() || it->second.empty());
    if (is_missing) {
      raw.erase(spec.name);
      errors.push_back(std::string("setting=") + spec.name +
                       " is missing; expected=\"" + spec.description + "\"");
    }
  }
  return raw;
}

}  // namespace

ParsedSettings ParseSettings(const std::vector<std::string>& arguments,
                             const Environment& environment) {
  ParsedSettings out;
  po::variables_map flags;
  try {
    const auto options = MakeOptions();
    const auto parsed = po::command_line_parser(arguments)
                            .options(options)
                            .style(po::command_line_style::default_style &
                                   ~po::command_line_style::allow_guessing)
                            .allow_unregistered()
                            .run();
    for (const std::string& unknown :
         po::collect_unrecognized(parsed.options, po::include_positional)) {
      out.errors.push_back("setting=" + unknown + " is unknown");
    }
    po::store(parsed, flags);
  } catch (const po::error& error) {
    out.errors.emplace_back(error.what());
  }
  if (flags.contains("help")) {
    return {.mode = StartMode::kHelp, .settings = {}, .errors = {}};
  }
  if (flags.contains("version")) {
    return {.mode = StartMode::kVersion, .settings = {}, .errors = {}};
  }
  if (flags.contains("check")) out.mode = StartMode::kCheck;
  SettingReader reader(CollectValues(flags, environment, out.errors),
                       out.errors);
  out.settings = ReadSettings(reader);
  return out;
}

std::string SettingsHelp() {
  std::ostringstream out;
  out << "Usage: sapphired [--name value]...\n"
         "Forwards encapsulated packets to the targets of services. Each "
         "setting is a flag\n"
         "(--peer-port) or an environment variable (SAPPHIRED_PEER_PORT); the "
         "flag takes precedence.\n\n"
      << MakeOptions()
      << "\nExit codes: 0 clean shutdown or check passed, 1 internal "
         "error,\n2 invalid settings, 3 a socket could not be opened.\n";
  return out.str();
}

}  // namespace sapphirestream
