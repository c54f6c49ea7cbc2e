#ifndef PROGRAMS_LOAD_REQUEST_RESULT_H_
#define PROGRAMS_LOAD_REQUEST_RESULT_H_

#include <string>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft::load {

/** Outcome of a request for its caller. */
enum class ResultKind {
  kComplete,      ///< A complete response with the expected text.
  kWrongContent,  ///< A response that differs from the expected text.
  kRefused,       ///< An error that states that the request was not executed.
  kUnknown,  ///< An error that states that the request may have been executed.
  kFailed,   ///< An error that states that the request was executed, or no
             ///< response.
};

/** Result of one request, as its caller observed it. */
struct RequestResult {
  ResultKind kind = ResultKind::kFailed;
  TeamId team;
  std::string kind_name;
  std::string key;
  bool is_service = false;
  std::string
      code;  ///< Error code or connection error; empty for a complete response.
  bool false_refusal = false;  ///< Refused although the budget covered it.
  Tokens max_tokens = 0;       ///< Upper bound of the cost.
  Tokens used_tokens =
      0;  ///< As the response reports it; the bound for a service call.
  int attempts = 0;
  int broken_connections =
      0;  ///< Connections that failed after the first piece, and streams with
          ///< an error event or malformed data.
  std::uint64_t pieces = 0;  ///< Streamed chunks received, one token each.
  Duration first_piece{0};   ///< From the start to the first content.
  Duration total{0};         ///< From the start to the end, with retries.
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_REQUEST_RESULT_H_
