// Conversion between store calls and HTTP messages.
#include "sapphirestream/store/http_object_store.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include "sapphirestream/contract/field_reader.h"
#include "sapphirestream/store/http_channel.h"

namespace sapphirestream {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using internal::HttpChannel;
using internal::HttpOutcome;
using internal::HttpReply;

// Header field with the era of the store.
constexpr std::string_view kEraField = "Store-Era";
// Maximum accepted length of the instance list.
constexpr std::size_t kMaxInstances = 100'000;

asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint) {
  const auto& b = endpoint.address.bytes;
  if (endpoint.address.is_v4()) {
    return {asio::ip::address_v4({b[12], b[13], b[14], b[15]}), endpoint.port};
  }
  return {asio::ip::address_v6(b), endpoint.port};
}

std::string Quote(ObjectVersion version) {
  return '"' + std::to_string(version.number) + '"';
}

std::optional<ObjectVersion> ParseEtag(std::string_view etag, StoreEra era) {
  if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') return {};
  etag = etag.substr(1, etag.size() - 2);
  std::uint64_t version = 0;
  const auto [end, error] =
      std::from_chars(etag.data(), etag.data() + etag.size(), version);
  if (error != std::errc{} || end != etag.data() + etag.size()) return {};
  return ObjectVersion{era, version};
}

HttpChannel::Request MakeRequest(http::verb verb, const std::string& target,
                                 const std::string& host) {
  HttpChannel::Request request(verb, target, 11);
  request.set(http::field::host, host);
  return request;
}

StoreResult<StoredObject> ToObject(HttpReply reply) {
  if (reply.outcome == HttpOutcome::kTimedOut) {
    return {ErrorKind::kTimedOut, {}};
  }
  if (reply.outcome != HttpOutcome::kAnswered) {
    return {ErrorKind::kStoreUnavailable, {}};
  }
  switch (reply.status) {
    case 200:
      if (const auto version = ParseEtag(reply.etag, reply.era)) {
        return {ErrorKind::kNone, {*version, std::move(reply.body)}};
      }
      return {ErrorKind::kStoreUnavailable, {}};
    case 304:
      return {ErrorKind::kTimedOut, {}};
    case 404:
      return {ErrorKind::kNotFound, {{reply.era, 0}, {}}};
    default:
      return {ErrorKind::kStoreUnavailable, {}};
  }
}

StoreResult<ObjectVersion> ToVersion(const HttpReply& reply) {
  if (reply.outcome == HttpOutcome::kNotSent) {
    return {ErrorKind::kStoreUnavailable, {}};
  }
  if (reply.outcome != HttpOutcome::kAnswered) {
    return {ErrorKind::kOutcomeUnknown, {}};
  }
  switch (reply.status) {
    case 200:
      if (const auto version = ParseEtag(reply.etag, reply.era)) {
        return {ErrorKind::kNone, *version};
      }
      return {ErrorKind::kOutcomeUnknown, {}};
    case 412:
      return {ErrorKind::kVersionConflict, {}};
    case 503:
      return {ErrorKind::kStoreUnavailable, {}};
    default:
      // The protocol guarantees only for 412 and 503 that nothing was written.
      return {ErrorKind::kOutcomeUnknown, {}};
  }
}

ListedInstance ReadInstance(const json::value& value, const std::string& path,
                            internal::ParseStatus& status) {
  // Unlike in operator input, unknown fields are ignored, because later
  // versions of the platform may add some.
  internal::FieldReader reader(value, path, status);
  ListedInstance out;
  reader.ReadNumber("id", {1, std::numeric_limits<std::uint32_t>::max()},
                    out.id);
  reader.ReadNumber("domain", {0, std::numeric_limits<std::uint16_t>::max()},
                    out.domain);
  out.peer_endpoint = ToString(reader.EndpointWithPort("peer"));
  reader.ReadOptional("leaving", out.leaving);
  return out;
}

