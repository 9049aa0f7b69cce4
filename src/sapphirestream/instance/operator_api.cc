// HTTP API for operators.
#include "sapphirestream/instance/operator_api.h"

#include <algorithm>
#include <utility>

#include "sapphirestream/contract/change_json.h"
#include "sapphirestream/contract/configuration_json.h"
#include "sapphirestream/contract/effect.h"
#include "sapphirestream/contract/find.h"

namespace sapphirestream {
namespace {

namespace json = boost::json;

HttpResponse MakeJson(const json::value& value) {
  HttpResponse response;
  response.body = json::serialize(value) + "\n";
  return response;
}

HttpResponse MakeText(std::string text) {
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = std::move(text);
  return response;
}

// Omits removed targets, which stay in the configuration only for earlier
// lookup tables.
json::array ListTargets(const Service& service) {
  json::array out;
  for (const Target& target : service.targets) {
    if (!target.removed) out.emplace_back(ToJson(target));
  }
  return out;
}

json::array ListServices(const Configuration& configuration) {
  json::array out;
  for (const Service& service : configuration.services) {
    json::object item = ToJson(service);
    item["targets"] = ListTargets(service);
    out.emplace_back(std::move(item));
  }
  return out;
}

leaf::result<HttpResponse> ReadTargets(const Configuration& configuration,
                                       std::string_view name) {
  const Service* service = FindService(configuration, name);
  if (service == nullptr) {
    return MakeError(ErrorKind::kNotFound,
                     "no service is named '" + std::string(name) + "'");
  }
  return MakeJson(ListTargets(*service));
}

HttpResponse MakeOutcome(const ChangeOutcome& outcome) {
  if (outcome.error.kind != ErrorKind::kNone) {
    return MakeErrorResponse(outcome.error, outcome.version);
  }
  return MakeJson(json::object{{"version", Value(outcome.version)},
                               {"already_applied", outcome.already_applied},
                               {"effect", ToJson(outcome.effect)}});
}

}  // namespace

void OperatorApi::Handle(const HttpRequest& request, const Reply& reply) {
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (request.method == "POST" && path == "/v1/changes") {
    Change(request, reply);
    return;
  }
  if (request.method == "GET" && path == "/v1/status") {
    backend_.ReadStatus(
        [reply](const json::object& status) { reply(MakeJson(status)); });
    return;
  }
  reply(leaf::try_handle_all(
      [&]() -> leaf::result<HttpResponse> {
        if (request.method != "GET") {
          return MakeError(ErrorKind::kNotFound,
                           "no such method and path: " + request.method + " " +
                               std::string(path));
        }
        return Read(path);
      },
      [](const Error& error) { return MakeErrorResponse(error); },
      [] {
        return MakeErrorResponse({ErrorKind::kInternal, {}});
      }));
}

leaf::result<HttpResponse> OperatorApi::Read(std::string_view path) const {
  if (path == "/metrics") return MakeText(backend_.Metrics());
  if (path == "/dump") return MakeJson(backend_.Dump());
  if (path == "/healthz") return MakeText("ok\n");
  if (path == "/readyz") {
    if (!backend_.is_ready()) return MakeError(ErrorKind::kNotReady);
    return MakeText("ready\n");
  }
  return ReadConfiguration(path);
}

leaf::result<HttpResponse> OperatorApi::ReadConfiguration(
    std::string_view path) const {
  constexpr std::string_view k_services = "/v1/services/";
  constexpr std::string_view k_targets = "/targets";
  const bool names_targets = path.starts_with(k_services) &&
                             path.ends_with(k_targets) &&
                             path.size() > k_services.size() + k_targets.size();
  constexpr std::string_view k_lists[] = {"/v1/config", "/v1/services",
                                          "/v1/presets", "/v1/preset",
                                          "/v1/announcements"};
  if (!names_targets && std::find(std::begin(k_lists), std::end(k_lists),
                                  path) == std::end(k_lists)) {
    return MakeError(ErrorKind::kNotFound,
                     "unknown path: " + std::string(path));
  }
  const auto configuration = backend_.configuration();
  if (configuration == nullptr) return MakeError(ErrorKind::kNotReady);
  if (names_targets) {
    path.remove_prefix(k_services.size());
    path.remove_suffix(k_targets.size());
    return ReadTargets(*configuration, path);
  }
  if (path == "/v1/config") return MakeJson(ToJson(*configuration));
  if (path == "/v1/services") return MakeJson(ListServices(*configuration));
  if (path == "/v1/presets") {
    return MakeJson(internal::ToArray(configuration->presets));
  }
  if (path == "/v1/preset") {
    return MakeJson(json::object{{"preset", configuration->preset},
                                 {"version", Value(configuration->version)}});
  }
  return MakeJson(internal::ToArray(configuration->announcements));
}

void OperatorApi::Change(const HttpRequest& request, const Reply& reply) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(change, ParseChange(request.body));
        backend_.Submit(change, [reply](const ChangeOutcome& outcome) {
          reply(MakeOutcome(outcome));
        });
        return {};
      },
      [&](const Error& error) { reply(MakeErrorResponse(error)); },
      [&] {
        reply(MakeErrorResponse({ErrorKind::kInternal, {}}));
      });
}

}  // namespace sapphirestream
