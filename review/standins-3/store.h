// Stand-in of the platform's store: lists, watches, a history of 20 s, the
// header Store-Era, restorations from a copy, and a link of limited bandwidth
// to each machine. Operator and endpoints write by calls of Put and Delete;
// their return is the acknowledgement.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline asio::awaitable<void> Sleep(Clock::duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

// The link of a machine: its connections share the bandwidth.
struct Link {
  double bytes_per_s = 125e6;
  Clock::time_point free_at{};
  std::uint64_t bytes = 0;
  // While the machine is cut off from the store, nothing passes; what is under
  // way is held up.
  bool cut = false;

  // Returns when a chunk of this size has passed.
  Clock::time_point Reserve(std::size_t size) {
    const auto time = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(size) / bytes_per_s));
    free_at = std::max(free_at, Clock::now()) + time;
    bytes += size;
    return free_at;
  }
};

class Store {
 public:
  using Log = std::function<void(const std::string&)>;

  Store(asio::io_context& context, Log log)
      : context_(context), log_(std::move(log)) {}

  // Serves the machine of a link at an address of its own.
  void Listen(const tcp::endpoint& at, std::shared_ptr<Link> link) {
    auto acceptor = std::make_shared<tcp::acceptor>(context_, at);
    asio::co_spawn(context_, Accept(acceptor, std::move(link)), asio::detached);
  }

