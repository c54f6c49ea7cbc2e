#ifndef STANDINS_PLATFORM_LOG_STORE_H_
#define STANDINS_PLATFORM_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft::standins {

/** The append-only streams of the stand-in log service. Each record has an
    offset; old records expire by number and by age.

    Thread safety: none; used on one thread.
*/
class LogStore {
 public:
  struct Retention {
    std::size_t records = 100'000;  ///< Maximum per stream.
    Duration age = std::chrono::hours(24);
  };

  /** The result of a read. */
  struct Slice {
    LogOffset first = 0;   ///< Offset of the first record returned.
    LogOffset next = 0;    ///< Offset after the last record of the stream.
    LogOffset oldest = 0;  ///< Offset of the oldest record kept.
    std::vector<std::string> records;
  };

  explicit LogStore(Retention retention) : retention(retention) {}

  /** Appends a record to a stream, which is created if necessary.
      @return the offset of the record. */
  auto Append(Instant now, std::string_view stream, std::string record)
      -> LogOffset;

  /** Removes the records that exceed the retention. */
  auto DropExpired(Instant now) -> void;

  /** Reads up to `max_records` records, starting at offset `from` or, if that
      record has expired, at the oldest one. */
  [[nodiscard]] auto Read(std::string_view stream,
                          LogOffset from,
                          std::size_t max_records) const -> Slice;

  /** Number of records appended so far. */
  [[nodiscard]] auto appends() const -> std::uint64_t {
    return this->append_count;
  }

  /** Number of bytes appended so far. */
  [[nodiscard]] auto bytes() const -> std::uint64_t { return this->byte_count; }

 private:
  struct Record {
    Instant appended_at;
    std::string bytes;
  };
  struct Stream {
    LogOffset oldest = 0;
    std::deque<Record> records;
  };

  Retention retention;
  std::map<std::string, Stream, std::less<>> streams;
  std::uint64_t append_count = 0;
  std::uint64_t byte_count = 0;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_PLATFORM_LOG_STORE_H_
