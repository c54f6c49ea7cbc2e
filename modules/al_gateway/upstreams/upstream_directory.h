#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_

#include <concepts>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

    An upstream whose record said that it is leaving stays so until a restart:
   an older record may return with a restored copy of the log.

    What an upstream says about itself in its responses (that it is leaving, or
   wants no requests for a time) belongs to its process: it outlives an outage
   in which its record expires and returns, and ends with a restart.

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

  /** Sets the regions of failure domains. @pre no upstream is listed yet. */
  auto SetRegions(std::map<std::string, std::string> region_of_domain) -> void {
    this->region_of_domain = std::move(region_of_domain);
  }

  /** Marks the upstreams of a failure domain, also those that are listed later,
     as evacuated or no longer so.
      @return those that are listed now. */
  auto SetEvacuated(const std::string& domain, bool is_evacuated)
      -> std::vector<State>;

  /** Records that an upstream said that it is leaving.
      @return false if this was known. */
  auto RecordLeaving(const UpstreamState& upstream, Instant now) -> bool;

  /** Records that an upstream wants no requests until `until`.
      @return false if it was known to want none for as long. */
  auto RecordBackOff(const UpstreamState& upstream, Instant until, Instant now)
      -> bool;

  /** Returns the limiter of requests to a process of an upstream, a new one
      that forbids to send if there is none. It outlives a record that expires
      and returns.
      @return null if the process is known to have been replaced. */
  [[nodiscard]] auto GetLimiter(const UpstreamProcess& upstream, Instant now)
      -> std::shared_ptr<SendLimiter>;

  /** Removes the limiter of a process, if it has one. */
  auto RemoveLimiter(const UpstreamProcess& upstream, Instant now) -> void;

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

  /** Returns the upstreams of a failure domain. */
  [[nodiscard]] auto UpstreamsOfDomain(std::string_view domain) const
      -> std::vector<State>;

  /** Calls `visit` with the upstreams of each service, as
     UpstreamsOfService(). */
  template <std::invocable<std::span<const State>> Visit>
  auto VisitServices(const Visit& visit) const -> void {
    for (const auto& [service, upstreams] : this->by_service) {
      visit(std::span<const State>(upstreams));
    }
  }

  /** Returns the record listed under an id; null if there is none. Valid until
     the next command. */
  [[nodiscard]] auto FindRecord(const std::string& id) const
      -> const UpstreamRecord*;

  /** Returns whether this process of an upstream is listed. */
  [[nodiscard]] auto Contains(const UpstreamProcess& upstream) const -> bool;

  /** Returns when the first upstream of a service that is not leaving takes
     requests of this router again, by its back-off and its limit; none if
     neither keeps one of them from it, or there is none outside of evacuated
     domains. */
  [[nodiscard]] auto EarliestReturn(std::string_view service, Instant now) const
      -> std::optional<Instant>;

  [[nodiscard]] auto size() const -> std::size_t { return this->by_id.size(); }

 private:
  struct Entry {
    State state;
    Instant removed_at{};  ///< When a suspect upstream is removed.
  };

  /** What a process said about itself. */
  struct Notice {
    std::int64_t started_at_ms = 0;  ///< Identifies the process.
    bool leaving = false;
    Instant back_off_until{};
    std::shared_ptr<SendLimiter> limiter;  ///< Null: it named no limit.
    Instant noticed_at{};
  };

  /** Marks a record as leaving if an earlier one of its process was, and
     remembers one that is. */
  auto KeepDrain(UpstreamRecord& record) -> void;
  /** Sets what follows from the failure domain of an upstream. */
  auto ApplyDomain(UpstreamState& upstream) -> void;
  auto Erase(const std::string& id) -> void;
  /** Returns the notice of a process, a new one if there is none. */
  auto NoticeOf(const UpstreamProcess& upstream, Instant now) -> Notice&;
  static auto ApplyNotice(const Notice& notice, UpstreamState& upstream)
      -> void;
  /** Returns the state of a process, null if it is not listed. */
  [[nodiscard]] auto FindProcess(const UpstreamProcess& upstream) const
      -> State;

  OnUnavailable on_unavailable;
  std::unordered_map<std::string, Entry> by_id;
  std::unordered_map<std::string, std::vector<State>> by_service;
  std::unordered_map<std::string, Notice> notices;  ///< By id.
  /** The start of the processes whose records said that they are leaving, by
   * id.
   */
  std::unordered_map<std::string, std::int64_t> draining;
  std::deque<std::string> draining_order;  ///< Their ids, oldest first.
  std::set<std::string> evacuated_domains;
  std::map<std::string, std::string> region_of_domain;
  Instant suspect_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_DIRECTORY_H_