  // Returns the revision, which stays the same if nothing changes.
  std::uint64_t Put(const std::string& kind, const std::string& name,
                    const std::string& spec) {
    Object& object = objects_[kind][name];
    if (object.revision != 0 && object.spec == spec) return revision_;
    object.spec = spec;
    object.revision = ++revision_;
    if (object.created == 0) object.created = revision_;
    Record(kind, name, object, false);
    return revision_;
  }
  std::uint64_t Delete(const std::string& kind, const std::string& name) {
    auto& all = objects_[kind];
    const auto it = all.find(name);
    if (it == all.end()) return revision_;
    Object last = it->second;
    all.erase(it);
    last.revision = ++revision_;
    Record(kind, name, last, true);
    return revision_;
  }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] bool away() const { return away_; }
  [[nodiscard]] bool Contains(const std::string& kind,
                              const std::string& name) {
    return objects_[kind].contains(name);
  }

  void set_era(std::uint64_t era) { era_ = era; }
  [[nodiscard]] std::uint64_t era() const { return era_; }
  // Keeps a copy of all objects.
  void TakeCopy() { copy_ = {objects_, revision_}; }
  // The store is away: connections are reset, new ones as well.
  void GoAway() {
    away_ = true;
    for (const auto& socket : std::set(sockets_)) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  // The store is back, from the copy if there is one to be used.
  void ComeBack(bool from_copy) {
    if (from_copy) {
      objects_ = copy_.objects;
      revision_ = copy_.revision;
      history_.clear();
      history_from_ = revision_;
      ++era_;
    }
    away_ = false;
  }

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;
  struct Change {
    std::uint64_t revision;
    Clock::time_point time;
    std::string kind;
    std::string text;
  };
  struct Copy {
    Objects objects;
    std::uint64_t revision = 0;
  };
  using SocketPtr = std::shared_ptr<tcp::socket>;
  static constexpr std::size_t kPage = 500;
  static constexpr auto kHistory = 20s;

  static std::string Text(const std::string& name, const Object& object) {
    return R"({"meta":{"Name":")" + name + R"(","Revision":)" +
           std::to_string(object.revision) + R"(,"CreateRevision":)" +
           std::to_string(object.created) +
           R"(,"Finalizers":[],"Deleting":false},"spec":)" + object.spec +
           R"(,"status":null})";
  }
  void Record(const std::string& kind, const std::string& name,
              const Object& object, bool removed) {
    history_.push_back({revision_, Clock::now(), kind,
                        std::string(R"({"Tombstone":)") +
                            (removed ? "true" : "false") + R"(,"Object":)" +
                            Text(name, object) + "}"});
    std::vector<std::shared_ptr<asio::steady_timer>> waiting;
    waiting.swap(waiting_);
    for (const auto& timer : waiting) timer->cancel();
  }
  void ForgetOldHistory() {
    while (!history_.empty() &&
           Clock::now() - history_.front().time > kHistory) {
      history_from_ = history_.front().revision;
      history_.pop_front();
    }
  }
  static std::string Parameter(const std::string& query,
                               const std::string& name) {
    std::size_t at = 0;
    while (at < query.size()) {
      const std::size_t end = std::min(query.find('&', at), query.size());
      const std::string field = query.substr(at, end - at);
      if (field.rfind(name + "=", 0) == 0) return field.substr(name.size() + 1);
      at = end + 1;
    }
    return {};
  }
  [[nodiscard]] std::string List(const std::string& kind,
                                 const std::string& after) {
    std::string items;
    std::size_t count = 0;
    const auto& all = objects_[kind];
    auto it = all.upper_bound(after);
    for (; it != all.end() && count < kPage; ++it, ++count) {
      items += (count ? "," : "") + Text(it->first, it->second);
    }
    return R"({"items":[)" + items + R"(],"Truncated":)" +
           (it != all.end() ? "true" : "false") + R"(,"CurrentRev":)" +
           std::to_string(revision_) + "}";
  }
  // The changes after a revision, about 1 MB at most, like the items of a list.
  struct Events {
    std::string text;
    bool truncated = false;
    // From where to continue.
    std::uint64_t revision = 0;
  };
  [[nodiscard]] Events ChangesOf(const std::string& kind,
                                 std::uint64_t since) const {
    constexpr std::size_t limit = 1'000'000;
    Events events;
    events.revision = revision_;
    for (const Change& change : history_) {
      if (change.kind != kind || change.revision <= since) continue;
      if (events.text.size() >= limit) {
        events.truncated = true;
        break;
      }
      events.text += (events.text.empty() ? "" : ",") + change.text;
      events.revision = change.revision;
    }
    if (!events.truncated) events.revision = revision_;
    return events;
  }

  asio::awaitable<void> Accept(std::shared_ptr<tcp::acceptor> acceptor,
                               std::shared_ptr<Link> link) {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(
          co_await acceptor->async_accept(asio::use_awaitable));
      if (away_) {
        boost::system::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
        continue;
      }
      socket->set_option(tcp::no_delay(true));
      // The windows of links are small.
      socket->set_option(asio::socket_base::send_buffer_size(32768));
      asio::co_spawn(context_, Session(socket, link), asio::detached);
    }
  }

  asio::awaitable<void> Session(SocketPtr socket, std::shared_ptr<Link> link) {
    sockets_.insert(socket);
    try {
      boost::beast::flat_buffer buffer;
      for (;;) {
        http::request<http::string_body> request;
        co_await http::async_read(*socket, buffer, request,
                                  asio::use_awaitable);
        const auto [status, body] =
            co_await Answer(std::string(request.target()));
        while (link->cut) co_await Sleep(10ms);
        if (away_) break;
        std::string reply =
            "HTTP/1.1 " + std::to_string(status) +
            " -\r\nContent-Type: application/json\r\nStore-Era: " +
            std::to_string(era_) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
        if (body.size() > 500'000) {
          log_("store: a reply of " + std::to_string(body.size()) +
               " bytes begins, " + std::string(request.target()));
        }
        for (std::size_t at = 0; at < reply.size();) {
          const std::size_t size =
              std::min<std::size_t>(16384, reply.size() - at);
          asio::steady_timer timer(context_);
          timer.expires_at(link->Reserve(size));
          co_await timer.async_wait(asio::use_awaitable);
          co_await asio::async_write(*socket,
                                     asio::buffer(reply.data() + at, size),
                                     asio::use_awaitable);
          at += size;
        }
      }
    } catch (const std::exception&) {
      // The peer or GoAway has closed the connection.
    }
    sockets_.erase(socket);
  }

  asio::awaitable<std::pair<int, std::string>> Answer(std::string target) {
    static const std::string path = "/sapphirestream/objects/";
    co_await Sleep(4ms);
    const std::size_t mark = std::min(target.find('?'), target.size());
    const std::string kind = target.substr(path.size(), mark - path.size());
    const std::string query =
        mark < target.size() ? target.substr(mark + 1) : "";
    const std::string watch = Parameter(query, "Watch");
    if (watch.empty())
      co_return std::pair(200, List(kind, Parameter(query, "after")));
    const std::uint64_t since = std::stoull(watch);
    ForgetOldHistory();
    if (since < history_from_ || since > revision_) {
      co_return std::pair(410, std::string("{}"));
    }
    const auto until =
        Clock::now() +
        std::chrono::milliseconds(std::stoul("0" + Parameter(query, "WaitMs")));
    const std::uint64_t era = era_;
    while (ChangesOf(kind, since).text.empty() && Clock::now() < until &&
           era == era_) {
      auto timer = std::make_shared<asio::steady_timer>(context_);
      timer->expires_at(until);
      waiting_.push_back(timer);
      boost::system::error_code ignored;
      co_await timer->async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    const Events events = ChangesOf(kind, since);
    co_return std::pair(
        200, R"({"events":[)" + events.text + R"(],"Truncated":)" +
                 (events.truncated ? "true" : "false") + R"(,"CurrentRev":)" +
                 std::to_string(events.revision) + "}");
  }

  asio::io_context& context_;
  Log log_;
  Objects objects_;
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::deque<Change> history_;
  std::uint64_t history_from_ = 1;
  Copy copy_;
  bool away_ = false;
  std::set<SocketPtr> sockets_;
  std::vector<std::shared_ptr<asio::steady_timer>> waiting_;
};

}  // namespace review
