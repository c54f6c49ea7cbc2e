#ifndef STORE_KEYED_LOG_H_
#define STORE_KEYED_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/model/log_messages.h"

namespace auburnloft::standins {

/** The topics of the platform's store (its log service), in memory. A topic
    holds keyed records in order and the newest record of each key. Repeated
    appends of a producer are deduplicated by sequence number.

    Thread safety: none; used on one thread.
*/
class KeyedLog {
 public:
  using Record = gateway::KeyedRecord;

  /** The result of an append. */
  struct AppendResult {
    bool accepted = false;
    bool is_fenced = false;  ///< A higher epoch of the producer has appended.
    std::uint64_t expected_sequence = 0;  ///< If not accepted.
    std::uint64_t end = 0;  ///< Offset after the last record of the topic.
  };

  /** The source of an append. */
  struct Producer {
    std::string name;         ///< Empty: no sequence check.
    std::uint64_t epoch = 0;  ///< A higher one may start at any sequence.
    std::uint64_t sequence = 0;
  };

  //============================================================================
  // Commands

  /** Appends records to a topic if the producer's sequence number is the next
      one. Accepts a repeat of the producer's last append without storing it
      again, and refuses any other sequence number. */
  auto Append(const std::string& topic,
              const Producer& producer,
              std::vector<Record> records) -> AppendResult;

  /** Removes the ordered records of a topic. The newest record of each key
      stays available through Newest(). */
  auto Compact(const std::string& topic) -> void;

  //============================================================================
  // Queries

  /** The offset after the last record. */
  [[nodiscard]] auto EndOffset(const std::string& topic) const -> std::uint64_t;

  /** The offset of the first record that ReadFrom() can return. */
  [[nodiscard]] auto FirstOffset(const std::string& topic) const
      -> std::uint64_t;

  /** The records from `offset` on.
      @pre FirstOffset() <= offset <= EndOffset() */
  [[nodiscard]] auto ReadFrom(const std::string& topic,
                              std::uint64_t offset) const
      -> std::vector<Record>;

  /** The newest record of each key, without tombstones (records that have no
      value). */
  [[nodiscard]] auto Newest(const std::string& topic) const
      -> std::vector<Record>;

 private:
  struct Topic {
    std::vector<Record> records;
    std::uint64_t first = 0;
    std::map<std::string, Record> newest;
    std::map<std::string, Producer> next_appends;  ///< By producer.
  };

  std::map<std::string, Topic> topics;
};

}  // namespace auburnloft::standins

#endif  // STORE_KEYED_LOG_H_
