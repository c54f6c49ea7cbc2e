#include "gateway/fleet_topic_client.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "gateway/fleet_records.h"
#include "platform/wire_names.h"

namespace auburnloft::gateway {

namespace {

/** Interval between checks whether allowance entries must be written. */
constexpr Duration kPlanInterval = std::chrono::milliseconds(250);

/** Minimum interval between two reads of the topic that return no records. */
constexpr Duration kReadInterval = std::chrono::milliseconds(400);

/** Routers that hold the reserve of one team: enough that most of it survives
   the loss of one router, few enough that one share covers a large request. */
constexpr int kReserveHolders = 6;

/** Minimum interval between two reports about crashes. A crash fails many
   requests at once, and all routers read each report. */
constexpr Duration kCrashReportInterval = std::chrono::milliseconds(200);

/** Minimum interval between two reports about limits of upstreams, which may
   name another one in each response. */
constexpr Duration kLimitReportInterval = std::chrono::milliseconds(400);

/** Delay during which requests for an allowance are collected into one append.
 */
constexpr Duration kBatchDelay = std::chrono::milliseconds(2);

/** Routers that write the lost entries of another one again, which may be gone.
 */
constexpr int kRestoringRouters = 2;

/** Maximum records of an append after a restore: well below the size that the
   log accepts. */
constexpr std::size_t kMaxRestoredRecords = 4'000;

/** Time in which records that were written after a restore are read by all
   routers. */
constexpr Duration kReadBackTime = std::chrono::milliseconds(600);

/** How long a router that starts after a restore waits for routers that it does
   not know: they notice the restore, write and verify in this time. */
constexpr Duration kNewcomerHold = std::chrono::milliseconds(3'000);

/** Holder of the entries that stand for what nobody knows after a restore; the
   number of the era follows. */
constexpr std::string_view kLostUseHolder = "lost#";

/** Time for which routers leave it to the first ones in the order of the holder
   to write these entries: they may have started later. */
constexpr Duration kLostUseGrace = std::chrono::milliseconds(1'000);

/** Maximum time between the copy of a log and the start of a router for which
   use is estimated: the platform's copies are some seconds old, and clocks of
   VMs differ. */
constexpr Duration kMaxLostTime = std::chrono::seconds(30);

/** Time after a restore in which lost entries of expired routers are looked
   for: longer than an expiry takes in the largest fleet. */
constexpr Duration kRestoreWatch = std::chrono::seconds(60);

/** Bounds of a responsive log: the last read is at most 1.5 read intervals old,
   and an append has its reply within a few times its usual latency. */
constexpr Duration kMaxReadAge = std::chrono::milliseconds(600);
constexpr Duration kMaxAppendLatency = std::chrono::milliseconds(20);

}  // namespace

FleetTopicClient::FleetTopicClient(SocketPoller& poller,
                                   const std::string& log_address,
                                   LogEra& era,
                                   RouterAnnouncement self,
                                   AllowanceManager& allowance_manager,
                                   CrashQuarantine& quarantine,
                                   UpstreamLimits& limits,
                                   DecisionLog& log,
                                   Callbacks callbacks)
    : poller(poller),
      era(era),
      self(std::move(self)),
      allowance_manager(allowance_manager),
      quarantine(quarantine),
      limits(limits),
      log(log),
      callbacks(std::move(callbacks)),
      routers(this->self.name),
      follower(
          poller,
          log_address,
          era,
          {std::string(platform::kFleetTopic), Duration(0), kReadInterval},
          {[this](const KeyedRecord& record) { this->OnRecord(record); },
           [this] {
             this->allowance_manager.OnHistoryLost();
             this->listed = false;
           },
           [this](const std::set<std::string>& /*keys*/) { this->OnListed(); },
           [this](bool answered) { this->OnContact(answered); }}),
      producer(poller,
               log_address,
               era,
               std::string(platform::kFleetTopic),
               this->self.incarnation),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->OnTick(); })),
      batch_timer(std::make_unique<LoopTimer>(poller.loop(), [this] {
        this->AppendPlanned();
      })) {}

FleetTopicClient::~FleetTopicClient() = default;

//==============================================================================
// Commands

auto FleetTopicClient::Start() -> void {
  this->follower.Start();
  this->OnTick();
}

auto FleetTopicClient::ScheduleWrite() -> void {
  if (!this->batch_timer->running()) {
    this->batch_timer->Start(kBatchDelay);
  }
}

