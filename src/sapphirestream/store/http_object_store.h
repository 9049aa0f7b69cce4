// The platform's object API over HTTP (protocol in docs/design.md, section
// 9.1).
#ifndef SAPPHIRESTREAM_STORE_HTTP_OBJECT_STORE_H_
#define SAPPHIRESTREAM_STORE_HTTP_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "sapphirestream/base/endpoint.h"
#include "sapphirestream/store/object_store.h"

namespace sapphirestream {

namespace internal {
class HttpChannel;
}  // namespace internal

// Keeps one connection for each kind of call, so that a waiting watch does not
// hold up a write. Calls of one kind run one after the other. Answers that are
// malformed or larger than 1 MB count as kStoreUnavailable, or as
// kOutcomeUnknown after a write. Calls still open when the store is destroyed
// are dropped without calling back.
class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(boost::asio::io_context& context, const Endpoint& server);
  ~HttpObjectStore() override;
  HttpObjectStore(const HttpObjectStore&) = delete;
  HttpObjectStore& operator=(const HttpObjectStore&) = delete;

  void Get(const std::string& name, Duration deadline,
           GetCallback done) override;
  // A watch that the server leaves unanswered fails with kStoreUnavailable,
  // kWatchSlack after the deadline.
  void Watch(const std::string& name, ObjectVersion known, Duration deadline,
             GetCallback done) override;
  // Refuses values above 1 MB with kOutOfRange.
  void Put(const std::string& name, ObjectVersion expected, std::string value,
           Duration deadline, PutCallback done) override;
  void ListInstances(Duration deadline, ListCallback done) override;

 private:
  std::string host_;
  boost::asio::io_context& context_;
  std::shared_ptr<internal::HttpChannel> gets_;
  std::shared_ptr<internal::HttpChannel> watches_;
  std::shared_ptr<internal::HttpChannel> puts_;
  std::shared_ptr<internal::HttpChannel> lists_;
};

// Time that a server has for the answer after a watch's timeout.
inline constexpr Duration kWatchSlack = std::chrono::milliseconds(500);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_HTTP_OBJECT_STORE_H_
