#ifndef AL_ACTIONS_LOG_EVENTS_H_
#define AL_ACTIONS_LOG_EVENTS_H_

#include <string>
#include <vector>

#include "al_actions/action.h"

namespace auburnloft {

/** The log service's reply to a ReadRecords action. */
struct LogRecords {
  LogTag tag = 0;
  LogOffset first = 0;  ///< The offset of records.front(); meaningless if there
                        ///< are no records.
  LogOffset next = 0;   ///< The offset that the next appended record will get.
  LogOffset oldest = 0;  ///< The oldest offset that the log still holds.
  std::vector<std::string> records;
};

/** The log service's reply to an AppendRecord action. */
struct LogAppended {
  LogTag tag = 0;
  LogOffset offset = 0;
};

/** A call to the log service failed or got no reply. An append may have taken
 * effect nevertheless. */
struct LogFailed {
  LogTag tag = 0;
};

/** An offset beyond the end of any stream. Reading from it returns no records,
 * but the offset at which the stream ends. */
inline constexpr LogOffset kEndOfStream = ~LogOffset{0};

}  // namespace auburnloft

#endif  // AL_ACTIONS_LOG_EVENTS_H_