auto FleetTopicClient::OnLogRestored() -> void {
  const Instant now = this->poller.loop().Now();
  this->allowance_ledger.BeginEra();
  this->allowance_manager.OnLogRestored();
  // The others need time to announce themselves again.
  this->routers.RecordLogRecovery(now);
  this->quarantine.ReportAgain();
  this->limits.ReportAgain();
  this->listed = false;
  this->restore_step = RestoreStep::kWriteOwn;
  this->restored_records.clear();
  this->restored_at = now;
  this->increases_held_since = now;
}

auto FleetTopicClient::AnnounceLeaving() -> void {
  this->self.leaving = true;
  this->announce_at_once = true;
  this->AppendPlanned();
}

auto FleetTopicClient::ReturnUnspent(std::function<void()> on_done) -> void {
  this->is_returning = true;
  this->on_returned = std::move(on_done);
  this->AppendPlanned();
}

//==============================================================================
// Queries

auto FleetTopicClient::CountActive() const -> int {
  return this->routers.CountActive(this->log_read_at);
}

auto FleetTopicClient::IsLogResponsive() const -> bool {
  const Instant now = this->poller.loop().Now();
  return now - this->log_read_at < kMaxReadAge &&
         (!this->producer.busy() ||
          now - this->append_sent_at < kMaxAppendLatency);
}

auto FleetTopicClient::MayIncrease() const -> bool {
  return this->listed && this->restore_step == RestoreStep::kDone &&
         !this->IsHeldAsNewcomer() &&
         this->routers.HaveAllAnnounced(this->announced_era(),
                                        this->log_read_at);
}

auto FleetTopicClient::IsHeldAsNewcomer() const -> bool {
  return this->poller.loop().Now() < this->increases_held_until ||
         !this->lost_use.empty();
}

auto FleetTopicClient::IsReserveHolder(std::string_view team) const -> bool {
  return this->routers.IsAmongHighestRanked(
      team, std::min(this->CountActive(), kReserveHolders), this->log_read_at);
}

auto FleetTopicClient::RunsTrials(std::string_view suspect) const -> bool {
  return this->routers.IsAmongHighestRanked(suspect, 1, this->log_read_at);
}

auto FleetTopicClient::MakeLimitFleet() const -> UpstreamLimits::Fleet {
  UpstreamLimits::Fleet fleet;
  fleet.routers = this->CountActive();
  fleet.is_log_reachable =
      this->poller.loop().Now() - this->log_read_at < kLogUnreachableAfter;
  fleet.is_among_first = [this](std::string_view item, int count) {
    return this->routers.IsAmongHighestRanked(item, count, this->log_read_at);
  };
  return fleet;
}

auto FleetTopicClient::MakeIsActive() const -> AllowanceLedger::IsActive {
  return [this](std::string_view holder) {
    return holder == this->self.incarnation ||
           this->routers.IsActiveIncarnation(holder, this->log_read_at);
  };
}

//==============================================================================

auto FleetTopicClient::OnContact(bool answered) -> void {
  if (answered) {
    const Instant now = this->poller.loop().Now();
    if (now - this->log_read_at >= kLogUnreachableAfter) {
      // The announcements of the other routers arrive with this read.
      this->routers.RecordLogRecovery(now);
    }
    this->log_read_at = now;
    this->allowance_manager.RecordLogRead(now);
  }
  this->callbacks.on_contact(answered);
}

auto FleetTopicClient::OnListed() -> void {
  const Instant now = this->poller.loop().Now();
  this->listed = true;
  const bool has_just_started = this->announced_at == Instant();
  if (has_just_started && this->era.number() == 0 && this->routers.empty()) {
    this->empty_at = now;
  }
  if (has_just_started && !this->restored_at && this->era.number() > 0 &&
      !this->routers.HasAnyAnnounced(this->announced_era())) {
    // Routers that the copy of the log does not know may be about to write
    // their entries again.
    this->increases_held_since = now;
    this->increases_held_until = now + kNewcomerHold;
    this->log.WriteLine(
        DecisionLog::Severity::kNotable, "increases_held",
        {{"era", this->era.number()}, {"for_ms", kNewcomerHold}}, now);
    this->EstimateLostUse(now);
  }
  this->callbacks.on_listed();
}

