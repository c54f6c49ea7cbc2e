#include "wire/test_caller_request.h"

#include "platform/wire_names.h"

namespace auburnloft::standins {

auto MakeHttpRequest(const TestCallerRequest& request) -> Http1Request {
  Http1Request http;
  http.method = "POST";
  http.target = request.path;
  http.fields.Add("Host", request.host);
  http.fields.Add(platform::kAttemptIdHeader, request.id);
  http.fields.Add(platform::kDeadlineHeader, request.deadline_ms);
  if (!request.key.empty()) {
    http.fields.Add(platform::kKeyHeader,
                    std::string(platform::kKeyScheme) + request.key);
  }
  if (!request.tokens.empty()) {
    http.fields.Add(platform::kModelHeader, "m");
    http.fields.Add(platform::kTokensHeader, request.tokens);
    http.fields.Add(platform::kPromptHeader, request.prompt_parts);
  }
  if (!request.last_event_id.empty()) {
    http.fields.Add(platform::kLastEventHeader, request.last_event_id);
    http.fields.Add("Resumes", request.resumes);
  }
  http.body = request.body;
  return http;
}

}  // namespace auburnloft::standins
