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

/** The streams of the stand-in log: append-only, with offsets, for a limited
   time and number.

    Thread safety: none; used on one thread.
*/
class LogStore {
 public:
  struct Retention {
    std::size_t records = 100'000;  ///< Of one stream.
    Duration age = std::chrono::hours(24);
  };

  struct Slice {
    LogOffset first = 0;
    LogOffset next = 0;
    LogOffset oldest = 0;
    std::vector<std::string> records;
  };

  explicit LogStore(Retention retention) : retention(retention) {}

  /** Appends a record. @return its offset. */
  auto Append(Instant now, std::string_view stream, std::string record)
      -> LogOffset;

  /** Drops what is older than the retention allows. */
  auto DropExpired(Instant now) -> void;

  /** At most `most` records from `from` on. */
  [[nodiscard]] auto Read(std::string_view stream,
                          LogOffset from,
                          std::size_t max_records) const -> Slice;

  [[nodiscard]] auto appends() const -> std::uint64_t {
    return this->append_count;
  }
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
