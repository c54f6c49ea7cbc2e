#ifndef AL_GATEWAY_MODEL_LOG_MESSAGES_H_
#define AL_GATEWAY_MODEL_LOG_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnloft::gateway {

/** A record of a keyed topic. */
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;  ///< None: the key is dropped.
};

/** A page of the newest record of each key. */
struct NewestPage {
  std::vector<KeyedRecord> records;
  std::optional<std::string> more_after;  ///< The key to go on from.
  std::uint64_t end_offset = 0;           ///< Where reading goes on.
};

/** Records read from a topic, in their order. */
struct ReadBatch {
  std::vector<KeyedRecord> records;
  std::uint64_t next_offset = 0;
  std::uint64_t end_offset = 0;
  bool history_lost = false;  ///< Records before were deleted unread.
};

/** How an append ended. */
enum class AppendStatus {
  kDone,        ///< It is on the log.
  kRefused,     ///< It is not and will not be.
  kOutOfOrder,  ///< The log expects another sequence number.
  kFenced,      ///< A newer epoch of the same producer has written.
};

/** The answer to an append. */
struct AppendReply {
  AppendStatus status = AppendStatus::kRefused;
  std::uint64_t expected_sequence = 0;  ///< With kOutOfOrder.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_LOG_MESSAGES_H_
