// Maps positional arguments and flags to an operation by the table of commands.
#include "sapphirestream/client/command_line.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "sapphirestream/client/command_table.h"
#include "sapphirestream/client/time_format.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;
namespace po = boost::program_options;
using internal::Commands;
using internal::CommandSpec;
using internal::FieldType;
using internal::FlagSpec;

constexpr std::string_view kVersionText = "sapphirectl 0.1.0\n";
constexpr std::int64_t kMaxTimeoutSeconds = 600;

// Collects all errors, so that the user sees them at once.
class ErrorList {
 public:
  void Add(const std::string& text) {
    text_ += (text_.empty() ? "" : "; ") + text;
  }
  [[nodiscard]] bool empty() const noexcept { return text_.empty(); }
  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  std::string text_;
};

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc{} || stop != end) return std::nullopt;
  return value;
}

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> items;
  std::istringstream stream(list);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

std::optional<json::value> ParseField(FieldType type, const std::string& text,
                                      WallTime now) {
  switch (type) {
    case FieldType::kText:
      return json::value(text);
    case FieldType::kFalse:
      return json::value(false);
    case FieldType::kNumber: {
      const auto number = ParseNumber(text);
      if (!number) return std::nullopt;
      return json::value(*number);
    }
    case FieldType::kTime: {
      const auto time = ParseTime(text, now);
      if (!time) return std::nullopt;
      return json::value(time->time_since_epoch().count());
    }
    case FieldType::kNumbers: {
      json::array numbers;
      for (const std::string& item : Split(text)) {
        const auto number = ParseNumber(item);
        if (!number) return std::nullopt;
        numbers.emplace_back(*number);
      }
      return json::value(std::move(numbers));
    }
  }
  return std::nullopt;
}

std::string_view ExpectedFormat(FieldType type) {
  switch (type) {
    case FieldType::kNumber:
      return "a whole number";
    case FieldType::kTime:
      return "now, +90s, +15m, +2h or UTC as 2026-12-04T18:00:00Z";
    case FieldType::kNumbers:
      return "whole numbers separated by commas";
    case FieldType::kText:
    case FieldType::kFalse:
      break;
  }
  return "a text";
}

po::options_description GlobalOptions() {
  po::options_description options("Options");
  auto add = options.add_options();
  add("instances", po::value<std::string>(),
      "instances to contact, HOST:PORT[,HOST:PORT...]; the next one is tried "
      "if one does not answer");
  add("output", po::value<std::string>(), "table (default) or json");
  add("dry-run", "show the effect of a change without applying it");
  add("author", po::value<std::string>(),
      "author of the change; default: USER");
  add("id", po::value<std::string>(),
      "id of the change; reuse it to repeat a change whose answer was lost");
  add("timeout", po::value<std::string>(),
      "time limit for a change to become active on all instances, 1 to 600 s; "
      "default 15");
  add("help", "show this text");
  add("version", "show the version");
  return options;
}

// Returns the flags of all commands. Several commands may share a flag.
po::options_description FieldOptions() {
  po::options_description options;
  std::set<std::string_view> seen;
  for (const CommandSpec& command : Commands()) {
    for (const FlagSpec& spec : command.flags) {
      if (!seen.insert(spec.flag).second) continue;
      const std::string flag(spec.flag);
      if (spec.type == FieldType::kFalse) {
        options.add_options()(flag.c_str(), "");
      } else {
        options.add_options()(flag.c_str(), po::value<std::string>(), "");
      }
    }
  }
  return options;
}

