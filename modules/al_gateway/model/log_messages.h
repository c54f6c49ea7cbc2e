#ifndef AL_GATEWAY_MODEL_LOG_MESSAGES_H_
#define AL_GATEWAY_MODEL_LOG_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnloft::gateway {

/** A record of a keyed topic of the log service ("the log"). */
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;  ///< None: a tombstone.
};

/** A page of the list with the newest record of each key. */
struct NewestPage {
  std::vector<KeyedRecord> records;
  std::optional<std::string>
      more_after;                ///< Next page: after this key; none: the last.
  std::uint64_t end_offset = 0;  ///< Where to read after the list.
};

/** Records read from a topic, in the topic's order. */
struct ReadBatch {
  std::vector<KeyedRecord> records;
  std::uint64_t next_offset = 0;  ///< Where to read next.
  std::uint64_t end_offset = 0;   ///< End of the topic.
  bool history_lost = false;  ///< Records were deleted before they were read.
};

/** The result of an append. */
enum class AppendStatus {
  kDone,        ///< The records are in the log.
  kRefused,     ///< They are not, and will not be.
  kOutOfOrder,  ///< The log expects another sequence number.
  kFenced,      ///< A newer epoch of the producer has appended.
};

/** The reply to an append. */
struct AppendReply {
  AppendStatus status = AppendStatus::kRefused;
  std::uint64_t expected_sequence = 0;  ///< Set with kOutOfOrder.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_LOG_MESSAGES_H_
