#ifndef AL_GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_
#define AL_GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Where a stream began. */
struct StreamOrigin {
  std::string
      attempt_id;  ///< Of the caller's attempt that got its first event.
  std::string service;
  std::string version;  ///< Of the software of the upstream that sent it;
                        ///< empty: in doubt, the stream must not go on.
};

/** Where recent streams began: those of this router, and those that other
    routers told. A caller that takes a stream up names the attempt that began
    it.

    Bounded in time and number, the oldest are dropped first. Ids come from
    callers, so that overlong ones are not kept.

    Thread safety: none; use on one thread.
*/
class StreamOriginTable {
 public:
  /** How long a stream may be taken up: twice the longest time-out of the
      users' routes, within which a stream and its repetitions end. */
  static constexpr Duration kLifetime = std::chrono::seconds(30);

  /** About 2 MB. A router of 420 begins 3 streams a second at the peak, and is
      told 6. */
  static constexpr std::size_t kMaxStreams = 20'000;

  static constexpr std::size_t kMaxIdBytes = 128;

  StreamOriginTable() = default;

  StreamOriginTable(const StreamOriginTable&) = delete;
  auto operator=(const StreamOriginTable&) -> StreamOriginTable& = delete;

  /** Records a stream that this router serves; a known one begins its lifetime
      anew. */
  auto RecordOwn(StreamOrigin origin, Instant now) -> void;

  /** Records a stream that another router told. */
  auto RecordTold(StreamOrigin origin, Instant now) -> void;

  /** Returns the own streams of a service that were not returned before, to be
      told to other routers. */
  [[nodiscard]] auto TakeUntold(std::string_view service, Instant now)
      -> std::vector<StreamOrigin>;

  /** Returns where a stream began; null if it is not known. Valid until the
     next command. */
  [[nodiscard]] auto Find(std::string_view attempt_id, Instant now) const
      -> const StreamOrigin*;

  [[nodiscard]] auto size() const -> std::size_t {
    return this->streams.size();
  }

 private:
  struct Entry {
    StreamOrigin origin;
    Instant recorded_at{};
    bool is_untold = false;
  };

  auto Record(StreamOrigin origin, bool is_untold, Instant now) -> void;
  auto DropOldest(Instant now) -> void;

  std::unordered_map<std::string, Entry> streams;     ///< By attempt id.
  std::deque<std::pair<std::string, Instant>> order;  ///< As recorded.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_