std::string HelpText() {
  std::ostringstream out;
  out << "usage: sapphirectl COMMAND [OPERAND...] [OPTION...]\n\nCommands:\n";
  for (const CommandSpec& command : Commands()) {
    out << "  " << command.noun;
    if (!command.verb.empty()) out << ' ' << command.verb;
    for (const FlagSpec& operand : command.operands) out << ' ' << operand.flag;
    out << "\n      " << command.help << '\n';
    for (const FlagSpec& flag : command.flags) {
      out << "      --" << flag.flag << "  " << flag.help << '\n';
    }
  }
  out << '\n'
      << GlobalOptions()
      << "\nSAPPHIRECTL_INSTANCES, SAPPHIRECTL_OUTPUT, SAPPHIRECTL_AUTHOR and "
         "SAPPHIRECTL_TIMEOUT\nset options that are not given.\n";
  return out.str();
}

std::string OptionOrEnvironment(const po::variables_map& values,
                                const ClientEnvironment& environment,
                                const std::string& name) {
  if (values.contains(name)) return values[name].as<std::string>();
  std::string variable = "SAPPHIRECTL_" + name;
  std::transform(variable.begin(), variable.end(), variable.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  const auto it = environment.find(variable);
  return it == environment.end() ? std::string() : it->second;
}

ClientOptions ReadOptions(const po::variables_map& values,
                          const ClientEnvironment& environment,
                          ErrorList& errors) {
  ClientOptions options;
  const std::string instances =
      OptionOrEnvironment(values, environment, "instances");
  for (const std::string& item : Split(instances)) {
    if (const auto endpoint = ParseEndpoint(item)) {
      options.instances.push_back(*endpoint);
    } else {
      errors.Add("--instances: '" + item + "' is not ADDRESS:PORT");
    }
  }
  if (instances.empty()) errors.Add("--instances is missing");
  const std::string output = OptionOrEnvironment(values, environment, "output");
  if (output == "json") {
    options.output = OutputFormat::kJson;
  } else if (!output.empty() && output != "table") {
    errors.Add("--output: '" + output + "' is not table or json");
  }
  const std::string timeout =
      OptionOrEnvironment(values, environment, "timeout");
  if (!timeout.empty()) {
    const auto seconds = ParseNumber(timeout);
    if (!seconds || *seconds < 1 || *seconds > kMaxTimeoutSeconds) {
      errors.Add("--timeout: '" + timeout + "' is outside 1 to 600 s");
    } else {
      options.timeout = std::chrono::seconds(*seconds);
    }
  }
  options.dry_run = values.contains("dry-run");
  if (values.contains("id")) options.id = values["id"].as<std::string>();
  options.author = OptionOrEnvironment(values, environment, "author");
  if (const auto user = environment.find("USER");
      options.author.empty() && user != environment.end()) {
    options.author = user->second;
  }
  return options;
}

const CommandSpec* FindCommand(const std::vector<std::string>& words,
                               std::size_t& operands_at) {
  for (const CommandSpec& command : Commands()) {
    if (words.empty() || words[0] != command.noun) continue;
    operands_at = command.verb.empty() ? 1 : 2;
    if (command.verb.empty() ||
        (words.size() > 1 && words[1] == command.verb)) {
      return &command;
    }
  }
  return nullptr;
}

void SetField(const FlagSpec& spec, const std::string& text, WallTime now,
              json::object& out, ErrorList& errors) {
  if (auto value = ParseField(spec.type, text, now)) {
    out[spec.field] = *std::move(value);
  } else {
    errors.Add(std::string(spec.flag) + ": '" + text + "' is not " +
               std::string(ExpectedFormat(spec.type)));
  }
}

json::object ReadFields(const CommandSpec& command,
                        const std::vector<std::string>& operands,
                        const po::variables_map& values, WallTime now,
                        ErrorList& errors) {
  json::object fields;
  for (std::size_t i = 0; i < command.operands.size(); ++i) {
    SetField(command.operands[i], operands[i], now, fields, errors);
  }
  for (std::size_t i = 0; i < command.flags.size(); ++i) {
    const FlagSpec& spec = command.flags[i];
    const std::string flag(spec.flag);
    if (!values.contains(flag)) {
      if (i < command.required_flags) errors.Add("--" + flag + " is missing");
    } else {
      const std::string text = spec.type == FieldType::kFalse
                                   ? std::string()
                                   : values[flag].as<std::string>();
      SetField(spec, text, now, fields, errors);
    }
  }
  return fields;
}

// Sets fields that the operator API requires and that have a default on the
// command line.
void AddDefaults(std::string_view operation, WallTime now,
                 json::object& fields) {
  if (operation == "create_service") {
    fields.emplace("kind", "stream");
    fields.emplace("idempotent", true);
  } else if (operation == "put_announcement") {
    fields.emplace("from", now.time_since_epoch().count());
  }
}

void RejectInapplicableFlags(const CommandSpec& command,
                             const po::options_description& all,
                             const po::variables_map& values,
                             ErrorList& errors) {
  for (const auto& option : all.options()) {
    const std::string& name = option->long_name();
    const bool is_applicable =
        std::any_of(command.flags.begin(), command.flags.end(),
                    [&](const FlagSpec& spec) { return spec.flag == name; });
    if (values.contains(name) && !is_applicable) {
      errors.Add("--" + name + " is not an option of this command");
    }
  }
}

// Encodes the characters that are not allowed in a path segment (RFC 3986).
std::string PercentEncode(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
      out.push_back(c);
    } else {
      out += {'%', digits[byte >> 4], digits[byte & 15]};
    }
  }
  return out;
}

