#ifndef AL_BUDGET_ALLOWANCE_SETTLED_REQUEST_H_
#define AL_BUDGET_ALLOWANCE_SETTLED_REQUEST_H_

#include <cstdint>
#include <string>

#include "al_core/ids/ids.h"

namespace auburnloft {

/** The reservation and the cost of a completed request, for its bill. */
struct SettledRequest {
  TeamId team;
  RequestKey key;
  ExecutionId run_id;
  std::string request_class;
  std::int64_t issued_at_ms = 0;
  Tokens reserved = 0;
  Tokens spent = 0;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_ALLOWANCE_SETTLED_REQUEST_H_
