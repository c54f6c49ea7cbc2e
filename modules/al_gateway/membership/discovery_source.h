#ifndef AL_GATEWAY_MEMBERSHIP_DISCOVERY_SOURCE_H_
#define AL_GATEWAY_MEMBERSHIP_DISCOVERY_SOURCE_H_

#include <cstddef>
#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/membership/discovery_plan.h"

namespace auburnloft::gateway {

/** Age of an update: the time since the last reply of the log service ("the
   log") to the reader and to this router. */
struct UpdateAge {
  Duration reader{0};  ///< Since the log's last reply to the reader.
  Duration own{0};     ///< Since its last reply to this router.
};

/** Selects the source of upstream updates: one of the readers (routers that
   read upstream records from the log and serve them to other routers), or the
   log itself if the readers do not reply or their updates are too old.

    While this router cannot reach the log either, it keeps requesting updates
   from the readers. Otherwise all routers would read the full list at the same
   moment when the log recovers.

    Thread safety: none; used on one thread.
*/
class DiscoverySource {
 public:
  DiscoverySource() = default;

  DiscoverySource(const DiscoverySource&) = delete;
  auto operator=(const DiscoverySource&) -> DiscoverySource& = delete;

  //============================================================================
  // Commands

  /** Sets the plan; a changed plan clears the failures. */
  auto SetPlan(DiscoveryPlan next) -> void;

  /** Why a request to a reader returned no usable update. */
  enum class Failure {
    kNotReady,  ///< The reader has not read the full list yet.
    kNoUpdate,  ///< No reply, or an update that is too old.
  };

  /** Records a usable update from the current reader. */
  auto RecordSuccess() -> void { this->failure_score = 0; }

  /** Records a failed request: selects the next reader, or the log for a while
     after several failures in a row.
      @param log_reachable  whether this router can reach the log. */
  auto RecordFailure(Failure failure, bool log_reachable, Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns whether this router reads the log at the moment. */
  [[nodiscard]] auto reads_log(Instant now) const -> bool {
    return this->plan.reads_log || now < this->log_until;
  }

  /** Returns the address of the current reader. @pre !reads_log(). */
  [[nodiscard]] auto peer() const -> const std::string&;

  /** Returns whether the reader is not further behind than its read interval
     explains. */
  [[nodiscard]] static auto IsFresh(const UpdateAge& age) -> bool;

 private:
  DiscoveryPlan plan;
  std::size_t current_peer = 0;
  int failure_score = 0;  ///< Weighted sum of failures in a row.
  Instant log_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MEMBERSHIP_DISCOVERY_SOURCE_H_
