#ifndef AL_CONFIG_REPLAY_CONFIG_FOLLOWER_H_
#define AL_CONFIG_REPLAY_CONFIG_FOLLOWER_H_

#include <optional>

#include "al_actions/action_queue.h"
#include "al_actions/log_events.h"
#include "al_config/model/configuration.h"
#include "al_config/replay/config_state_machine.h"
#include "al_core/errors/findings.h"
#include "al_core/random/random_source.h"
#include "peer.pb.h"

namespace auburnloft {

/** Keeps a router on the newest configuration, which it gets from the log
   service or from neighbours.

    Reads the stream periodically. If a neighbour's heartbeat carries a newer
   version, the router requests it from that neighbour, so that a router without
   contact to the log service stays up to date. The active version never
   decreases. If a document is invalid for this release, the last valid
   configuration stays active and the findings appear in the state dump.

    Thread safety: none; used on one thread.

    @see ConfigStateMachine
*/
class ConfigFollower {
 public:
  /** The log stream to which operators publish configuration changes. */
  [[nodiscard]] static auto Stream() -> StreamId { return StreamId("config"); }

  ConfigFollower(ActionQueue& actions, RandomSource& random);

  ConfigFollower(const ConfigFollower&) = delete;
  auto operator=(const ConfigFollower&) -> ConfigFollower& = delete;

  //============================================================================
  // Commands

  /** Reads the stream if a read is due, and writes a snapshot if one is due.
   * @param may_snapshot returns whether this router is the one that writes
   * snapshots. @param open_read queues a read of the stream from an offset and
   * returns its tag. @param open_append queues the append of a record. */
  template <typename MaySnapshot, typename OpenRead, typename OpenAppend>
  auto Tick(Instant now,
            MaySnapshot may_snapshot,
            OpenRead open_read,
            OpenAppend open_append) -> void {
    if (this->read_tag && now >= this->read_deadline) {
      this->OnFailed(now, LogFailed{*this->read_tag});
    }
    if (this->read_tag || now < this->next_read) {
      return;
    }
    if (this->SnapshotIsDue() && now >= this->next_snapshot && may_snapshot()) {
      open_append(this->state.ToSnapshot().SerializeAsString());
      this->ScheduleNextSnapshot(now);
    }
    this->read_tag = open_read(
        this->has_start_offset ? this->state.next_offset() : kEndOfStream);
    this->ScheduleNextRead(now);
  }

  /** Applies records of the stream. Ignores replies to earlier reads. */
  auto OnRecords(Instant now, const LogRecords& records) -> void;
  /** Schedules the next read after a failed one, with a growing delay. */
  auto OnFailed(Instant now, const LogFailed& failed) -> void;

  /** Requests newer versions from a neighbour, at most once per interval. */
  auto OnNewerVersion(Instant now, const PeerAddress& neighbour) -> void;

  /** Replies to a neighbour's request with the versions it lacks. */
  auto OnPull(const PeerAddress& from, const wire::ConfigPull& pull) -> void;

  /** Applies the versions that a neighbour sent. */
  auto OnPush(const wire::ConfigPush& push) -> void;

  //============================================================================
  // Queries

  /** The active configuration; null until there is one. The pointer is valid
   * until the next command. */
  [[nodiscard]] auto configuration() const -> const Configuration* {
    return this->active ? &*this->active : nullptr;
  }
  [[nodiscard]] auto state_machine() const -> const ConfigStateMachine& {
    return this->state;
  }

  /** The findings of the newest document; empty if it is valid. */
  [[nodiscard]] auto findings() const -> const Findings& {
    return this->newest_findings;
  }

 private:
  auto SetStartOffset(const LogRecords& records) -> void;
  auto ActivateNewestVersion() -> void;
  auto ScheduleNextRead(Instant now) -> void;
  auto ScheduleNextSnapshot(Instant now) -> void;
  [[nodiscard]] auto SnapshotIsDue() const -> bool;

  ActionQueue& actions;
  RandomSource& random;
  ConfigStateMachine state;
  std::optional<Configuration> active;
  Findings newest_findings;
  std::uint64_t checked_version = 0;

  bool has_start_offset = false;
  LogOffset start_distance;
  std::optional<LogTag> read_tag;
  Instant read_deadline;
  Instant next_read;
  Instant next_pull;
  Instant next_snapshot;
  Duration backoff{0};
};

}  // namespace auburnloft

#endif  // AL_CONFIG_REPLAY_CONFIG_FOLLOWER_H_
