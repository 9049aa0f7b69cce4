// ObjectStore client for the platform's object API over HTTP (protocol in
// docs/design.md, section 9.1).
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

// Uses a separate connection for each kind of call, so that a pending watch
// does not delay a write. Calls of one kind run sequentially. Responses that
// are malformed or larger than 1 MB are reported as kStoreUnavailable, or as
// kOutcomeUnknown after a write. Calls that are pending when the store is
// destroyed are dropped without invoking their callbacks.
class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(boost::asio::io_context& context, const Endpoint& server);
  ~HttpObjectStore() override;
  HttpObjectStore(const HttpObjectStore&) = delete;
  HttpObjectStore& operator=(const HttpObjectStore&) = delete;

  void Get(const std::string& name, Duration deadline,
           GetCallback done) override;
  // Fails with kStoreUnavailable, kWatchGracePeriod after the deadline, if the
  // server does not respond.
  void Watch(const std::string& name, ObjectVersion known, Duration deadline,
             GetCallback done) override;
  // Rejects values larger than 1 MB with kOutOfRange.
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

// Time that the server has to respond after the time-out of a watch.
inline constexpr Duration kWatchGracePeriod = std::chrono::milliseconds(500);

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_STORE_HTTP_OBJECT_STORE_H_
