#ifndef WIRE_TEST_CALLER_REQUEST_H_
#define WIRE_TEST_CALLER_REQUEST_H_

#include <string>

#include "al_http1/http1_message.h"

namespace auburnloft::standins {

/** A request in the form that callers of the users' platform send, for tests.
    It is a generation if `tokens` is set. */
struct TestCallerRequest {
  std::string id;
  std::string host;
  std::string path;
  std::string key;     ///< The caller's key; empty: not sent.
  std::string tokens;  ///< `PROMPT,MAX_OUTPUT`; empty: a plain call.
  std::string prompt_parts = "aa:10,bb:10";
  std::string deadline_ms;
  std::string last_event_id;  ///< Takes up a stream after it; empty: does not.
  std::string resumes;  ///< Attempt that brought the first event of the stream.
  std::string body = "body";
};

/** Converts a request to its HTTP form. */
[[nodiscard]] auto MakeHttpRequest(const TestCallerRequest& request)
    -> Http1Request;

}  // namespace auburnloft::standins

#endif  // WIRE_TEST_CALLER_REQUEST_H_