auto FleetTopicClient::OnTick() -> void {
  this->timer->Start(kPlanInterval);
  this->AppendPlanned();
}

auto FleetTopicClient::AppendPlanned() -> void {
  // Entries may be planned only after the list was read to its end: tokens
  // taken before this process started count too.
  if (this->producer.busy() || !this->listed) {
    return;
  }
  if (this->restore_step != RestoreStep::kDone) {
    this->ContinueRestore();
    return;
  }
  if (this->is_returning) {
    this->AppendReturns();
    return;
  }
  const Instant now = this->poller.loop().Now();
  this->ResolveLostUse(now);
  this->UpdateIncreaseHold(now);
  const FleetStatus view = this->MakeFleetView();
  const bool may_announce_era =
      this->self.log_era < this->announced_era() && !this->IsHeldAsNewcomer();
  const bool announce =
      this->announce_at_once || may_announce_era ||
      now - this->announced_at >=
          AnnouncementInterval(static_cast<std::size_t>(view.routers));
  const std::vector<AllowanceEntry> entries =
      this->allowance_manager.PlanEntries(this->allowance_ledger, view,
                                          this->ScopeOf(announce, view.routers),
                                          now);
  const auto report = this->TakeCrashReport(announce, now);
  const auto limit_report = this->TakeLimitReport(now);
  if (announce || report || limit_report || !entries.empty()) {
    this->AppendBatch(entries, report, limit_report, announce);
  }
}

auto FleetTopicClient::AppendReturns() -> void {
  const std::vector<AllowanceEntry> entries =
      this->allowance_manager.PlanReturnEntries();
  if (!entries.empty()) {
    this->AppendBatch(entries,
                      this->TakeCrashReport(true, this->poller.loop().Now()),
                      std::nullopt, true);
  } else if (const auto call = std::exchange(this->on_returned, {})) {
    call();
  }
}

auto FleetTopicClient::ContinueRestore() -> void {
  const Instant now = this->poller.loop().Now();
  if (this->restored_records.empty()) {
    if (this->restore_step == RestoreStep::kWriteOwn) {
      this->restored_records = this->MakeOwnRecords();
    } else if (now - this->restore_written_at >= kReadBackTime) {
      this->restored_records =
          this->MakeLostRecords([this](std::string_view holder) {
            return holder != this->self.incarnation;
          });
    } else {
      return;
    }
  }
  const bool is_complete = this->restore_step == RestoreStep::kVerify &&
                           this->restored_records.empty();
  std::vector<KeyedRecord> records;
  while (!this->restored_records.empty() &&
         records.size() < kMaxRestoredRecords) {
    records.push_back(std::move(this->restored_records.back()));
    this->restored_records.pop_back();
  }
  if (this->restored_records.empty()) {
    this->restore_step = RestoreStep::kVerify;
    this->restore_written_at = now;
  }
  if (is_complete) {
    this->restore_step = RestoreStep::kDone;
    records.push_back(this->MakeAnnouncement());
  }
  if (records.empty()) {
    return;
  }
  this->append_sent_at = now;
  this->producer.Append(std::move(records),
                        [this] { this->follower.ReadNow(); });
}

auto FleetTopicClient::MakeOwnRecords() -> std::vector<KeyedRecord> {
  std::vector<KeyedRecord> records =
      this->MakeLostRecords([this](std::string_view holder) {
        return holder != this->self.incarnation &&
               this->routers.IsAmongHighestRankedExcept(
                   holder, holder, kRestoringRouters, this->log_read_at);
      });
  for (const AllowanceEntry& entry :
       this->allowance_manager.PlanRestoredEntries()) {
    records.push_back(ToRecord(entry));
  }
  // Written first, as ContinueRestore() takes the last ones first.
  records.push_back(this->MakeAnnouncement());
  return records;
}

auto FleetTopicClient::MakeLostRecords(
    const AllowanceLedger::IsActive& writes_for) const
    -> std::vector<KeyedRecord> {
  std::vector<KeyedRecord> records;
  for (const AllowanceEntry& entry :
       this->allowance_ledger.MissingEntries(writes_for)) {
    records.push_back(ToRestoredRecord(entry));
  }
  this->log.WriteLine(
      DecisionLog::Severity::kNotable, "log_restored",
      {{"era", this->era.number()},
       {"entries_of_others", records.size()},
       {"after_ms", this->poller.loop().Now() - *this->restored_at}},
      this->poller.loop().Now());
  return records;
}

