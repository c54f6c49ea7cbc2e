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

/** Why a configuration record has no effect at its place. */
enum class ConfigRecordResult {
  kNone,
  kUnreadable,       ///< Not a record, or its patch is no JSON.
  kVersionConflict,  ///< Based on a version that is no longer the newest.
  kMisplaced,  ///< A snapshot that does not stand at the offset that it states.
  kNoState,    ///< The reader has not met a snapshot yet.
};

/** The versions of the configuration: the fold over its stream.

    A change is valid where it is based on the newest version (compare and set):
   of two operators who race, the first in the log wins. Whether a document
   makes sense is not part of the fold, so that routers of different releases
   count the same versions.

    Thread safety: none; used on one thread.

    @see ConfigFollower
*/
class ConfigStateMachine {
 public:
  /** A change that led to `version`, kept for neighbours that lag a little. */
  struct Change {
    std::uint64_t version = 0;
    std::string merge_patch;
    std::string author;
    std::string reason;
  };

  /** Changes kept for neighbours; one that lags more gets the whole document.
   */
  static constexpr std::size_t kMaxRetainedChanges = 64;

  //============================================================================
  // Commands

  /** Prepares for a stream whose records are read from `first` on. */
  auto StartAt(LogOffset first) -> void;

  /** Applies the record at next_offset(). */
  auto ApplyBytes(std::string_view bytes) -> ConfigRecordResult;

  /** Takes over a neighbour's state, where it is newer. @return true where it
   * was. */
  auto Adopt(std::uint64_t new_version,
             LogOffset next_offset,
             std::string_view document) -> bool;

  /** Applies changes that a neighbour passes on, where they follow on this
     state.
      @param next_offset  of the neighbour's state after the last of them. */
  auto AdoptChanges(std::span<const Change> changes, LogOffset next_offset)
      -> bool;

  //============================================================================
  // Queries

  [[nodiscard]] auto ready() const -> bool { return this->has_state; }
  [[nodiscard]] auto version() const -> std::uint64_t { return this->newest; }
  [[nodiscard]] auto next_offset() const -> LogOffset { return this->next; }
  [[nodiscard]] auto document() const -> const nlohmann::json& {
    return this->json;
  }
  [[nodiscard]] auto changes() const -> const std::deque<Change>& {
    return this->recent;
  }
  [[nodiscard]] auto records_since_snapshot() const -> std::uint64_t {
    return this->since_snapshot;
  }

  /** The whole state, valid as a record at next_offset(). */
  [[nodiscard]] auto ToSnapshot() const -> wire::ConfigRecord;

 private:
  auto ApplyChange(Change change) -> bool;
  auto Load(std::uint64_t new_version, std::string_view document) -> bool;

  bool has_state = true;
  LogOffset next = 0;
  std::uint64_t newest = 0;
  std::uint64_t since_snapshot = 0;
  nlohmann::json json = nlohmann::json::object();
  std::deque<Change> recent;
};

}  // namespace auburnloft

#endif  // AL_CONFIG_REPLAY_CONFIG_STATE_MACHINE_H_
