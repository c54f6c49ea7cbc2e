#ifndef AL_LOGSTORE_TOPIC_FOLLOWER_H_
#define AL_LOGSTORE_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/model/log_messages.h"
#include "al_http1/http1_client.h"

namespace auburnloft {

/** Keeps up with a keyed topic of the log.

    Lists the newest record of each key first, then reads what is appended.
   Where the history was deleted before it was read, it lists anew and tells so.

    Thread safety: none; used on the loop's thread.
*/
class TopicFollower {
 public:
  struct Settings {
    std::string topic;
    Duration wait{0};      ///< How long the log may hold a read without news.
    Duration interval{0};  ///< Least time between two reads without news.
    /** Whether only the newest record of each key in one answer is told: for
       records that are costly to read and replace each other. */
    bool newest_only = false;
  };

  struct Callbacks {
    /** A record, in the order of the log but while listing. */
    std::function<void(const gateway::KeyedRecord&)> on_record;
    /** History was deleted unread; a list follows. May be empty. */
    std::function<void()> on_history_lost;
    /** A list was read to its end; `keys` are all that exist. */
    std::function<void(const std::set<std::string>& keys)> on_listed;
    /** Whether a call was answered as it should. */
    std::function<void(bool answered)> on_contact;
  };

  TopicFollower(SocketPoller& poller,
                std::string address,
                Settings settings,
                Callbacks callbacks);
  ~TopicFollower();

  TopicFollower(const TopicFollower&) = delete;
  auto operator=(const TopicFollower&) -> TopicFollower& = delete;

  /** Begins to follow. */
  auto Start() -> void;

  /** Reads now rather than after the interval. */
  auto ReadNow() -> void;

 private:
  auto Step() -> void;
  auto CallNewest() -> void;
  auto CallRead() -> void;
  auto OnNewest(const std::optional<Http1Client::Reply>& reply) -> void;
  auto OnRead(const std::optional<Http1Client::Reply>& reply) -> void;
  auto TellBatch(const std::vector<gateway::KeyedRecord>& records) -> void;
  auto Continue(Duration delay) -> void;
  auto Failed() -> void;

  Http1Client caller;
  Settings settings;
  Callbacks calls;
  std::unique_ptr<LoopTimer> timer;
  bool listing = true;
  bool reads_again = false;
  std::string list_after;
  std::set<std::string> list_keys;
  std::uint64_t list_end = 0;
  std::uint64_t next_offset = 0;
  int failures = 0;
};

}  // namespace auburnloft

#endif  // AL_LOGSTORE_TOPIC_FOLLOWER_H_