auto FleetTopicClient::EstimateLostUse(Instant now) -> void {
  const auto copied_at = this->routers.NewestAnnouncementAt();
  if (copied_at) {
    const Duration lost =
        std::clamp(now - *copied_at, Duration(0), kMaxLostTime);
    this->lost_use =
        this->allowance_ledger.DemandOver(lost, this->MakeIsActive());
    std::erase_if(this->lost_use,
                  [](const auto& item) { return item.second == 0; });
  }
}

auto FleetTopicClient::ResolveLostUse(Instant now) -> void {
  if (this->lost_use.empty() || now < this->increases_held_until) {
    return;
  }
  if (this->routers.HasAnyAnnounced(this->announced_era())) {
    this->lost_use.clear();
    return;
  }
  const std::string holder =
      std::string(kLostUseHolder) + std::to_string(this->era.number());
  if (!this->routers.IsAmongHighestRanked(holder, kRestoringRouters,
                                          this->log_read_at) &&
      now < this->increases_held_until + kLostUseGrace) {
    return;
  }
  std::uint64_t sum = 0;
  for (const auto& [team, tokens] : this->lost_use) {
    AllowanceEntry entry;
    entry.team = team;
    entry.holder = holder;
    entry.taken_tokens = static_cast<std::int64_t>(
        std::min(tokens, this->allowance_manager.BudgetOf(team)));
    entry.revision = 1;
    sum += static_cast<std::uint64_t>(entry.taken_tokens);
    this->lost_use_records.push_back(ToRecord(entry));
  }
  this->log.WriteLine(DecisionLog::Severity::kNotable, "lost_use_written_off",
                      {{"era", this->era.number()},
                       {"teams", this->lost_use.size()},
                       {"tokens", sum}},
                      now);
  this->lost_use.clear();
}

auto FleetTopicClient::UpdateIncreaseHold(Instant now) -> void {
  if (this->increases_held_since && this->MayIncrease()) {
    const Duration held =
        now - *std::exchange(this->increases_held_since, std::nullopt);
    this->log.WriteLine(DecisionLog::Severity::kNotable, "increases_resumed",
                        {{"era", this->era.number()}, {"held_ms", held}}, now);
  }
}

auto FleetTopicClient::TakeCrashReport(bool announce, Instant now)
    -> std::optional<CrashReport> {
  if (now - this->crashes_reported_at < kCrashReportInterval) {
    return std::nullopt;
  }
  auto report = this->quarantine.TakeReport(!announce, now);
  if (report) {
    this->crashes_reported_at = now;
  }
  return report;
}

auto FleetTopicClient::TakeLimitReport(Instant now)
    -> std::optional<UpstreamLimitReport> {
  if (now - this->limits_reported_at < kLimitReportInterval) {
    return std::nullopt;
  }
  auto report = this->limits.TakeReport(now);
  if (report) {
    this->limits_reported_at = now;
  }
  return report;
}

auto FleetTopicClient::ScopeOf(bool with_announcement, int routers) const
    -> EntryScope {
  if (!with_announcement) {
    return EntryScope::kIncreases;
  }
  return ShouldReportSpending(this->self.name, this->self.beat + 1, routers)
             ? EntryScope::kReports
             : EntryScope::kReturns;
}

auto FleetTopicClient::MakeFleetView() const -> FleetStatus {
  FleetStatus view;
  view.routers = this->CountActive();
  view.reserve_holders = std::min(view.routers, kReserveHolders);
  view.holds_reserve = [this,
                        count = view.reserve_holders](std::string_view team) {
    return this->routers.IsAmongHighestRanked(team, count, this->log_read_at);
  };
  view.is_active = this->MakeIsActive();
  view.may_increase = this->MayIncrease();
  return view;
}

auto FleetTopicClient::AppendBatch(
    std::span<const AllowanceEntry> entries,
    const std::optional<CrashReport>& report,
    const std::optional<UpstreamLimitReport>& limit_report,
    bool announce) -> void {
  std::vector<KeyedRecord> records;
  if (announce) {
    records.push_back(this->MakeAnnouncement());
  }
  for (const AllowanceEntry& entry : entries) {
    records.push_back(ToRecord(entry));
  }
  if (announce) {
    this->AddLostEntries(records);
  }
  records.insert(records.end(), this->lost_use_records.begin(),
                 this->lost_use_records.end());
  this->lost_use_records.clear();
  if (report) {
    records.push_back(ToRecord(*report, this->poller.loop().Now()));
  }
  if (limit_report) {
    records.push_back(ToRecord(*limit_report, this->poller.loop().Now()));
  }
  this->append_sent_at = this->poller.loop().Now();
  this->producer.Append(std::move(records),
                        [this, has_entries = !entries.empty()] {
                          if (this->is_returning) {
                            this->AppendReturns();
                          } else if (has_entries) {
                            this->follower.ReadNow();
                          }
                        });
}

