#ifndef AL_LOGSTORE_TOPIC_FOLLOWER_H_
#define AL_LOGSTORE_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/model/log_messages.h"
#include "al_http1/http1_client.h"
#include "al_logstore/log_era.h"

namespace auburnloft {

/** Follows a keyed topic of the log service ("the log").

    It first lists the newest record of each key, then reads the appended
   records. If records were deleted before it read them, or the log was restored
   from an older copy, it reports the loss and lists again: an offset is a
   position in one era of the log only.

    Thread safety: none; used on the loop's thread.
*/
class TopicFollower {
 public:
  struct Settings {
    std::string topic;
    Duration wait{0};      ///< How long the log may hold a read open.
    Duration interval{0};  ///< Pause between reads at the topic's end.
    /** Whether only the newest record of each key in a reply is reported, for
       records that replace each other and are expensive to process. */
    bool newest_only = false;
  };

  struct Callbacks {
    /** Receives a record: in the order of the log, except while listing. */
    std::function<void(const gateway::KeyedRecord&)> on_record;
    /** Called when records were deleted before they were read, or the log was
       restored; a list follows. May be empty. */
    std::function<void()> on_history_lost;
    /** Called at the end of a list with all keys that exist. */
    std::function<void(const std::set<std::string>& keys)> on_listed;
    /** Called after each call to the log: whether it got a valid reply. */
    std::function<void(bool answered)> on_contact;
  };

  /** @param era  must outlive this object. */
  TopicFollower(SocketPoller& poller,
                std::string address,
                LogEra& era,
                Settings settings,
                Callbacks callbacks);
  ~TopicFollower();

  TopicFollower(const TopicFollower&) = delete;
  auto operator=(const TopicFollower&) -> TopicFollower& = delete;

  /** Starts to follow the topic. */
  auto Start() -> void;

  /** Reads now instead of after the interval. Has no effect during the back-off
     after a failed call. */
  auto ReadNow() -> void;

 private:
  /** Sends the next call. */
  auto Step() -> void;
  auto CallNewest() -> void;
  auto CallRead() -> void;
  /** Checks the era of a reply. Starts over if the position is of another one.
      @return whether the reply can be used. */
  [[nodiscard]] auto IsOfCurrentEra(const Http1Client::Reply& reply) -> bool;
  auto StartOver() -> void;
  auto OnNewest(const std::optional<Http1Client::Reply>& reply) -> void;
  auto OnRead(const std::optional<Http1Client::Reply>& reply) -> void;
  /** Reports the records of one reply. */
  auto ReportRecords(const std::vector<gateway::KeyedRecord>& records) -> void;
  auto Continue(Duration delay) -> void;
  auto OnCallFailed() -> void;

  Http1Client caller;
  LogEra& era;
  Settings settings;
  Callbacks callbacks;
  std::unique_ptr<LoopTimer> timer;
  bool listing = true;
  bool reads_again = false;  ///< ReadNow() was called during a call.
  std::string list_after;    ///< Empty: the first page.
  std::set<std::string> list_keys;
  std::uint64_t list_end = 0;  ///< Offset to read from after the list.
  std::uint64_t next_offset = 0;
  std::optional<std::uint64_t> position_era;  ///< Of list_after, next_offset.
  int failures = 0;
};

}  // namespace auburnloft

#endif  // AL_LOGSTORE_TOPIC_FOLLOWER_H_
