#ifndef AL_GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_
#define AL_GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

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

  /** About 5 MB. A router of 420 begins 3 streams a second at the peak, and is
      told 6. */
  static constexpr std::size_t kMaxStreams = 20'000;

  static constexpr std::size_t kMaxIdBytes = 128;

  /** Other routers that keep a copy of where a stream began. */
  static constexpr std::size_t kReplicas = 2;

  struct Entry {
    StreamOrigin origin;
    Instant recorded_at{};       ///< By the router that serves the stream.
    std::uint64_t teller = 0;    ///< Hash of that router's incarnation; 0: this
                                 ///< one.
    bool is_replicated = false;  ///< Whether other routers are told of it.
    std::array<std::uint64_t, kReplicas> told{};  ///< Hashes of incarnations.
  };

  StreamOriginTable() = default;

  StreamOriginTable(const StreamOriginTable&) = delete;
  auto operator=(const StreamOriginTable&) -> StreamOriginTable& = delete;

  /** Records a stream that this router serves; a known one begins its lifetime
      anew.
      @return its entry, valid until the next command; null if it is not kept.
   */
  auto RecordOwn(StreamOrigin origin, Instant now) -> Entry*;

  /** Records a stream that another router told. One that this router serves
     stays its own.
      @param teller  hash of the other router's incarnation, not 0. */
  auto RecordTold(StreamOrigin origin,
                  std::uint64_t teller,
                  Instant recorded_at,
                  Instant now) -> void;

  /** Calls `visit` with each entry within its lifetime. */
  auto VisitEntries(Instant now, const std::function<void(Entry&)>& visit)
      -> void;

  /** Returns where a stream began; null if it is not known. Valid until the
     next command. */
  [[nodiscard]] auto Find(std::string_view attempt_id, Instant now) const
      -> const StreamOrigin*;

  [[nodiscard]] auto size() const -> std::size_t {
    return this->streams.size();
  }

 private:
  /** @return the entry; null if the stream is not kept. */
  auto Put(StreamOrigin origin,
           std::uint64_t teller,
           Instant recorded_at,
           Instant now) -> Entry*;
  auto DropOldest(Instant now) -> void;

  std::unordered_map<std::string, Entry> streams;     ///< By attempt id.
  std::deque<std::pair<std::string, Instant>> order;  ///< As recorded.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_STREAMS_STREAM_ORIGIN_TABLE_H_
