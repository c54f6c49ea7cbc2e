#ifndef GATEWAY_FLEET_LINK_H_
#define GATEWAY_FLEET_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/membership/router_registry.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/prepaid/allowance_manager.h"
#include "al_logstore/topic_follower.h"
#include "al_logstore/topic_producer.h"
#include "gateway/decision_log.h"

namespace auburnloft::gateway {

/** Without an answer for this long, the log counts as away from this router. */
inline constexpr Duration kLogAwayAfter = std::chrono::milliseconds(1'500);

/** This router's part on the fleet's topic: it announces itself, follows the
   other routers, and writes and reads back allowances.

    Thread safety: none; used on the loop's thread.
*/
class FleetLink {
 public:
  struct Callbacks {
    /** A raise of this router's allowance was read back. */
    std::function<void(const std::string& team)> on_allowance;
    std::function<void(bool answered)> on_contact;
    /** The fleet's routers were listed for the first time, or anew. */
    std::function<void()> on_listed;
  };

  FleetLink(SocketPoller& poller,
            const std::string& log_address,
            RouterAnnouncement self,
            AllowanceManager& desk,
            DecisionLog& log,
            Callbacks callbacks);
  ~FleetLink();

  FleetLink(const FleetLink&) = delete;
  auto operator=(const FleetLink&) -> FleetLink& = delete;

  //============================================================================
  // Commands

  auto Start() -> void;

  /** Writes allowances that are wanted now, as soon as the last are read back.
   */
  auto AskSoon() -> void;

  /** Announces at once that this router takes no new callers. */
  auto AnnounceLeaving() -> void;

  /** Returns all that is unspent, then calls `on_done`. */
  auto ReturnAll(std::function<void()> on_done) -> void;

  auto SetConfigVersion(std::uint64_t version) -> void {
    this->self.config_version = version;
  }

  //============================================================================
  // Queries

  [[nodiscard]] auto registry() const -> const RouterRegistry& {
    return this->routers;
  }
  [[nodiscard]] auto ledger() const -> const AllowanceLedger& {
    return this->allowances;
  }
  /** When the topic was last read; what the registry says is as of then. */
  [[nodiscard]] auto as_of() const -> Instant { return this->read_at; }
  [[nodiscard]] auto CountActive() const -> int;
  /** Whether the log answers at once: it was read lately, and an append is not
     waiting for its answer. */
  [[nodiscard]] auto IsPrompt() const -> bool;

  /** Whether this router holds a part of the team's reserve. */
  [[nodiscard]] auto HoldsReserve(std::string_view team) const -> bool;
  [[nodiscard]] auto IsAliveNow() const -> AllowanceLedger::IsActive;

 private:
  auto OnContact(bool answered) -> void;
  auto OnTick() -> void;
  auto Write() -> void;
  [[nodiscard]] auto View() const -> FleetStatus;
  auto AppendBatch(std::span<const AllowanceEntry> entries, bool announce)
      -> void;
  auto OnRecord(const KeyedRecord& record) -> void;
  auto OnAllowance(const AllowanceEntry& entry) -> void;

  SocketPoller& poller;
  RouterAnnouncement self;
  AllowanceManager& desk;
  DecisionLog& log;
  Callbacks calls;
  RouterRegistry routers;
  AllowanceLedger allowances;
  TopicFollower follower;
  TopicProducer lane;
  std::unique_ptr<LoopTimer> timer;
  std::unique_ptr<LoopTimer> soon;
  std::function<void()> returned;
  Instant announced_at{};
  Instant append_sent_at{};
  Instant read_at{};
  bool announce_now = false;
  bool listed = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_FLEET_LINK_H_
