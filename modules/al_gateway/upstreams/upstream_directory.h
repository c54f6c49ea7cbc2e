#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/upstreams/upstream_state.h"

namespace auburnloft::gateway {

/** The upstreams that the log lists, by service.

    Removals that come with or right after the log's return may only mean that
   entries lapsed while it was away: such an upstream becomes doubtful, and is
   gone if it has not come back within the grace period.

    Thread safety: none; used on one thread.
*/
class UpstreamDirectory {
 public:
  using State = std::shared_ptr<UpstreamState>;
  using OnLeft = std::function<void(const UpstreamState&)>;

  /** @param on_left  called when an upstream stops taking new work. */
  explicit UpstreamDirectory(OnLeft on_left) : left(std::move(on_left)) {}

  UpstreamDirectory(const UpstreamDirectory&) = delete;
  auto operator=(const UpstreamDirectory&) -> UpstreamDirectory& = delete;

  //============================================================================
  // Commands

  /** An entry is new or has changed. */
  auto Put(UpstreamRecord record) -> void;

  /** An entry is there no more, or names no usable upstream. */
  auto Remove(std::string_view id, Instant now) -> void;

  /** Removes all entries but those named, after the list was read anew. */
  auto RemoveAllExcept(const std::set<std::string>& ids, Instant now) -> void;

  /** The log answers again after an outage. */
  auto RecordLogRecovery(Instant now) -> void;

  /** Drops doubtful upstreams whose grace period has passed. */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  /** Upstreams of a service, the leaving ones too. */
  [[nodiscard]] auto UpstreamsOfService(std::string_view service) const
      -> std::span<const State>;

  [[nodiscard]] auto size() const -> std::size_t { return this->by_id.size(); }

 private:
  struct Entry {
    State state;
    Instant gone_at{};  ///< When a doubtful one is gone.
  };

  auto Drop(const std::string& id) -> void;

  OnLeft left;
  std::unordered_map<std::string, Entry> by_id;
  std::unordered_map<std::string, std::vector<State>> by_service;
  Instant doubt_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_
