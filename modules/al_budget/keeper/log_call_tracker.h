#ifndef AL_BUDGET_KEEPER_LOG_CALL_TRACKER_H_
#define AL_BUDGET_KEEPER_LOG_CALL_TRACKER_H_

#include <map>
#include <optional>
#include <string>

#include "al_actions/action_queue.h"
#include "al_core/ids/ids.h"

namespace auburnloft {

/** Queues calls to the log service, assigns a tag to each and stores which
    stream it is for.

    Thread safety: none; used on one thread.
*/
class LogCallTracker {
 public:
  explicit LogCallTracker(ActionQueue& actions) : actions(actions) {}

  LogCallTracker(const LogCallTracker&) = delete;
  auto operator=(const LogCallTracker&) -> LogCallTracker& = delete;

  /** Queues an append. @return the tag that its reply will have. */
  auto Append(const StreamId& stream, std::string bytes) -> LogTag {
    const LogTag tag = this->Open(stream);
    this->actions.Push(AppendRecord{tag, stream, std::move(bytes)});
    return tag;
  }

  /** Queues a read. @return the tag that its reply will have. */
  auto Read(const StreamId& stream, LogOffset from) -> LogTag {
    const LogTag tag = this->Open(stream);
    this->actions.Push(ReadRecords{tag, stream, from});
    return tag;
  }

  /** Removes a call that received a reply. @return its stream; empty for an
      unknown tag. */
  auto Close(LogTag tag) -> std::optional<StreamId> {
    const auto found = this->open_calls.find(tag);
    if (found == this->open_calls.end()) {
      return std::nullopt;
    }
    StreamId stream = std::move(found->second);
    this->open_calls.erase(found);
    return stream;
  }

 private:
  auto Open(const StreamId& stream) -> LogTag {
    const LogTag tag = this->next_tag++;
    this->open_calls.emplace(tag, stream);
    return tag;
  }

  ActionQueue& actions;
  std::map<LogTag, StreamId> open_calls;
  LogTag next_tag = 1;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_KEEPER_LOG_CALL_TRACKER_H_
