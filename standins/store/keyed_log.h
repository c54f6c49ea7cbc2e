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

/** The keyed topics of the platform's store, in memory: records in order, the
   newest of each key, and producers whose repeats are dropped.

    Thread safety: none; used on one thread.
*/
class KeyedLog {
 public:
  using Record = gateway::KeyedRecord;

  /** How an append ended. */
  struct AppendResult {
    bool accepted = false;
    std::uint64_t expected_sequence = 0;  ///< Where it was out of order.
    std::uint64_t end = 0;
  };

  struct Producer {
    std::string name;  ///< Empty: appended without a number.
    std::uint64_t sequence = 0;
  };

  //============================================================================
  // Commands

  auto Append(const std::string& topic,
              const Producer& producer,
              std::vector<Record> records) -> AppendResult;

  /** Deletes all records but the newest of each key. */
  auto Compact(const std::string& topic) -> void;

  //============================================================================
  // Queries

  /** The offset behind the last record. */
  [[nodiscard]] auto EndOffset(const std::string& topic) const -> std::uint64_t;

  /** The first record that is still readable in its order. */
  [[nodiscard]] auto FirstOffset(const std::string& topic) const
      -> std::uint64_t;

  /** Records from `offset` on. @pre First() <= offset <= End(). */
  [[nodiscard]] auto ReadFrom(const std::string& topic,
                              std::uint64_t offset) const
      -> std::vector<Record>;

  /** The newest record of each key, without dropped keys. */
  [[nodiscard]] auto Newest(const std::string& topic) const
      -> std::vector<Record>;

 private:
  struct Topic {
    std::vector<Record> records;
    std::uint64_t first = 0;
    std::map<std::string, Record> newest;
    std::map<std::string, std::uint64_t> next_sequence;  ///< By producer.
  };

  std::map<std::string, Topic> topics;
};

}  // namespace auburnloft::standins

#endif  // STORE_KEYED_LOG_H_
