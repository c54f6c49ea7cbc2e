#ifndef AL_CONFIG_REPLAY_CONFIG_STATE_MACHINE_H_
#define AL_CONFIG_REPLAY_CONFIG_STATE_MACHINE_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

#include "al_core/ids/ids.h"
#include "ledger.pb.h"

namespace auburnloft {

/** The result of applying a configuration record: accepted, or why it has no
 * effect. */
enum class ConfigRecordResult {
  kAccepted,         ///< A change that was applied, or a valid snapshot.
  kUnreadable,       ///< The bytes are not a record, or its patch is not a JSON
                     ///< object.
  kVersionConflict,  ///< The change is based on a version that is not the
                     ///< newest.
  kMisplaced,  ///< A snapshot at another offset than the one it was written
               ///< for.
  kNoState,  ///< Earlier records are missing and no snapshot has been read yet.
};

/** Replays the configuration stream: applies its records in order and holds the
   newest version.

    A change is accepted if it is based on the newest version (compare and set):
   of two concurrent changes, the first in the log wins. The document is not
   validated here, so that routers of different releases compute the same
   version numbers.

    Thread safety: none; used on one thread.

    @see ConfigFollower
*/
class ConfigStateMachine {
 public:
  /** The change that produced `version`, retained for neighbours that are a few
   * versions behind. */
  struct Change {
    std::uint64_t version = 0;
    std::string merge_patch;
    std::string author;
    std::string reason;
  };

  /** Retained changes. A neighbour that needs older ones gets the whole
   * document.
   */
  static constexpr std::size_t kMaxRetainedChanges = 64;

  //============================================================================
  // Commands

  /** Sets the offset of the first record that will be applied. If earlier
   * records are missing, the state stays unknown until a snapshot is applied.
   */
  auto StartAt(LogOffset first) -> void;

  /** Applies the record at next_offset(). */
  auto ApplyBytes(std::string_view bytes) -> ConfigRecordResult;

  /** Replaces the state by a neighbour's document if that is newer. @return
   * true if it was. */
  auto Adopt(std::uint64_t new_version,
             LogOffset next_offset,
             std::string_view document) -> bool;

  /** Applies changes received from a neighbour if the first one follows the
   * newest version. @param next_offset the stream offset that the neighbour
   * reads next. @return true if all changes were applied. */
  auto AdoptChanges(std::span<const Change> changes, LogOffset next_offset)
      -> bool;

  //============================================================================
  // Queries

  /** True if the state is known; false after StartAt() with missing records,
   * until a snapshot was applied. */
  [[nodiscard]] auto ready() const -> bool { return this->has_state; }
  [[nodiscard]] auto version() const -> std::uint64_t { return this->newest; }
  [[nodiscard]] auto next_offset() const -> LogOffset { return this->next; }
  [[nodiscard]] auto document() const -> const nlohmann::json& {
    return this->json;
  }
  [[nodiscard]] auto changes() const -> const std::deque<Change>& {
    return this->recent_changes;
  }
  [[nodiscard]] auto records_since_snapshot() const -> std::uint64_t {
    return this->since_snapshot;
  }

  /** The whole state as a snapshot record; valid only at offset next_offset().
   */
  [[nodiscard]] auto ToSnapshot() const -> wire::ConfigRecord;

 private:
  auto ApplyChange(Change change) -> bool;
  auto Load(std::uint64_t new_version, std::string_view document) -> bool;

  bool has_state = true;
  LogOffset next = 0;
  std::uint64_t newest = 0;
  std::uint64_t since_snapshot = 0;
  nlohmann::json json = nlohmann::json::object();
  std::deque<Change> recent_changes;
};

}  // namespace auburnloft

#endif  // AL_CONFIG_REPLAY_CONFIG_STATE_MACHINE_H_
