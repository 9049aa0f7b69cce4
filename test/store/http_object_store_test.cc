// Guards against a client that reports a write as failed although it may have
// taken effect, accepts malformed or oversized responses, or loses calls.
#include "sapphirestream/store/http_object_store.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "test/store/http_server.h"

namespace sapphirestream {
namespace {

using HandlerResult = HttpServer::HandlerResult;
using Request = HttpServer::Request;

// Does not expire in tests that do not wait for it.
constexpr Duration kLong = std::chrono::minutes(1);
// For tests in which a deadline expires.
constexpr Duration kShort = std::chrono::milliseconds(50);

HandlerResult Answer(unsigned status, const std::string& etag = {},
                     const std::string& body = {}) {
  HttpServer::Response response(http::int_to_status(status), 11);
  if (!etag.empty()) response.set(http::field::etag, etag);
  response.body() = body;
  return {std::move(response)};
}

// A store connected to a server that runs in the same thread.
struct Fixture {
  explicit Fixture(HttpServer::Handler handler)
      : server(context, std::move(handler)),
        store(context, server.endpoint()) {}

  template <typename T, typename Call>
  StoreResult<T> Wait(Call call) {
    std::optional<StoreResult<T>> out;
    call([&](StoreResult<T> result) { out = std::move(result); });
    while (!out) context.run_one();
    return *out;
  }
  StoreResult<StoredObject> Get(Duration deadline = kLong) {
    return Wait<StoredObject>([&](auto done) {
      store.Get("config/head", deadline, std::move(done));
    });
  }
  StoreResult<ObjectVersion> Put(
      Duration deadline = kLong,
      ObjectVersion expected = ObjectVersion{kUnknownEra, 3},
      std::string value = "v") {
    return Wait<ObjectVersion>([&](auto done) {
      store.Put("config/head", expected, std::move(value), deadline,
                std::move(done));
    });
  }
  StoreResult<StoredObject> Watch(Duration deadline) {
    return Wait<StoredObject>([&](auto done) {
      store.Watch("config/head", ObjectVersion{kUnknownEra, 3}, deadline,
                  std::move(done));
    });
  }