leaf::result<std::vector<ListedInstance>> ParseInstances(
    const std::string& body) {
  BOOST_LEAF_AUTO(value, internal::ParseJson(body));
  internal::ParseStatus status;
  const json::value wrapped = json::object{{"instances", std::move(value)}};
  internal::FieldReader reader(wrapped, "", status);
  auto out = internal::ReadArray<ListedInstance>(reader, "instances",
                                                 kMaxInstances, ReadInstance);
  BOOST_LEAF_CHECK(status.ToResult());
  return out;
}

StoreResult<std::vector<ListedInstance>> ToInstances(const HttpReply& reply) {
  if (reply.outcome == HttpOutcome::kTimedOut) {
    return {ErrorKind::kTimedOut, {}};
  }
  if (reply.outcome != HttpOutcome::kAnswered || reply.status != 200) {
    return {ErrorKind::kStoreUnavailable, {}};
  }
  auto instances = ParseInstances(reply.body);
  if (!instances) return {ErrorKind::kStoreUnavailable, {}};
  return {ErrorKind::kNone, std::move(*instances)};
}

}  // namespace

HttpObjectStore::HttpObjectStore(asio::io_context& context,
                                 const Endpoint& server)
    : host_(ToString(server)), context_(context) {
  const auto make = [&] {
    return std::make_shared<HttpChannel>(context, ToAsio(server),
                                         kMaxValueBytes, kEraField);
  };
  gets_ = make();
  watches_ = make();
  puts_ = make();
  lists_ = make();
}

HttpObjectStore::~HttpObjectStore() {
  for (const auto& channel : {gets_, watches_, puts_, lists_}) {
    channel->Close();
  }
}

void HttpObjectStore::Get(const std::string& name, Duration deadline,
                          GetCallback done) {
  gets_->Call(MakeRequest(http::verb::get, "/objects/" + name, host_),
              {.deadline = deadline},
              [done = std::move(done)](HttpReply reply) {
                done(ToObject(std::move(reply)));
              });
}

void HttpObjectStore::Watch(const std::string& name, ObjectVersion known,
                            Duration deadline, GetCallback done) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
  std::string target = "/objects/" + name +
                       "?watch=" + std::to_string(known.number) +
                       "&timeout_ms=" + std::to_string(ms);
  if (known.era != kUnknownEra) {
    target += "&era=" + std::to_string(Value(known.era));
  }
  watches_->Call(MakeRequest(http::verb::get, target, host_),
                 {.deadline = deadline + kWatchGracePeriod},
                 [done = std::move(done)](HttpReply reply) {
                   // kTimedOut means that the server reported no change, which
                   // a missing response does not show.
                   if (reply.outcome == HttpOutcome::kTimedOut) {
                     reply.outcome = HttpOutcome::kConnectionFailed;
                   }
                   done(ToObject(std::move(reply)));
                 });
}

void HttpObjectStore::Put(const std::string& name, ObjectVersion expected,
                          std::string value, Duration deadline,
                          PutCallback done) {
  if (value.size() > kMaxValueBytes) {
    asio::post(context_, [done = std::move(done)] {
      done({ErrorKind::kOutOfRange, {}});
    });
    return;
  }
  auto request = MakeRequest(http::verb::put, "/objects/" + name, host_);
  if (expected == kMustNotExist) {
    request.set(http::field::if_none_match, "*");
  } else {
    request.set(http::field::if_match, Quote(expected));
  }
  if (expected.era != kUnknownEra) {
    request.set(kEraField, std::to_string(Value(expected.era)));
  }
  request.body() = std::move(value);
  request.prepare_payload();
  puts_->Call(std::move(request), {.deadline = deadline},
              [done = std::move(done)](const HttpReply& reply) {
                done(ToVersion(reply));
              });
}

void HttpObjectStore::ListInstances(Duration deadline, ListCallback done) {
  lists_->Call(MakeRequest(http::verb::get, "/instances", host_),
               {.deadline = deadline},
               [done = std::move(done)](const HttpReply& reply) {
                 done(ToInstances(reply));
               });
}

}  // namespace sapphirestream
