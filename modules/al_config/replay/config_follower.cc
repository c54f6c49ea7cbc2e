#include "al_config/replay/config_follower.h"

#include <algorithm>
#include <vector>

#include "al_config/check/configuration_parser.h"

namespace auburnloft {

namespace {

/** Interval between reads of the stream. Neighbours forward a change within one
 * or two heartbeats, so the whole fleet has it within seven seconds even if
 * only a few routers reach the log service. */
constexpr Duration kReadInterval = std::chrono::milliseconds(2000);
constexpr Duration kReadJitter = std::chrono::milliseconds(500);
constexpr Duration kReadTimeout = std::chrono::seconds(3);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);

/** Minimum time between two requests to neighbours. */
constexpr Duration kPullInterval = std::chrono::milliseconds(300);

/** A snapshot is due after this many records. A snapshot that is not in the
 * stream after kSnapshotInterval is written again. */
constexpr std::uint64_t kSnapshotEvery = 50;
constexpr Duration kSnapshotInterval = std::chrono::seconds(5);

}  // namespace

ConfigFollower::ConfigFollower(ActionQueue& actions, RandomSource& random)
    : actions(actions), random(random), start_distance(2 * kSnapshotEvery) {}

//==============================================================================
// The log

auto ConfigFollower::ScheduleNextRead(Instant now) -> void {
  const auto jitter = static_cast<std::int64_t>(this->random.UniformBelow(
      static_cast<std::uint64_t>(kReadJitter.count())));
  this->read_deadline = now + kReadTimeout;
  this->next_read = now + kReadInterval + Duration(jitter) + this->backoff;
}

auto ConfigFollower::ScheduleNextSnapshot(Instant now) -> void {
  this->next_snapshot = now + kSnapshotInterval;
}

auto ConfigFollower::SnapshotIsDue() const -> bool {
  return this->state.ready() &&
         this->state.records_since_snapshot() >= kSnapshotEvery;
}

auto ConfigFollower::OnRecords(Instant now, const LogRecords& records) -> void {
  if (this->read_tag != records.tag) {
    return;
  }
  this->read_tag.reset();
  this->backoff = Duration{0};
  const bool lost_records =
      this->has_start_offset && records.oldest > this->state.next_offset();
  if (!this->has_start_offset || lost_records) {
    this->SetStartOffset(records);
    this->next_read = now;
    return;
  }
  LogOffset offset = records.first;
  for (const std::string& record : records.records) {
    if (offset++ == this->state.next_offset()) {
      this->state.ApplyBytes(record);
    }
  }
  const bool at_end = this->state.next_offset() >= records.next;
  if (!at_end) {
    this->next_read = now;
  } else if (!this->state.ready() && records.oldest < records.next) {
    // The records contain no snapshot: starts again further back.
    this->start_distance *= 4;
    this->has_start_offset = false;
  }
  this->ActivateNewestVersion();
}

auto ConfigFollower::SetStartOffset(const LogRecords& records) -> void {
  const LogOffset distance = std::min(records.next, this->start_distance);
  const LogOffset start = std::max(records.oldest, records.next - distance);
  this->has_start_offset = true;
  if (this->state.ready() && this->state.version() > 0 &&
      this->state.next_offset() >= records.oldest) {
    return;  // The state from a neighbour continues at an offset that the log
             // still holds.
  }
  this->state.StartAt(start);
}

auto ConfigFollower::OnFailed(Instant now, const LogFailed& failed) -> void {
  if (this->read_tag != failed.tag) {
    return;
  }
  this->read_tag.reset();
  this->backoff = std::min(this->backoff + kReadInterval, kMaxBackoff);
  this->next_read = now + this->backoff;
}

//==============================================================================
// Neighbours

auto ConfigFollower::OnNewerVersion(Instant now, const PeerAddress& neighbour)
    -> void {
  if (now < this->next_pull) {
    return;
  }
  this->next_pull = now + kPullInterval;
  wire::PeerMessage message;
  message.mutable_config_pull()->set_have_version(this->state.version());
  this->actions.Push(SendPeerMessage{neighbour, std::move(message)});
}

auto ConfigFollower::OnPull(const PeerAddress& from,
                            const wire::ConfigPull& pull) -> void {
  if (this->state.version() <= pull.have_version() || !this->state.ready()) {
    return;
  }
  wire::PeerMessage message;
  wire::ConfigPush& push = *message.mutable_config_push();
  push.set_version(this->state.version());
  push.set_next_offset(this->state.next_offset());
  const std::deque<ConfigStateMachine::Change>& changes = this->state.changes();
  const bool has_all =
      !changes.empty() && changes.front().version <= pull.have_version() + 1;
  if (!has_all || pull.have_version() == 0) {
    push.set_document(this->state.document().dump());
  } else {
    for (const ConfigStateMachine::Change& change : changes) {
      if (change.version <= pull.have_version()) {
        continue;
      }
      wire::ConfigChange& out = *push.add_changes();
      out.set_version(change.version);
      out.set_merge_patch(change.merge_patch);
      out.set_author(change.author);
      out.set_reason(change.reason);
    }
  }
  this->actions.Push(SendPeerMessage{from, std::move(message)});
}

auto ConfigFollower::OnPush(const wire::ConfigPush& push) -> void {
  if (!push.document().empty()) {
    this->state.Adopt(push.version(), push.next_offset(), push.document());
  } else {
    std::vector<ConfigStateMachine::Change> changes;
    for (const wire::ConfigChange& change : push.changes()) {
      if (change.version() > this->state.version()) {
        changes.push_back({change.version(), change.merge_patch(),
                           change.author(), change.reason()});
      }
    }
    this->state.AdoptChanges(changes, push.next_offset());
  }
  this->ActivateNewestVersion();
}

//==============================================================================
// The active version

auto ConfigFollower::ActivateNewestVersion() -> void {
  const std::uint64_t version = this->state.version();
  if (version == this->checked_version) {
    return;
  }
  this->checked_version = version;
  Findings found;
  std::optional<Configuration> parsed =
      ParseConfiguration(this->state.document().dump(), found);
  this->newest_findings = std::move(found);
  if (parsed) {
    parsed->version = version;
    this->active = std::move(parsed);
  }
}

}  // namespace auburnloft
