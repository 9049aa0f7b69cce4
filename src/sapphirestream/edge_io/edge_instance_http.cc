// HTTP interfaces of an edge instance: readiness, metrics and explanations.
#include <algorithm>
#include <string>
#include <string_view>

#include "sapphirestream/admin/metrics.h"
#include "sapphirestream/edge/placement_explanation.h"
#include "sapphirestream/edge_io/edge_instance.h"

namespace sapphirestream {
namespace {

constexpr std::string_view kExplainPath = "/explain";

// Returns the value of a field of the query, e.g. of `/path?name=value`; empty
// if it is missing. Addresses and ports need no decoding.
std::string_view QueryField(std::string_view target, std::string_view name) {
  const std::size_t begin = target.find('?');
  std::string_view query =
      begin == std::string_view::npos ? "" : target.substr(begin + 1);
  while (!query.empty()) {
    const std::string_view field = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(field.size() + 1, query.size()));
    if (field.starts_with(name) && field.substr(name.size()).starts_with('=')) {
      return field.substr(name.size() + 1);
    }
  }
  return {};
}

}  // namespace

HttpResponse EdgeInstance::HandleReadinessCheck(const HttpRequest& request) {
  constexpr int ok = 200;
  constexpr int not_found = 404;
  constexpr int unavailable = 503;
  if (request.target != platform_.ready_path()) {
    return {.status = not_found, .body = "{}"};
  }
  OnViewChanged();
  const EdgeState state = lifecycle_.state();
  return {.status = state == EdgeState::kServing ? ok : unavailable,
          .body = "{\"state\":\"" + std::string(Name(state)) + "\"}"};
}

HttpResponse EdgeInstance::HandleOperatorRequest(const HttpRequest& request) {
  if (request.target.starts_with(kExplainPath)) return Explain(request);

  return {.content_type = "text/plain; version=0.0.4",
          .body = RenderMetrics(counters_) +
                  flow_log_.opening_latency().Render("flow_opening_seconds") +
                  flow_log_.request_latency().Render("request_answer_seconds")};
}

HttpResponse EdgeInstance::Explain(const HttpRequest& request) {
  const PlacementView view{
      .routes = routes_,
      .targets = targets_,
      .selector = steering_.selector(),
      .performance = load_ ? &load_->performance() : nullptr,
      .admission = load_ ? load_->decisions().admission : nullptr,
      .gaps = GapsOfView()};
  return leaf::try_handle_all(
      [&]() -> leaf::result<HttpResponse> {
        BOOST_LEAF_AUTO(
            query, ParseExplanationQuery(QueryField(request.target, "client"),
                                         QueryField(request.target, "route")));
        BOOST_LEAF_AUTO(explanation,
                        ExplainPlacement(view, query, clock_.Now()));
        return HttpResponse{.content_type = "text/plain",
                            .body = ToText(explanation)};
      },
      [](const Error& error) { return MakeErrorResponse(error); },
      [] {
        return MakeErrorResponse({ErrorKind::kInternal, {}});
      });
}

}  // namespace sapphirestream