auto FleetTopicClient::MakeAnnouncement() -> KeyedRecord {
  ++this->self.beat;
  const bool is_complete =
      this->restore_step == RestoreStep::kDone && !this->IsHeldAsNewcomer();
  this->self.log_era = this->announced_era() - (is_complete ? 0 : 1);
  this->announce_at_once = false;
  this->announced_at = this->poller.loop().Now();
  this->self.written_at = this->announced_at;
  return ToRecord(this->self);
}

auto FleetTopicClient::AddLostEntries(std::vector<KeyedRecord>& records) const
    -> void {
  if (!this->restored_at ||
      this->poller.loop().Now() - *this->restored_at >= kRestoreWatch) {
    return;
  }
  const auto is_active = this->MakeIsActive();
  for (const AllowanceEntry& entry :
       this->allowance_ledger.MissingEntries([&](std::string_view holder) {
         return !is_active(holder) &&
                this->routers.IsAmongHighestRanked(holder, kRestoringRouters,
                                                   this->log_read_at);
       })) {
    records.push_back(ToRestoredRecord(entry));
  }
}

auto FleetTopicClient::OnRecord(const KeyedRecord& record) -> void {
  if (auto announcement = ReadAnnouncement(record)) {
    this->routers.Apply(std::move(*announcement), this->poller.loop().Now());
  } else if (const auto entry = ReadAllowance(record)) {
    this->OnAllowance(*entry);
  } else if (const auto report = ReadCrashReport(record, !this->listed,
                                                 this->poller.loop().Now())) {
    this->quarantine.Apply(*report, this->poller.loop().Now());
  } else if (const auto limit_report = ReadUpstreamLimitReport(
                 record, !this->listed, this->poller.loop().Now())) {
    this->OnLimitReport(*limit_report);
  }
}

auto FleetTopicClient::OnLimitReport(const UpstreamLimitReport& report)
    -> void {
  const Instant now = this->poller.loop().Now();
  for (const UpstreamLimitReport::Limit& limit :
       this->limits.Apply(report, now)) {
    this->log.WriteLine(
        DecisionLog::Severity::kNotable, "upstream_limit_adopted",
        {{"upstream", limit.upstream.id},
         {"requests_s", limit.per_second ? std::to_string(*limit.per_second)
                                         : std::string("-")},
         {"age_ms", now - limit.heard_at},
         {"source", report.reporter}},
        now);
  }
}

auto FleetTopicClient::OnAllowance(const AllowanceEntry& entry) -> void {
  this->allowance_ledger.Apply(entry);
  if (entry.holder == this->self.incarnation && this->listed) {
    const bool must_be_known = this->allowance_manager.OnRecorded(
        entry, {this->allowance_ledger.Taken(entry.team), this->MayIncrease(),
                this->CountActive() > 1, this->poller.loop().Now()});
    if (must_be_known) {
      this->callbacks.on_increase_recorded(entry);
    }
    const auto totals =
        this->allowance_ledger.TotalsOf(entry.team, this->MakeIsActive());
    this->log.WriteLine(
        DecisionLog::Severity::kRoutine, "allowance",
        {{"team", entry.team},
         {"taken", entry.taken_tokens},
         {"settled", entry.settled_tokens},
         {"available", this->allowance_manager.Available(entry.team)},
         {"demand_s", static_cast<std::int64_t>(entry.demand_per_second)},
         {"taken_by_all", totals.taken},
         {"settled_by_living", totals.settled_by_active},
         {"taken_by_dead", totals.taken_by_expired},
         {"spent_by_dead", totals.settled_by_expired},
         {"budget", this->allowance_manager.BudgetOf(entry.team)}},
        this->poller.loop().Now());
    this->callbacks.on_allowance_increased(entry.team);
  }
}

}  // namespace auburnloft::gateway
