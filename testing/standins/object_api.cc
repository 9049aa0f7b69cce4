// In-memory implementation of the platform's object API (docs/design.md,
// section 9.1) with fault injection.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "testing/standins/http_server.h"
#include "testing/standins/lifetime.h"
#include "testing/standins/object_store.h"
#include "testing/standins/subcommand.h"

namespace sapphirestream::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

// Header field with the era of the store.
constexpr std::string_view kEraField = "Store-Era";

// Maximum duration of a watch, so that every call ends.
constexpr milliseconds kMaxWatchTime{60'000};

enum class FaultMode { kNone, kDown, kSlow, kLoseAnswer };

struct Fault {
  FaultMode mode = FaultMode::kNone;
  // Delay that kSlow adds to each answer.
  milliseconds delay{1'000};
};

struct CallCounts {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t lists = 0;
};

std::string QuoteVersion(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return {};
  return value;
}

// Accepts `"7"` and `7`.
std::optional<std::uint64_t> ParseVersion(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return ParseNumber(text);
}

std::optional<std::uint64_t> QueryValue(std::string_view query,
                                        std::string_view name) {
  while (!query.empty()) {
    const std::string_view item = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), item.size() + 1));
    if (item.starts_with(name) && item.substr(name.size()).starts_with('=')) {
      return ParseNumber(item.substr(name.size() + 1));
    }
  }
  return std::nullopt;
}

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

class ObjectApi {
 public:
  explicit ObjectApi(asio::io_context& io) : io_(io) {}

