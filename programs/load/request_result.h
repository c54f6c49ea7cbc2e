#ifndef PROGRAMS_LOAD_REQUEST_RESULT_H_
#define PROGRAMS_LOAD_REQUEST_RESULT_H_

#include <string>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft::load {

/** How a request ended for its caller. */
enum class ResultKind {
  kComplete,      ///< The whole answer, checked.
  kWrongContent,  ///< An answer that is not its own.
  kRefused,       ///< An error that says that nothing was run.
  kUnknown,       ///< An error that says that it may have run.
  kFailed,        ///< An error that says that it was run, or no answer at all.
};

/** What a caller saw of one request. */
struct RequestResult {
  ResultKind kind = ResultKind::kFailed;
  TeamId team;
  std::string kind_name;
  std::string key;
  bool is_service = false;
  std::string code;  ///< Of an error.
  bool false_refusal = false;
  Tokens max_tokens = 0;   ///< The most that it can cost.
  Tokens used_tokens = 0;  ///< As the answer tells.
  int attempts = 0;
  int broken_connections =
      0;  ///< Connections that broke after the first piece.
  std::uint64_t pieces = 0;
  Duration first_piece{0};
  Duration total{0};
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_REQUEST_RESULT_H_
