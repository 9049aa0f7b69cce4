#include "testing/soak/store_standin.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace sapphirestream::soak {
namespace {

constexpr std::string_view kPath = "/sapphirestream/objects/";
// Small, so that even lists of a few targets have several pages.
constexpr std::size_t kPageSize = 4;
// Share of calls that a busy store rejects, in percent.
constexpr std::uint64_t kRejectedPercent = 70;

constexpr Duration kCopyInterval = std::chrono::milliseconds(500);
constexpr Duration kOtherWriteInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMaxCopies = 24;
// Each of up to 200 instances has three connections, and those that the proxies
// have silenced stay open.
constexpr std::size_t kMaxConnections = 4000;

constexpr int kUnavailable = 503;
constexpr int kTooManyCalls = 429;
constexpr int kGone = 410;

std::string ObjectJson(const std::string& name, std::uint64_t revision,
                       const std::string& spec) {
  return R"({"meta":{"Name":")" + name + R"(","Revision":)" +
         std::to_string(revision) + R"(},"spec":)" +
         (spec.empty() ? "null" : spec) + R"(,"status":null})";
}

// Returns the value of a query parameter, or an empty string.
std::string QueryParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view option = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), option.size() + 1));
    if (option.starts_with(name) && option.substr(name.size(), 1) == "=") {
      return std::string(option.substr(name.size() + 1));
    }
  }
  return {};
}

}  // namespace

std::string_view Name(StoreFault fault) noexcept {
  constexpr std::array<std::string_view, 4> names{"none", "unavailable",
                                                  "silent", "busy"};
  return names[static_cast<std::size_t>(fault)];
}

StoreStandin::StoreStandin(boost::asio::io_context& context,
                           const Endpoint& local, Timer& timer,
                           const Clock& clock, Random& random)
    : timer_(timer), clock_(clock), random_(random) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(server_, HttpServer::Open(
                                       context, local,
                                       [this](const HttpRequest& request,
                                              const HttpServer::Reply& r) {
                                         Handle(request, WithEra(r));
                                       },
                                       kMaxConnections));
        return {};
      },
      [](const Error& error) { throw std::runtime_error(error.detail); },
      [] { throw std::runtime_error("cannot open the address of the store"); });
  TakeCopy();
  WriteOther();
}

void StoreStandin::WriteOther() {
  Put("other", "counter", std::to_string(revision_));
  timer_.After(kOtherWriteInterval, [this] { WriteOther(); });
}

void StoreStandin::TakeCopy() {
  copies_.push_back({clock_.Now(), revision_, objects_});
  if (copies_.size() > kMaxCopies) copies_.pop_front();
  timer_.After(kCopyInterval, [this] { TakeCopy(); });
}

void StoreStandin::Restore(Duration age) {
  const auto back = std::min(static_cast<std::size_t>(age / kCopyInterval),
                             copies_.size() - 1);
  const Copy& copy = copies_[copies_.size() - 1 - back];
  objects_ = copy.objects;
  revision_ = copy.revision;
  ++era_;
  changes_.clear();
  history_from_ = revision_;
  copies_.assign(1, {clock_.Now(), revision_, objects_});
  EndWatches();
}

std::vector<std::string> StoreStandin::Names(const std::string& kind) const {
  std::vector<std::string> names;
  if (const auto it = objects_.find(kind); it != objects_.end()) {
    for (const auto& [name, object] : it->second) names.push_back(name);
  }
  return names;
}

void StoreStandin::Put(const std::string& kind, const std::string& name,
                       const std::string& spec) {
  Record(kind, name, spec);
  objects_[kind][name] = {revision_, spec};
  AnswerWatches();
}

void StoreStandin::Delete(const std::string& kind, const std::string& name) {
  if (objects_[kind].erase(name) == 0) return;
  Record(kind, name, {});
  AnswerWatches();
}

void StoreStandin::Record(const std::string& kind, const std::string& name,
                          const std::string& spec) {
  changes_.push_back({clock_.Now(), ++revision_, kind, name, spec});
}

void StoreStandin::ForgetHistory() {
  changes_.clear();
  history_from_ = ++revision_;
  EndWatches();
}

void StoreStandin::SetFault(StoreFault fault) {
  fault_ = fault;
  if (fault_ == StoreFault::kUnavailable) EndWatches();
  // Watches that were pending during an outage report the changes made since.
  AnswerWatches();
}

void StoreStandin::EndWatches() {
  for (Watch& watch : std::exchange(watches_, {})) {
    timer_.Cancel(watch.timer);
    watch.reply({.status = kUnavailable, .body = "{}"});
  }
}

HttpServer::Reply StoreStandin::WithEra(HttpServer::Reply reply) const {
  return [this, reply = std::move(reply)](HttpResponse response) {
    response.fields.emplace_back("Store-Era", std::to_string(era_));
    reply(std::move(response));
  };
}