ReadAction MakeRead(const CommandSpec& command,
                    const std::vector<std::string>& operands) {
  std::string path(command.path);
  if (const std::size_t at = path.find("{}"); at != std::string::npos) {
    path.replace(at, 2, PercentEncode(operands.front()));
  }
  return {std::move(path)};
}

}  // namespace

leaf::result<Command> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const ClientEnvironment& environment, WallTime now) {
  const po::options_description fields = FieldOptions();
  po::options_description all = GlobalOptions();
  all.add(fields);
  all.add_options()("word", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positional;
  positional.add("word", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(all)
                  .positional(positional)
                  .style(po::command_line_style::default_style &
                         ~po::command_line_style::allow_guessing)
                  .run(),
              values);
  } catch (const po::error& error) {
    return MakeError(ErrorKind::kBadSetting, error.what());
  }
  if (values.contains("help")) return Command{{}, TextAction{HelpText()}};
  if (values.contains("version")) {
    return Command{{}, TextAction{std::string(kVersionText)}};
  }
  const auto words = values.contains("word")
                         ? values["word"].as<std::vector<std::string>>()
                         : std::vector<std::string>();
  std::size_t operands_at = 0;
  const CommandSpec* const command = FindCommand(words, operands_at);
  if (command == nullptr) {
    return MakeError(ErrorKind::kBadSetting,
                     "unknown command; see sapphirectl --help");
  }
  const std::vector<std::string> operands(
      words.begin() + static_cast<std::ptrdiff_t>(operands_at), words.end());
  ErrorList errors;
  Command result{ReadOptions(values, environment, errors), {}};
  RejectInapplicableFlags(*command, fields, values, errors);
  if (operands.size() != command->operands.size()) {
    errors.Add(std::to_string(operands.size()) + " operands given, " +
               std::to_string(command->operands.size()) + " expected");
    return MakeError(ErrorKind::kBadSetting, errors.text());
  }
  if (command->operation.empty()) {
    result.action = MakeRead(*command, operands);
  } else {
    if (result.options.author.empty()) errors.Add("--author is missing");
    json::object read = ReadFields(*command, operands, values, now, errors);
    AddDefaults(command->operation, now, read);
    json::object operation{{"op", command->operation}};
    if (command->is_preset) {
      operation["preset"] = std::move(read);
    } else {
      for (auto& [name, value] : read) operation[name] = std::move(value);
    }
    result.action = ChangeAction{std::move(operation)};
  }
  if (!errors.empty()) {
    return MakeError(ErrorKind::kBadSetting, errors.text());
  }
  return result;
}

}  // namespace sapphirestream
