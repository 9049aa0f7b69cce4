// In-memory replacement of the platform's store with paged lists, watches, a
// limited history, injected rejections and outages, and restorations from a
// copy.
#ifndef SAPPHIRESTREAM_TESTING_SOAK_STORE_STANDIN_H_
#define SAPPHIRESTREAM_TESTING_SOAK_STORE_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirestream/admin/http_server.h"
#include "sapphirestream/base/clock.h"
#include "sapphirestream/base/random.h"
#include "sapphirestream/store/timer.h"

namespace sapphirestream::soak {

enum class StoreFault : std::uint8_t {
  kNone,
  kUnavailable,  // calls fail immediately
  kSilent,       // calls get no response
  kBusy,         // most calls are rejected by rate limiting
};

[[nodiscard]] std::string_view Name(StoreFault fault) noexcept;

class StoreStandin {
 public:
  // Throws std::runtime_error if the address cannot be opened.
  StoreStandin(boost::asio::io_context& context, const Endpoint& local,
               Timer& timer, const Clock& clock, Random& random);

  // `spec` is a JSON object.
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec);
  void Delete(const std::string& kind, const std::string& name);
  void SetFault(StoreFault fault);
  // Cached reads return the state of this long ago.
  void SetCacheLag(Duration lag) noexcept { cache_lag_ = lag; }
  // Discards the history of changes and ends all watches.
  void ForgetHistory();
  // Restores a copy of the objects that is about `age` old, or the oldest one.
  // Revisions of the lost part are given out again, in the next era.
  void Restore(Duration age);
  // Returns the names of the objects of a kind.
  [[nodiscard]] std::vector<std::string> Names(const std::string& kind) const;

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::string spec;
  };
  struct Change {
    TimePoint time;
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    // Empty if the object was deleted.
    std::string spec;
  };
  struct Watch {
    std::string kind;
    std::uint64_t since = 0;
    bool is_cached = false;
    HttpServer::Reply reply;
    TimerId timer = kNoTimer;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;
  struct Copy {
    TimePoint time;
    std::uint64_t revision = 0;
    Objects objects;
  };

  // Keeps a copy of the objects every kCopyInterval.
  void TakeCopy();
  // Writes an object of no interest to instances every kOtherWriteInterval, as
  // other users of the store do; it makes the revisions rise.
  void WriteOther();
  // Adds the era to each response.
  [[nodiscard]] HttpServer::Reply WithEra(HttpServer::Reply reply) const;
  void Handle(const HttpRequest& request, const HttpServer::Reply& reply);
  // Returns the last revision that a read can see.
  [[nodiscard]] std::uint64_t Visible(bool is_cached) const;
  // Returns a copy that is older than the cache's lag, or the oldest one.
  [[nodiscard]] Copy CachedCopy() const;
  [[nodiscard]] static HttpResponse List(const Objects& objects,
                                         std::uint64_t revision,
                                         const std::string& kind,
                                         const std::string& after);
  [[nodiscard]] HttpResponse Changes(const Watch& watch) const;
  [[nodiscard]] bool HasChanges(const Watch& watch) const;
  void StartWatch(Watch watch, Duration wait);
  void AnswerWatches();
  void EndWatches();
  void Record(const std::string& kind, const std::string& name,
              const std::string& spec);

  Timer& timer_;
  const Clock& clock_;
  Random& random_;
  StoreFault fault_ = StoreFault::kNone;
  std::uint64_t revision_ = 1;
  // The history contains the changes after this revision.
  std::uint64_t history_from_ = 1;
  // Rises with each restoration.
  std::uint64_t era_ = 1;
  Duration cache_lag_{};
  Objects objects_;
  // The last copies, newest last.
  std::deque<Copy> copies_;
  std::deque<Change> changes_;
  std::list<Watch> watches_;
  // Unanswered calls; kept so that their connections stay open.
  std::list<HttpServer::Reply> unanswered_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace sapphirestream::soak

#endif  // SAPPHIRESTREAM_TESTING_SOAK_STORE_STANDIN_H_
