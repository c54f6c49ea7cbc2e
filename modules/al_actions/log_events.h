#ifndef AL_ACTIONS_LOG_EVENTS_H_
#define AL_ACTIONS_LOG_EVENTS_H_

#include <string>
#include <vector>

#include "al_actions/action.h"

namespace auburnloft {

/** The answer to a ReadRecords action. */
struct LogRecords {
  LogTag tag = 0;
  LogOffset first = 0;  ///< The offset of records.front(), where there is one.
  LogOffset next =
      0;  ///< The offset that the next record of the stream will have.
  LogOffset oldest = 0;  ///< The oldest offset that the log still keeps.
  std::vector<std::string> records;
};

/** The answer to an AppendRecord action. */
struct LogAppended {
  LogTag tag = 0;
  LogOffset offset = 0;
};

/** A call to the log without an answer. An append may have taken effect all the
 * same. */
struct LogFailed {
  LogTag tag = 0;
};

/** An offset beyond the end of any stream: reading from it tells where the
 * stream ends. */
inline constexpr LogOffset kEndOfStream = ~LogOffset{0};

}  // namespace auburnloft

#endif  // AL_ACTIONS_LOG_EVENTS_H_
