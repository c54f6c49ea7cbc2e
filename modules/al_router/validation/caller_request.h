#ifndef AL_ROUTER_VALIDATION_CALLER_REQUEST_H_
#define AL_ROUTER_VALIDATION_CALLER_REQUEST_H_

#include <string>

namespace auburnloft {

/** The parts of a caller's HTTP request that the decision code needs. Absent
 * headers are empty. */
struct CallerRequest {
  std::string method;
  std::string path;  ///< Without the query string.
  std::string authorization;
  std::string idempotency_key;
  std::string
      issued_at;  ///< Header Idempotency-Issued-At, in Unix milliseconds.
  std::string last_event_id;
  std::string request_class;  ///< Header Auburnloft-Class.
  std::string content_type;
  std::string body;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_VALIDATION_CALLER_REQUEST_H_
