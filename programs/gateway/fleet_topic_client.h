#ifndef GATEWAY_FLEET_TOPIC_CLIENT_H_
#define GATEWAY_FLEET_TOPIC_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/membership/router_registry.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/prepaid/allowance_manager.h"
#include "al_gateway/quarantine/crash_quarantine.h"
#include "al_gateway/upstreams/upstream_limits.h"
#include "al_logstore/topic_follower.h"
#include "al_logstore/topic_producer.h"
#include "gateway/decision_log.h"

namespace auburnloft::gateway {

/** Without a reply for this long, the log service counts as unreachable. */
inline constexpr Duration kLogUnreachableAfter =
    std::chrono::milliseconds(1'500);

/** Reads and writes the fleet topic of the log: announces this router, tracks
   the other routers, writes the allowance entries of this router, which take
   effect once they are read back, and exchanges reports about prompt parts that
   crash upstreams and about limits that upstreams name.

    Thread safety: none; used on the loop's thread.
*/
class FleetTopicClient {
 public:
  struct Callbacks {
    /** An entry of this router's allowance was read back. */
    std::function<void(const std::string& team)> on_allowance_increased;
    /** An entry that raises this router's allowance was read back, and is not
       spendable until the other routers know of it. */
    std::function<void(const AllowanceEntry& entry)> on_increase_recorded;
    /** A call to the log ended; `answered` if it had a valid reply. */
    std::function<void(bool answered)> on_contact;
    /** All routers of the fleet were listed, at the start or again. */
    std::function<void()> on_listed;
  };

  FleetTopicClient(SocketPoller& poller,
                   const std::string& log_address,
                   LogEra& era,
                   RouterAnnouncement self,
                   AllowanceManager& allowance_manager,
                   CrashQuarantine& quarantine,
                   UpstreamLimits& limits,
                   DecisionLog& log,
                   Callbacks callbacks);
  ~FleetTopicClient();

  FleetTopicClient(const FleetTopicClient&) = delete;
  auto operator=(const FleetTopicClient&) -> FleetTopicClient& = delete;

  //============================================================================
  // Commands

  auto Start() -> void;

  /** Schedules a write of the allowance entries that are needed now; entries
      requested within a short delay go into one append. */
  auto ScheduleWrite() -> void;

  /** Handles that the log was restored from an older copy: lists the topic
     again, writes this router's entries again, and those of others that are
     lost. No allowance is increased until all active routers have done so. */
  auto OnLogRestored() -> void;

  /** Keeps another router's entry that its holder has read back, in case that
     the log loses it. */
  auto LearnEntry(const AllowanceEntry& entry) -> void {
    this->allowance_ledger.Learn(entry);
  }

  /** Announces at once that this router accepts no new callers. */
  auto AnnounceLeaving() -> void;

  /** Sets the rate of requests that the next announcement reports. */
  auto SetRequestRate(double per_second) -> void {
    this->self.requests_per_second = per_second;
  }

  /** Returns all tokens that no open request needs, then calls `on_done`; no
     more are taken. Call it again once those requests have ended. */
  auto ReturnUnspent(std::function<void()> on_done) -> void;

  auto SetConfigVersion(std::uint64_t version) -> void {
    this->self.config_version = version;
  }

  //============================================================================
  // Queries

  [[nodiscard]] auto registry() const -> const RouterRegistry& {
    return this->routers;
  }
  [[nodiscard]] auto ledger() const -> const AllowanceLedger& {
    return this->allowance_ledger;
  }
  /** When the topic was last read; pass it to the queries of registry(). */
  [[nodiscard]] auto last_read_at() const -> Instant {
    return this->log_read_at;
  }
  [[nodiscard]] auto CountActive() const -> int;
  /** When this router, as one of the fleet's first, listed the topic and found
     that no router had ever announced itself; none if one had, or if the log
     has been restored and may have lost it. */
  [[nodiscard]] auto found_no_fleet_at() const -> std::optional<Instant> {
    return this->empty_at;
  }
  /** True if the topic was read recently and no append has been waiting for its
      reply for longer than usual. */
  [[nodiscard]] auto IsLogResponsive() const -> bool;

  /** True unless the log was restored and some active router has not written
     its entries again: increases of allowances are not valid then. */
  [[nodiscard]] auto MayIncrease() const -> bool;

  /** True if this router holds a share of the team's reserve. */
  [[nodiscard]] auto IsReserveHolder(std::string_view team) const -> bool;
  [[nodiscard]] auto MakeIsActive() const -> AllowanceLedger::IsActive;

  /** The state of the fleet from which the senders of limited upstreams follow.
   */
  [[nodiscard]] auto MakeLimitFleet() const -> UpstreamLimits::Fleet;

  /** True if this router runs the trials of a quarantined suspect. */
  [[nodiscard]] auto RunsTrials(std::string_view suspect) const -> bool;

 private:
  /** What follows after a restore of the log. */
  enum class RestoreStep { kWriteOwn, kVerify, kDone };

  auto OnContact(bool answered) -> void;
  auto OnListed() -> void;
  auto OnTick() -> void;
  auto AppendPlanned() -> void;
  /** Appends what can be returned now; calls on_returned if nothing is left. */
  auto AppendReturns() -> void;
  /** Goes on to write again what the log has lost. First this router writes its
     own entries, and with one other router those of each other holder. When
     all have been read, it writes what is still missing, whoever was to write
     it, and announces itself in the new era once nothing is. */
  auto ContinueRestore() -> void;
  [[nodiscard]] auto MakeOwnRecords() -> std::vector<KeyedRecord>;
  [[nodiscard]] auto MakeLostRecords(
      const AllowanceLedger::IsActive& writes_for) const
      -> std::vector<KeyedRecord>;
  /** Returns the era as announcements have it. */
  [[nodiscard]] auto announced_era() const -> std::uint64_t {
    return this->era.number() + 1;
  }
  /** True in the first seconds of a process that has started with a restored
      log in which no router tells that the restore is complete. It announces
      the era before, so that other newcomers do not rely on it. */
  [[nodiscard]] auto IsHeldAsNewcomer() const -> bool;
  /** Estimates what was taken after the copy of a restored log, for the case
     that no router is left that knows. */
  auto EstimateLostUse(Instant now) -> void;
  /** Decides whether the estimate is needed, once the hold on a newcomer is
      over: not if another router has announced the era, as that one knows what
      was taken or has written the estimate. */
  auto ResolveLostUse(Instant now) -> void;
  /** Logs the end of the time in which no allowance may be increased. */
  auto UpdateIncreaseHold(Instant now) -> void;
  [[nodiscard]] auto ScopeOf(bool with_announcement, int routers) const
      -> EntryScope;
  [[nodiscard]] auto MakeFleetView() const -> FleetStatus;
  auto AppendBatch(std::span<const AllowanceEntry> entries,
                   const std::optional<CrashReport>& report,
                   const std::optional<UpstreamLimitReport>& limit_report,
                   bool announce) -> void;
  /** Adds the entries that the log has lost of routers that have expired since,
     as far as this router writes them again. */
  auto AddLostEntries(std::vector<KeyedRecord>& records) const -> void;
  /** Returns the record of the next announcement. */
  [[nodiscard]] auto MakeAnnouncement() -> KeyedRecord;
  /** Takes this router's report about crashes if it is due.
      @param announce  whether the announcement is due, which a report that has
     no news accompanies. */
  auto TakeCrashReport(bool announce, Instant now)
      -> std::optional<CrashReport>;
  /** Takes this router's report about limits of upstreams if it is due. */
  auto TakeLimitReport(Instant now) -> std::optional<UpstreamLimitReport>;
  auto OnRecord(const KeyedRecord& record) -> void;
  /** Applies another router's report about limits of upstreams. */
  auto OnLimitReport(const UpstreamLimitReport& report) -> void;
  auto OnAllowance(const AllowanceEntry& entry) -> void;

  SocketPoller& poller;
  LogEra& era;
  RouterAnnouncement self;
  AllowanceManager& allowance_manager;
  CrashQuarantine& quarantine;
  UpstreamLimits& limits;
  DecisionLog& log;
  Callbacks callbacks;
  RouterRegistry routers;
  AllowanceLedger allowance_ledger;
  TopicFollower follower;
  TopicProducer producer;
  std::unique_ptr<LoopTimer> timer;
  std::unique_ptr<LoopTimer> batch_timer;
  bool is_returning = false;
  std::function<void()> on_returned;
  Instant announced_at{};
  Instant append_sent_at{};
  Instant crashes_reported_at{};
  Instant limits_reported_at{};
  Instant log_read_at{};
  bool announce_at_once = false;
  bool listed = false;
  std::optional<Instant> empty_at;  ///< See found_no_fleet_at().
  RestoreStep restore_step = RestoreStep::kDone;
  std::vector<KeyedRecord> restored_records;  ///< Still to be written.
  std::optional<Instant> restored_at;  ///< None: the log was never restored.
  Instant restore_written_at{};    ///< When `restored_records` became empty.
  Instant increases_held_until{};  ///< After a start.
  /** Tokens by team that may have been taken after the copy of the log. */
  std::map<std::string, std::uint64_t> lost_use;
  std::vector<KeyedRecord> lost_use_records;  ///< For the next append.
  std::optional<Instant> increases_held_since;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_FLEET_TOPIC_CLIENT_H_
