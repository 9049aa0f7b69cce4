// HTTP messages of the operator API.
#include "sapphirestream/admin/http_message.h"

#include <boost/json.hpp>

namespace sapphirestream {

HttpResponse MakeErrorResponse(const Error& error, ConfigVersion version) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  boost::json::object body{
      {"error", answer.name},
      {"detail",
       error.detail.empty() ? std::string(answer.text) : error.detail}};
  if (version != ConfigVersion{}) body["version"] = Value(version);
  constexpr int k_internal_error = 500;
  HttpResponse response;
  response.status =
      answer.http_status == 0 ? k_internal_error : answer.http_status;
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

}  // namespace sapphirestream
