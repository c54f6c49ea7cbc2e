#ifndef WIRE_TEST_CALLER_REQUEST_H_
#define WIRE_TEST_CALLER_REQUEST_H_

#include <string>

#include "al_http1/http1_message.h"

namespace auburnloft::standins {

/** A request as callers of the users' platform send it; a generation where it
    names tokens. */
struct TestCallerRequest {
  std::string id;
  std::string host;
  std::string path;
  std::string key;     ///< Empty: none is sent.
  std::string tokens;  ///< `prompt,most output`; empty for plain work.
  std::string prompt_parts = "aa:10,bb:10";
  std::string deadline_ms;
  std::string body = "body";
};

[[nodiscard]] auto MakeHttpRequest(const TestCallerRequest& request)
    -> Http1Request;

}  // namespace auburnloft::standins

#endif  // WIRE_TEST_CALLER_REQUEST_H_
