// HTTP messages of the operator API, independent of the HTTP library.
#ifndef SAPPHIRESTREAM_ADMIN_HTTP_MESSAGE_H_
#define SAPPHIRESTREAM_ADMIN_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

#include "sapphirestream/base/error.h"
#include "sapphirestream/base/id.h"

namespace sapphirestream {

struct HttpRequest {
  std::string method;
  // Path and query.
  std::string target;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  // Further header fields: names and values.
  std::vector<std::pair<std::string, std::string>> fields{};
};

// Returns the response for an error: its HTTP status and a JSON object with its
// name, its detail and, unless zero, the version of the configuration that
// prevailed.
[[nodiscard]] HttpResponse MakeErrorResponse(const Error& error,
                                             ConfigVersion version = {});

}  // namespace sapphirestream

#endif  // SAPPHIRESTREAM_ADMIN_HTTP_MESSAGE_H_
