#ifndef AL_EDGE_HTTP_HTTP_TYPES_H_
#define AL_EDGE_HTTP_HTTP_TYPES_H_

#include <string>
#include <vector>

namespace auburnloft {

/** One header of a request or a response. The name is in lower case. */
struct HttpHeader {
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/** The value of the first header named `name`, or an empty text. */
[[nodiscard]] inline auto HeaderValue(const HttpHeaders& headers,
                                      std::string_view name) -> std::string {
  for (const HttpHeader& header : headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

/** A request as the server received it. */
struct HttpRequest {
  std::string method;
  std::string path;     ///< Without the query.
  std::string query;    ///< Without the question mark.
  HttpHeaders headers;  ///< Those in HttpServer::Options::header_names.
  std::string body;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_HTTP_TYPES_H_
