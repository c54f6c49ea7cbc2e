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

/** The upstreams that have a record in the log service ("the log"), by service.

    A record whose removal is read when the log recovers from an outage, or
   shortly after, may only have expired because its upstream could not renew it.
   Such an upstream becomes suspect, and is removed if its record does not
   return within a grace period.

    Thread safety: none; used on one thread.
*/
class UpstreamDirectory {
 public:
  using State = std::shared_ptr<UpstreamState>;
  using OnUnavailable = std::function<void(const UpstreamState&)>;

  /** @param on_unavailable  called when an upstream stops taking new work. */
  explicit UpstreamDirectory(OnUnavailable on_unavailable)
      : on_unavailable(std::move(on_unavailable)) {}

  UpstreamDirectory(const UpstreamDirectory&) = delete;
  auto operator=(const UpstreamDirectory&) -> UpstreamDirectory& = delete;

  //============================================================================
  // Commands

  /** Adds an upstream or updates its record. */
  auto Put(UpstreamRecord record) -> void;

  /** Removes an upstream whose record was removed or cannot be used, or makes
     it suspect during the grace period. */
  auto Remove(std::string_view id, Instant now) -> void;

  /** Calls Remove() for all upstreams but `ids`, after a full list was read. */
  auto RemoveAllExcept(const std::set<std::string>& ids, Instant now) -> void;

  /** Records that the log replies again after an outage; starts the grace
     period. */
  auto RecordLogRecovery(Instant now) -> void;

  /** Removes suspect upstreams whose grace period has passed. */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns the upstreams of a service, including leaving ones. Valid until
     the next command. */
  [[nodiscard]] auto UpstreamsOfService(std::string_view service) const
      -> std::span<const State>;

  [[nodiscard]] auto size() const -> std::size_t { return this->by_id.size(); }

 private:
  struct Entry {
    State state;
    Instant removed_at{};  ///< When a suspect upstream is removed.
  };

  auto Erase(const std::string& id) -> void;

  OnUnavailable on_unavailable;
  std::unordered_map<std::string, Entry> by_id;
  std::unordered_map<std::string, std::vector<State>> by_service;
  Instant suspect_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_
