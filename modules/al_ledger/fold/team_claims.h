#ifndef AL_LEDGER_FOLD_TEAM_CLAIMS_H_
#define AL_LEDGER_FOLD_TEAM_CLAIMS_H_

#include <cstdint>
#include <map>

#include "al_core/ids/ids.h"
#include "ledger.pb.h"
#include "peer.pb.h"

namespace auburnloft {

/** The at-most-once requests of one team: which execution holds the claim on
    each request key, and its outcome.

    Part of the ledger's replay. The first valid claim on a key holds it. A
    later claim is rejected unless the claimed request is recorded as not
    executed. After an unknown outcome, new claims are rejected until an
    operator resolves the outcome.

    Thread safety: none; used on one thread.

    @see PartitionLedger, TeamAccount
*/
class TeamClaims {
 public:
  using Claims = std::map<RequestKey, wire::ClaimState, std::less<>>;

  //============================================================================
  // Commands: each applies one entry and returns its verdict

  /** @param oldest_ms  claims for requests issued before this are rejected, in
      Unix milliseconds.
   */
  auto Apply(const wire::Claim& entry, std::int64_t oldest_ms) -> wire::Verdict;
  auto Apply(const wire::Outcome& entry) -> wire::Verdict;
  auto Apply(const wire::Resolve& entry) -> wire::Verdict;

  /** Removes claims with a final outcome (executed or not executed) of requests
      issued before `oldest_ms`, in Unix milliseconds. Claims in progress or
      with an unknown outcome stay until an operator resolves them. */
  auto PruneEnded(std::int64_t oldest_ms) -> void;

  /** Replaces the state with that of a snapshot. */
  auto Load(const wire::TeamSnapshot& snapshot) -> void;

  //============================================================================
  // Queries

  /** The current claim on `key`, or null if there is none. Valid until the next
      command. */
  [[nodiscard]] auto Find(const RequestKey& key) const
      -> const wire::ClaimState*;

  [[nodiscard]] auto all() const -> const Claims& { return this->claims; }

  /** Writes the state into `snapshot`. */
  auto Save(wire::TeamSnapshot& snapshot) const -> void;

 private:
  Claims claims;
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_TEAM_CLAIMS_H_