void StoreStandin::Handle(const HttpRequest& request,
                          const HttpServer::Reply& reply) {
  const std::string_view target = request.target;
  const std::size_t query_start = target.find('?');
  const std::string_view path = target.substr(0, query_start);
  const std::string_view query = query_start == std::string_view::npos
                                     ? std::string_view{}
                                     : target.substr(query_start + 1);
  const bool is_cached = !QueryParameter(query, "StaleOk").empty();
  if (fault_ == StoreFault::kSilent) {
    unanswered_.push_back(reply);
    return;
  }
  if (fault_ == StoreFault::kUnavailable) {
    return reply({.status = kUnavailable, .body = "{}"});
  }
  constexpr std::uint64_t percent = 100;
  if (fault_ == StoreFault::kBusy && !is_cached &&
      random_.Below(percent) < kRejectedPercent) {
    return reply({.status = kTooManyCalls, .body = "{}"});
  }
  const std::string kind(path.substr(std::min(path.size(), kPath.size())));
  const std::string since = QueryParameter(query, "Watch");
  if (since.empty()) {
    const std::string after = QueryParameter(query, "after");
    if (!is_cached || cache_lag_ == Duration::zero()) {
      return reply(List(objects_, revision_, kind, after));
    }
    const Copy copy = CachedCopy();
    return reply(List(copy.objects, copy.revision, kind, after));
  }
  const std::string wait = QueryParameter(query, "WaitMs");
  StartWatch({kind, std::stoull(since), is_cached, reply},
             std::chrono::milliseconds(wait.empty() ? 0 : std::stoul(wait)));
}

std::uint64_t StoreStandin::Visible(bool is_cached) const {
  if (!is_cached) return revision_;
  const auto hidden = std::find_if(
      changes_.begin(), changes_.end(),
      [this](const Change& c) { return clock_.Now() - c.time < cache_lag_; });
  return hidden == changes_.end() ? revision_ : hidden->revision - 1;
}

StoreStandin::Copy StoreStandin::CachedCopy() const {
  const auto copy = std::find_if(
      copies_.rbegin(), copies_.rend(),
      [this](const Copy& c) { return clock_.Now() - c.time >= cache_lag_; });
  return copy == copies_.rend() ? copies_.front() : *copy;
}

HttpResponse StoreStandin::List(const Objects& objects, std::uint64_t revision,
                                const std::string& kind,
                                const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool is_truncated = false;
  if (const auto it = objects.find(kind); it != objects.end()) {
    auto object = it->second.upper_bound(after);
    for (; object != it->second.end() && count < kPageSize; ++object, ++count) {
      if (count > 0) items += ',';
      items += ObjectJson(object->first, object->second.revision,
                          object->second.spec);
    }
    is_truncated = object != it->second.end();
  }
  return {.body = R"({"items":[)" + items + R"(],"Truncated":)" +
                  (is_truncated ? "true" : "false") + R"(,"CurrentRev":)" +
                  std::to_string(revision) + "}"};
}

bool StoreStandin::HasChanges(const Watch& watch) const {
  const std::uint64_t visible = Visible(watch.is_cached);
  return std::any_of(changes_.begin(), changes_.end(), [&](const Change& c) {
    return c.kind == watch.kind && c.revision > watch.since &&
           c.revision <= visible;
  });
}

HttpResponse StoreStandin::Changes(const Watch& watch) const {
  const std::uint64_t visible = Visible(watch.is_cached);
  std::string events;
  for (const Change& change : changes_) {
    if (change.revision > visible) break;
    if (change.kind != watch.kind || change.revision <= watch.since) continue;
    if (!events.empty()) events += ',';
    events += R"({"Tombstone":)";
    events += change.spec.empty() ? "true" : "false";
    events += R"(,"Object":)" +
              ObjectJson(change.name, change.revision, change.spec) + "}";
  }
  return {.body = R"({"events":[)" + events + R"(],"CurrentRev":)" +
                  std::to_string(visible) + "}"};
}

void StoreStandin::StartWatch(Watch watch, Duration wait) {
  if (watch.since < history_from_ || watch.since > revision_) {
    return watch.reply({.status = kGone, .body = "{}"});
  }
  if (HasChanges(watch)) return watch.reply(Changes(watch));
  const auto it = watches_.insert(watches_.end(), std::move(watch));
  it->timer = timer_.After(wait, [this, it] {
    const Watch ended = std::move(*it);
    watches_.erase(it);
    ended.reply(Changes(ended));
  });
}

void StoreStandin::AnswerWatches() {
  // An outage may start while watches are pending.
  if (fault_ == StoreFault::kSilent || fault_ == StoreFault::kUnavailable) {
    return;
  }
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (!HasChanges(*it)) {
      ++it;
      continue;
    }
    const Watch watch = std::move(*it);
    it = watches_.erase(it);
    timer_.Cancel(watch.timer);
    watch.reply(Changes(watch));
  }
}

}  // namespace sapphirestream::soak