  void Handle(const HttpRequest& request, HttpReply reply) {
    reply = WithEra(std::move(reply));
    const std::string_view target = ToStringView(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view query =
        path.size() == target.size() ? "" : target.substr(path.size() + 1);
    const bool is_get = request.method() == http::verb::get;
    const bool is_put = request.method() == http::verb::put;
    // Control requests of the demo are not subject to faults.
    if (path == "/fault" && request.method() == http::verb::post) {
      return SetFault(request, reply);
    }
    if (path == "/copy" && request.method() == http::verb::post) {
      copy_ = store_.Copy();
      return reply(MakeResponse(http::status::ok, "{}"));
    }
    if (path == "/restore" && request.method() == http::verb::post) {
      ++era_;
      store_.Restore(copy_);
      return reply(MakeResponse(http::status::ok, "{}"));
    }
    if (path == "/calls" && is_get) return ReportCalls(reply);
    if (path == "/instances" && is_put) {
      return SetInstances(request, query, reply);
    }
    if (fault_.mode == FaultMode::kDown) {
      return reply(MakeResponse(http::status::service_unavailable, ""));
    }
    if (fault_.mode == FaultMode::kSlow) reply = DelayReply(std::move(reply));
    if (path == "/instances" && is_get) {
      ++calls_.lists;
      return reply(MakeResponse(http::status::ok, instances_));
    }
    constexpr std::string_view prefix = "/objects/";
    if (!path.starts_with(prefix) || path.size() == prefix.size()) {
      return reply(MakeResponse(http::status::not_found, ""));
    }
    const std::string name(path.substr(prefix.size()));
    if (is_put) return Put(name, request, reply);
    if (!is_get) {
      return reply(MakeResponse(http::status::method_not_allowed, ""));
    }
    const auto watched = QueryValue(query, "watch");
    if (!watched) return Get(name, reply);
    const auto timeout = QueryValue(query, "timeout_ms");
    if (QueryValue(query, "era").value_or(era_) != era_) {
      ++calls_.watches;
      return Get(name, reply);
    }
    Watch(name, *watched, milliseconds(timeout.value_or(30'000)), reply);
  }

 private:
  // Adds the era to each answer.
  HttpReply WithEra(HttpReply reply) const {
    return
        [this, reply = std::move(reply)](std::optional<HttpResponse> response) {
          if (response) response->set(kEraField, std::to_string(era_));
          reply(std::move(response));
        };
  }

  HttpReply DelayReply(HttpReply reply) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    return [timer, delay = fault_.delay,
            reply = std::move(reply)](std::optional<HttpResponse> response) {
      timer->expires_after(delay);
      timer->async_wait([timer, reply, response = std::move(response)](auto) {
        reply(response);
      });
    };
  }

  static HttpResponse MakeObjectResponse(const VersionedValue& object) {
    HttpResponse response = MakeResponse(http::status::ok, object.value);
    response.set(http::field::etag, QuoteVersion(object.version));
    return response;
  }

  void Get(const std::string& name, const HttpReply& reply) {
    ++calls_.reads;
    const VersionedValue* const object = store_.Find(name);
    reply(object == nullptr ? MakeResponse(http::status::not_found, "")
                            : MakeObjectResponse(*object));
  }

  void Watch(const std::string& name, std::uint64_t known, milliseconds timeout,
             const HttpReply& reply) {
    ++calls_.watches;
    const VersionedValue* const object = store_.Find(name);
    if ((object == nullptr ? 0 : object->version) != known) {
      return reply(object == nullptr ? MakeResponse(http::status::not_found, "")
                                     : MakeObjectResponse(*object));
    }
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::min(timeout, kMaxWatchTime));
    const std::uint64_t number =
        store_.Watch(name, [timer, reply](const VersionedValue& changed) {
          timer->cancel();
          reply(MakeObjectResponse(changed));
        });
    timer->async_wait([this, timer, name, number, reply](auto error) {
      if (error || !store_.CancelWatch(name, number)) return;
      reply(MakeResponse(http::status::not_modified, ""));
    });
  }

  void Put(const std::string& name, const HttpRequest& request,
           const HttpReply& reply) {
    ++calls_.writes;
    const std::string_view match = ToStringView(request[http::field::if_match]);
    const bool must_not_exist =
        ToStringView(request[http::field::if_none_match]) == "*";
    const auto expected = must_not_exist ? 0 : ParseVersion(match);
    if (!expected || must_not_exist == !match.empty()) {
      return reply(MakeResponse(http::status::bad_request,
                                R"({"error":"one condition is required"})"));
    }
    const auto era = ParseNumber(ToStringView(request[kEraField]));
    const auto version = era.value_or(era_) != era_
                             ? std::nullopt
                             : store_.Write(name, *expected, request.body());
    if (fault_.mode == FaultMode::kLoseAnswer) return reply(std::nullopt);
    if (!version) {
      ++calls_.conflicts;
      return reply(MakeResponse(http::status::precondition_failed, ""));
    }
    HttpResponse response = MakeResponse(http::status::ok, "");
    response.set(http::field::etag, QuoteVersion(*version));
    reply(std::move(response));
  }

  void SetFault(const HttpRequest& request, const HttpReply& reply) {
    boost::system::error_code error;
    const json::value value = json::parse(request.body(), error);
    const json::value* const mode = error || !value.is_object()
                                        ? nullptr
                                        : value.as_object().if_contains("mode");
    constexpr std::pair<std::string_view, FaultMode> modes[] = {
        {"none", FaultMode::kNone},
        {"down", FaultMode::kDown},
        {"slow", FaultMode::kSlow},
        {"lose_answer", FaultMode::kLoseAnswer}};
    for (const auto& [name, wanted] : modes) {
      if (mode == nullptr || !mode->is_string() || mode->as_string() != name) {
        continue;
      }
      fault_ = Fault{wanted};
      const json::value* const delay =
          value.as_object().if_contains("delay_ms");
      if (delay != nullptr && delay->is_int64()) {
        fault_.delay = milliseconds(delay->as_int64());
      }
      return reply(MakeResponse(http::status::ok, "{}"));
    }
    reply(MakeResponse(http::status::bad_request,
                       R"({"error":"mode: none, down, slow, lose_answer"})"));
  }

  // The new list takes effect after `lag_ms`.
  void SetInstances(const HttpRequest& request, std::string_view query,
                    const HttpReply& reply) {
    const milliseconds lag(QueryValue(query, "lag_ms").value_or(0));
    auto timer = std::make_shared<asio::steady_timer>(io_, lag);
    timer->async_wait([this, timer, list = request.body()](auto error) {
      if (!error) instances_ = list;
    });
    reply(MakeResponse(http::status::ok, "{}"));
  }

  void ReportCalls(const HttpReply& reply) const {
    reply(MakeResponse(http::status::ok, json::serialize(json::value{
                                             {"reads", calls_.reads},
                                             {"watches", calls_.watches},
                                             {"writes", calls_.writes},
                                             {"conflicts", calls_.conflicts},
                                             {"lists", calls_.lists}})));
  }

  asio::io_context& io_;
  VersionedStore store_;
  // Rises with each restoration.
  std::uint64_t era_ = 1;
  std::unordered_map<std::string, VersionedValue> copy_;
  std::string instances_ = "[]";
  Fault fault_;
  CallCounts calls_;
};

}  // namespace

int RunObjectApi(const Arguments& arguments) {
  namespace po = boost::program_options;
  std::string listen;
  int seconds = 0;
  po::options_description options("standins object-api");
  options.add_options()("listen",
                        po::value(&listen)->default_value("127.0.0.1:7400"),
                        "address and port of the HTTP server")(
      "seconds", po::value(&seconds)->default_value(600),
      "stop after this many seconds")("help", "show this text");
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(options).run(), values);
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  po::notify(values);
  asio::io_context io(1);
  ObjectApi api(io);
  const HttpServer server(io, RequireEndpoint(listen),
                          [&api](const HttpRequest& request, HttpReply reply) {
                            api.Handle(request, std::move(reply));
                          });
  const Lifetime lifetime(io, std::chrono::seconds(seconds));
  io.run();
  return 0;
}

}  // namespace sapphirestream::standins
