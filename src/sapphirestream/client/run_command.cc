// Execution of commands: reads print the answer, and changes are submitted and
// awaited.
#include "sapphirestream/client/run_command.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <string>

#include "sapphirestream/client/instance_client.h"
#include "sapphirestream/client/table.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;

std::string RandomId(Random& random) {
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(16) << random.Next();
  return id.str();
}

json::array ToJson(const std::vector<InstanceId>& ids) {
  json::array out;
  for (const InstanceId id : ids) out.emplace_back(Value(id));
  return out;
}

class Runner {
 public:
  Runner(const ClientOptions& options, Transport& transport, SleepClock& clock,
         Random& random, Streams streams)
      : options_(options),
        client_(options.instances, transport, clock),
        random_(random),
        streams_(streams) {}

  leaf::result<void> operator()(const TextAction& action) {
    streams_.out << action.text;
    return {};
  }

  leaf::result<void> operator()(const ReadAction& action) {
    BOOST_LEAF_AUTO(body, client_.Read(action.path));
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || options_.output == OutputFormat::kJson) {
      streams_.out << body << '\n';
    } else {
      streams_.out << RenderTable(value);
    }
    return {};
  }

  leaf::result<void> operator()(const ChangeAction& action) {
    const std::string id =
        options_.id.empty() ? RandomId(random_) : options_.id;
    // Printed first, so that the user knows it even if the call fails.
    streams_.err << "change id " << id << '\n';
    const json::object change{{"id", id},
                              {"author", options_.author},
                              {"dry_run", options_.dry_run},
                              {"operations", json::array{action.operation}}};
    BOOST_LEAF_AUTO(answer, client_.Submit(change));
    if (options_.dry_run) {
      Print(answer);
      return {};
    }
    boost::system::error_code error;
    const json::value* const number = answer.if_contains("version");
    const auto version =
        number == nullptr ? 0 : number->to_number<std::uint64_t>(error);
    if (error || version == 0) {
      return MakeError(ErrorKind::kInternal, "the answer has no version");
    }
    if (options_.output == OutputFormat::kTable) Print(answer);
    BOOST_LEAF_AUTO(rollout, client_.WaitUntilActive(
                                 ConfigVersion{version}, options_.timeout,
                                 [this](const Rollout& now) {
                                   streams_.err << ToString(now) << '\n';
                                 }));
    if (options_.output == OutputFormat::kTable) {
      streams_.out << ToString(rollout) << '\n';
      return {};
    }
    answer["id"] = id;
    answer["live"] = rollout.live;
    answer["active"] = rollout.active;
    answer["lagging"] = ToJson(rollout.lagging);
    Print(answer);
    return {};
  }

 private:
  void Print(const json::object& answer) {
    if (options_.output == OutputFormat::kJson) {
      streams_.out << json::serialize(answer) << '\n';
    } else {
      streams_.out << RenderTable(answer);
    }
  }

  const ClientOptions& options_;
  InstanceClient client_;
  Random& random_;
  Streams streams_;
};

}  // namespace

int RunCommand(const Command& command, Transport& transport, SleepClock& clock,
               Random& random, Streams streams) {
  Runner runner(command.options, transport, clock, random, streams);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(std::visit(runner, command.action));
        return 0;
      },
      [&](const Error& error) {
        return ReportError(error, command.options.output, streams);
      },
      [&] { return ReportError({}, command.options.output, streams); });
}

int ReportError(const Error& error, OutputFormat format, Streams streams) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  if (format == OutputFormat::kJson) {
    streams.out << json::serialize(json::object{{"error", answer.name},
                                                {"text", answer.text},
                                                {"detail", error.detail}})
                << '\n';
  }
  streams.err << "sapphirectl: " << answer.text;
  if (!error.detail.empty()) streams.err << ": " << error.detail;
  streams.err << " (" << answer.name << ")\n";
  // An error kind without an exit code must not be reported as success.
  return answer.exit_code != 0 ? answer.exit_code
                               : AnswerFor(ErrorKind::kInternal).exit_code;
}

}  // namespace sapphirestream
