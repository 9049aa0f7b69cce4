// HTTP API for operators: serves the state of the instance and accepts
// configuration changes.
#ifndef SAPPHIRESTREAM_INSTANCE_OPERATOR_API_H_
#define SAPPHIRESTREAM_INSTANCE_OPERATOR_API_H_

#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "sapphirestream/admin/http_message.h"
#include "sapphirestream/base/error.h"
#include "sapphirestream/contract/change.h"
#include "sapphirestream/contract/configuration.h"
#include "sapphirestream/store/config_writer.h"

namespace sapphirestream {

// The state and operations of an instance that OperatorApi exposes.
class OperatorBackend {
 public:
  virtual ~OperatorBackend() = default;
  // The newest accepted configuration, null before the first one.
  [[nodiscard]] virtual std::shared_ptr<const Configuration> configuration()
      const = 0;
  // Whether the instance forwards packets.
  [[nodiscard]] virtual bool is_ready() const = 0;
  // Calls `done` exactly once.
  virtual void Submit(const Change& change, ConfigWriter::Done done) = 0;
  // Calls `done` exactly once.
  virtual void ReadStatus(std::function<void(boost::json::object)> done) = 0;
  [[nodiscard]] virtual boost::json::object Dump() const = 0;
  [[nodiscard]] virtual std::string Metrics() const = 0;
};

class OperatorApi {
 public:
  using Reply = std::function<void(HttpResponse)>;

  explicit OperatorApi(OperatorBackend& backend) : backend_(backend) {}

  // Calls `reply` exactly once. Errors are reported in the response, by the
  // names of ErrorKind.
  void Handle(const HttpRequest& request, const Reply& reply);

 private:
  [[nodiscard]] leaf::result<HttpResponse> Read(std::string_view path) const;
  [[nodiscard]] leaf::result<HttpResponse> ReadConfiguration(
      std::string_view path) const;
  void Change(const HttpRequest& request, const Reply& reply);

  OperatorBackend& backend_;
};

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_INSTANCE_OPERATOR_API_H_