  boost::asio::io_context context;
  HttpServer server;
  HttpObjectStore store;
};

BOOST_AUTO_TEST_SUITE(http_object_store)

BOOST_AUTO_TEST_CASE(calls_follow_the_protocol_on_persistent_connections) {
  std::vector<std::string> seen;
  Fixture f([&](const Request& request) {
    seen.push_back(std::string(request.method_string()) + " " +
                   std::string(request.target()) + " " +
                   std::string(request[http::field::if_match]) +
                   std::string(request[http::field::if_none_match]) + " " +
                   request.body());
    return Answer(200, "\"4\"", "value");
  });
  const auto got = f.Get();
  BOOST_TEST((got.error == ErrorKind::kNone));
  BOOST_TEST(got.value.version.number == 4U);
  BOOST_TEST(got.value.value == "value");
  BOOST_TEST(f.Put().value.number == 4U);
  BOOST_TEST((f.Put(kLong, kMustNotExist).error == ErrorKind::kNone));
  BOOST_TEST((f.Watch(std::chrono::seconds(2)).error == ErrorKind::kNone));
  BOOST_TEST((f.Get().error == ErrorKind::kNone));
  BOOST_TEST((seen == std::vector<std::string>{
                          "GET /objects/config/head  ",
                          "PUT /objects/config/head \"3\" v",
                          "PUT /objects/config/head * v",
                          "GET /objects/config/head?watch=3&timeout_ms=2000  ",
                          "GET /objects/config/head  "}));
  BOOST_TEST(f.server.connections() == 3U);
}

// A restored store assigns versions of its lost history again.
BOOST_AUTO_TEST_CASE(versions_carry_the_era_of_the_store) {
  std::vector<std::string> seen;
  Fixture f([&](const Request& request) {
    seen.push_back(std::string(request.target()) + " " +
                   std::string(request["Store-Era"]));
    HandlerResult result = Answer(200, "\"4\"", "value");
    result.response->set("Store-Era", "2");
    return result;
  });
  const ObjectVersion version = f.Get().value.version;
  BOOST_TEST((version == ObjectVersion{StoreEra{2}, 4}));
  BOOST_TEST((f.Put(kLong, version).value == version));
  (void)f.Wait<StoredObject>([&](auto done) {
    f.store.Watch("config/head", version, std::chrono::seconds(2),
                  std::move(done));
  });
  BOOST_TEST(
      (seen == std::vector<std::string>{
                   "/objects/config/head ", "/objects/config/head 2",
                   "/objects/config/head?watch=4&timeout_ms=2000&era=2 "}));
}

BOOST_AUTO_TEST_CASE(each_status_has_its_meaning) {
  struct Case {
    HandlerResult result;
    ErrorKind get;
    ErrorKind put;
  };
  using enum ErrorKind;
  const Case cases[] = {
      {Answer(404), kNotFound, kOutcomeUnknown},
      {Answer(412), kStoreUnavailable, kVersionConflict},
      {Answer(503), kStoreUnavailable, kStoreUnavailable},
      {Answer(500), kStoreUnavailable, kOutcomeUnknown},
      {Answer(304), kTimedOut, kOutcomeUnknown},
      // A version that cannot be parsed is treated like a missing one.
      {Answer(200, "4", "x"), kStoreUnavailable, kOutcomeUnknown},
      {Answer(200, "\"4x\"", "x"), kStoreUnavailable, kOutcomeUnknown},
      {Answer(200, "", "x"), kStoreUnavailable, kOutcomeUnknown},
  };
  for (const Case& c : cases) {
    Fixture f([&](const Request&) { return c.result; });
    BOOST_TEST((f.Get().error == c.get));
    BOOST_TEST((f.Put().error == c.put));
  }
}

BOOST_AUTO_TEST_CASE(a_write_whose_connection_breaks_has_an_unknown_outcome) {
  Fixture f([](const Request&) {
    return HandlerResult{std::nullopt, HttpServer::After::kClose};
  });
  BOOST_TEST((f.Put().error == ErrorKind::kOutcomeUnknown));
  BOOST_TEST((f.Get().error == ErrorKind::kStoreUnavailable));
}

BOOST_AUTO_TEST_CASE(a_silent_server_ends_calls_at_their_deadline) {
  Fixture f([](const Request&) { return HandlerResult{}; });
  BOOST_TEST((f.Put(kShort).error == ErrorKind::kOutcomeUnknown));
  BOOST_TEST((f.Get(kShort).error == ErrorKind::kTimedOut));
  // kTimedOut would mean that nothing changed, which is unknown.
  BOOST_TEST((f.Watch(kShort).error == ErrorKind::kStoreUnavailable));
}

// Nothing was sent, so nothing can have been written.
BOOST_AUTO_TEST_CASE(a_refused_connection_or_a_long_queue_writes_nothing) {
  Fixture refused([](const Request&) { return Answer(200); });
  refused.server.Close();
  BOOST_TEST((refused.Put().error == ErrorKind::kStoreUnavailable));
  std::size_t requests = 0;
  Fixture silent([&](const Request&) {
    ++requests;
    return HandlerResult{};
  });
  silent.store.Put("a", kMustNotExist, "v", kLong,
                   [](const StoreResult<ObjectVersion>&) {});
  BOOST_TEST((silent.Put(kShort).error == ErrorKind::kStoreUnavailable));
  BOOST_TEST(requests == 1U);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_closed_by_the_server_is_replaced) {
  Fixture f([](const Request&) {
    HandlerResult result = Answer(200, "\"4\"", "x");
    result.after = HttpServer::After::kClose;
    return result;
  });
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST((f.Put().error == ErrorKind::kNone));
    f.context.poll();
  }
  BOOST_TEST(f.server.connections() == 3U);
}

BOOST_AUTO_TEST_CASE(values_above_1_mb_are_refused_both_ways) {
  std::size_t size = kMaxValueBytes;
  std::size_t requests = 0;
  Fixture f([&](const Request&) {
    ++requests;
    return Answer(200, "\"4\"", std::string(size, 'x'));
  });
  BOOST_TEST(f.Get().value.value.size() == size);
  ++size;
  BOOST_TEST((f.Get().error == ErrorKind::kStoreUnavailable));
  const auto before = requests;
  BOOST_TEST((f.Put(kLong, kMustNotExist, std::string(size, 'x')).error ==
              ErrorKind::kOutOfRange));
  BOOST_TEST(requests == before);
}

BOOST_AUTO_TEST_CASE(the_instance_list_is_read_and_malformed_ones_refused) {
  std::string body =
      R"([{"id":1,"domain":2,"peer":"127.0.0.1:7000","leaving":true,"x":0}])";
  Fixture f([&](const Request&) { return Answer(200, "", body); });
  const auto list = [&] {
    return f.Wait<std::vector<ListedInstance>>(
        [&](auto done) { f.store.ListInstances(kLong, std::move(done)); });
  };
  const auto good = list();
  BOOST_REQUIRE(good.value.size() == 1U);
  BOOST_TEST(Value(good.value[0].id) == 1U);
  BOOST_TEST(Value(good.value[0].domain) == 2U);
  BOOST_TEST(good.value[0].peer_endpoint == "127.0.0.1:7000");
  BOOST_TEST(good.value[0].leaving);
  for (const char* bad :
       {"{}", R"([{"id":0,"domain":2,"peer":"127.0.0.1:7000"}])",
        R"([{"id":1,"domain":2,"peer":"x"}])", "["}) {
    body = bad;
    BOOST_TEST((list().error == ErrorKind::kStoreUnavailable));
  }
}

// A callback into a destroyed object would crash the instance during shutdown.
BOOST_AUTO_TEST_CASE(open_calls_are_dropped_when_the_store_is_destroyed) {
  boost::asio::io_context context;
  HttpServer server(context, [](const Request&) { return Answer(503); });
  bool called = false;
  {
    HttpObjectStore store(context, server.endpoint());
    store.Get("a", kLong, [&](const auto&) { called = true; });
    context.run_one();
  }
  server.Close();
  context.run();
  BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace sapphirestream
