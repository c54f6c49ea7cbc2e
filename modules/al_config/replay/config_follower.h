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

/** Keeps a router on the newest configuration: from the log, or from
   neighbours.

    Reads the stream at intervals. A heartbeat with a newer version leads to a
   pull from that neighbour, so that a router cut off from the log follows too.
   The version in force never goes back. A document that this release does not
   understand leaves the last good configuration in force, and its findings in
   the state dump.

    Thread safety: none; used on one thread.

    @see ConfigStateMachine
*/
class ConfigFollower {
 public:
  /** The stream of the log on which operators publish. */
  [[nodiscard]] static auto Stream() -> StreamId { return StreamId("config"); }

  ConfigFollower(ActionQueue& actions, RandomSource& random);

  ConfigFollower(const ConfigFollower&) = delete;
  auto operator=(const ConfigFollower&) -> ConfigFollower& = delete;

  //============================================================================
  // Commands

  /** Reads the stream when its time has come. @param open_read  queues a read
     of the stream and returns its tag. @param may_snapshot  whether this router
     is the one to write snapshots; `open_append` queues the append of one. */
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
      this->NoteSnapshot(now);
    }
    this->read_tag =
        open_read(this->is_placed ? this->state.next_offset() : kEndOfStream);
    this->NoteRead(now);
  }

  auto OnRecords(Instant now, const LogRecords& records) -> void;
  auto OnFailed(Instant now, const LogFailed& failed) -> void;

  /** Asks the neighbour for what is newer than here. */
  auto OnNewerVersion(Instant now, const PeerAddress& neighbour) -> void;

  /** Answers a neighbour that lags. */
  auto OnPull(const PeerAddress& from, const wire::ConfigPull& pull) -> void;

  auto OnPush(const wire::ConfigPush& push) -> void;

  //============================================================================
  // Queries

  /** The configuration in force; null until there is one. Valid until the next
   * command. */
  [[nodiscard]] auto configuration() const -> const Configuration* {
    return this->in_force ? &*this->in_force : nullptr;
  }
  [[nodiscard]] auto state_machine() const -> const ConfigStateMachine& {
    return this->state;
  }

  /** What is wrong with the newest document; empty where it is in force. */
  [[nodiscard]] auto findings() const -> const Findings& {
    return this->newest_findings;
  }

 private:
  auto PlaceStart(const LogRecords& records) -> void;
  auto TakeNewest() -> void;
  auto NoteRead(Instant now) -> void;
  auto NoteSnapshot(Instant now) -> void;
  [[nodiscard]] auto SnapshotIsDue() const -> bool;

  ActionQueue& actions;
  RandomSource& random;
  ConfigStateMachine state;
  std::optional<Configuration> in_force;
  Findings newest_findings;
  std::uint64_t checked_version = 0;

  bool is_placed = false;
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
