#include "gateway/fleet_link.h"

#include <algorithm>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "gateway/fleet_records.h"
#include "platform/wire_names.h"

namespace auburnloft::gateway {

namespace {

/** Pause between looks at the allowances. */
constexpr Duration kPlanPause = std::chrono::milliseconds(250);

/** Pause between reads of the topic without news. */
constexpr Duration kReadPause = std::chrono::milliseconds(400);

/** Routers that hold the reserve of one team: enough that the loss of one
   leaves most of it, few enough that a share covers a large request. */
constexpr int kReserveHolders = 6;

/** How long requests that wait for an allowance are gathered. */
constexpr Duration kGatherPause = std::chrono::milliseconds(2);

/** A log that is prompt was read within a pause between reads and half of it,
   and answers an append within some times its usual. */
constexpr Duration kPromptRead = std::chrono::milliseconds(600);
constexpr Duration kPromptAppend = std::chrono::milliseconds(20);

}  // namespace

FleetLink::FleetLink(SocketPoller& poller,
                     const std::string& log_address,
                     RouterAnnouncement self,
                     AllowanceManager& desk,
                     DecisionLog& log,
                     Callbacks callbacks)
    : poller(poller),
      self(std::move(self)),
      desk(desk),
      log(log),
      calls(std::move(callbacks)),
      routers(this->self.name),
      follower(poller,
               log_address,
               {std::string(platform::kFleetTopic), Duration(0), kReadPause},
               {[this](const KeyedRecord& record) { this->OnRecord(record); },
                [this] {
                  this->desk.OnHistoryLost();
                  this->listed = false;
                },
                [this](const std::set<std::string>& /*keys*/) {
                  this->listed = true;
                  this->calls.on_listed();
                },
                [this](bool answered) { this->OnContact(answered); }}),
      lane(poller,
           log_address,
           std::string(platform::kFleetTopic),
           this->self.incarnation),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->OnTick(); })),
      soon(std::make_unique<LoopTimer>(poller.loop(),
                                       [this] { this->Write(); })) {}

FleetLink::~FleetLink() = default;

//==============================================================================
// Commands

auto FleetLink::Start() -> void {
  this->follower.Start();
  this->OnTick();
}

auto FleetLink::AskSoon() -> void {
  if (!this->soon->running()) {
    this->soon->Start(kGatherPause);
  }
}

auto FleetLink::AnnounceLeaving() -> void {
  this->self.leaving = true;
  this->announce_now = true;
  this->Write();
}

auto FleetLink::ReturnAll(std::function<void()> on_done) -> void {
  this->returned = std::move(on_done);
  this->Write();
}

//==============================================================================
// Queries

auto FleetLink::CountActive() const -> int {
  return this->routers.CountActive(this->read_at);
}

auto FleetLink::IsPrompt() const -> bool {
  const Instant now = this->poller.loop().Now();
  return now - this->read_at < kPromptRead &&
         (!this->lane.busy() || now - this->append_sent_at < kPromptAppend);
}

auto FleetLink::HoldsReserve(std::string_view team) const -> bool {
  return this->routers.IsAmongHighestRanked(
      team, std::min(this->CountActive(), kReserveHolders), this->read_at);
}

auto FleetLink::IsAliveNow() const -> AllowanceLedger::IsActive {
  return [this](std::string_view holder) {
    return holder == this->self.incarnation ||
           this->routers.IsActiveIncarnation(holder, this->read_at);
  };
}

//==============================================================================

auto FleetLink::OnContact(bool answered) -> void {
  if (answered) {
    const Instant now = this->poller.loop().Now();
    if (now - this->read_at >= kLogAwayAfter) {
      // What the others announced meanwhile follows with this read.
      this->routers.RecordLogRecovery(now);
    }
    this->read_at = now;
  }
  this->calls.on_contact(answered);
}

auto FleetLink::OnTick() -> void {
  this->timer->Start(kPlanPause);
  this->Write();
}

auto FleetLink::Write() -> void {
  // Entries may be planned only from a list that was read to its end: what was
  // taken before this process started counts.
  if (this->lane.busy() || !this->listed) {
    return;
  }
  if (this->returned) {
    this->AppendBatch(this->desk.PlanReturnEntries(), true);
    return;
  }
  const Instant now = this->poller.loop().Now();
  const FleetStatus view = this->View();
  const bool announce =
      this->announce_now ||
      now - this->announced_at >=
          AnnouncementInterval(static_cast<std::size_t>(view.routers));
  const bool reports =
      announce &&
      ShouldReportSpending(this->self.name, this->self.beat + 1, view.routers);
  const std::vector<AllowanceEntry> entries =
      this->desk.PlanEntries(this->allowances, view, reports, now);
  if (announce || !entries.empty()) {
    this->AppendBatch(entries, announce);
  }
}

auto FleetLink::View() const -> FleetStatus {
  FleetStatus view;
  view.routers = this->CountActive();
  view.reserve_holders = std::min(view.routers, kReserveHolders);
  view.holds_reserve = [this,
                        count = view.reserve_holders](std::string_view team) {
    return this->routers.IsAmongHighestRanked(team, count, this->read_at);
  };
  view.is_active = this->IsAliveNow();
  return view;
}

auto FleetLink::AppendBatch(std::span<const AllowanceEntry> entries,
                            bool announce) -> void {
  std::vector<KeyedRecord> records;
  if (announce) {
    ++this->self.beat;
    this->announce_now = false;
    this->announced_at = this->poller.loop().Now();
    records.push_back(ToRecord(this->self));
  }
  for (const AllowanceEntry& entry : entries) {
    records.push_back(ToRecord(entry));
  }
  this->append_sent_at = this->poller.loop().Now();
  this->lane.Append(std::move(records), [this, has_entries = !entries.empty()] {
    if (const auto call = std::exchange(this->returned, {})) {
      call();
      return;
    }
    if (has_entries) {
      this->follower.ReadNow();
    }
  });
}

auto FleetLink::OnRecord(const KeyedRecord& record) -> void {
  if (auto said = ReadAnnouncement(record)) {
    this->routers.Apply(std::move(*said), this->poller.loop().Now());
  } else if (const auto entry = ReadAllowance(record)) {
    this->OnAllowance(*entry);
  }
}

auto FleetLink::OnAllowance(const AllowanceEntry& entry) -> void {
  this->allowances.Apply(entry);
  if (entry.holder == this->self.incarnation && this->listed) {
    this->desk.OnRecorded(entry, this->allowances.Taken(entry.team));
    const auto totals =
        this->allowances.TotalsOf(entry.team, this->IsAliveNow());
    this->log.Line(
        DecisionLog::Weight::kRoutine, "allowance",
        {{"team", entry.team},
         {"taken", entry.taken_tokens},
         {"settled", entry.settled_tokens},
         {"available", this->desk.Available(entry.team)},
         {"demand_s", static_cast<std::int64_t>(entry.demand_per_second)},
         {"taken_by_all", totals.taken},
         {"settled_by_living", totals.settled_by_active},
         {"taken_by_dead", totals.taken_by_expired},
         {"budget", this->desk.BudgetOf(entry.team)}},
        this->poller.loop().Now());
    this->calls.on_allowance(entry.team);
  }
}

}  // namespace auburnloft::gateway
