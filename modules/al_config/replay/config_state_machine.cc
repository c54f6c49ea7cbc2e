#include "al_config/replay/config_state_machine.h"

#include <algorithm>
#include <utility>

namespace auburnloft {

namespace {

auto ParseObject(std::string_view text) -> nlohmann::json {
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace

//==============================================================================
// Commands

auto ConfigStateMachine::StartAt(LogOffset first) -> void {
  const bool misses_records = first > this->next || this->newest == 0;
  this->has_state = first == 0 || !misses_records;
  this->next = first;
}

auto ConfigStateMachine::ApplyBytes(std::string_view bytes)
    -> ConfigRecordResult {
  const LogOffset offset = this->next++;
  ++this->since_snapshot;
  wire::ConfigRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return ConfigRecordResult::kUnreadable;
  }
  if (record.is_snapshot()) {
    if (record.next_offset() != offset) {
      return ConfigRecordResult::kMisplaced;
    }
    this->since_snapshot = 0;
    if (this->has_state) {
      return ConfigRecordResult::kAccepted;
    }
    return this->Load(record.base_version(), record.merge_patch())
               ? ConfigRecordResult::kAccepted
               : ConfigRecordResult::kUnreadable;
  }
  if (!this->has_state) {
    return ConfigRecordResult::kNoState;
  }
  if (record.base_version() != this->newest) {
    return ConfigRecordResult::kVersionConflict;
  }
  return this->ApplyChange({record.base_version() + 1, record.merge_patch(),
                            record.author(), record.reason()})
             ? ConfigRecordResult::kAccepted
             : ConfigRecordResult::kUnreadable;
}

auto ConfigStateMachine::ApplyChange(Change change) -> bool {
  const nlohmann::json patch = ParseObject(change.merge_patch);
  if (!patch.is_object()) {
    return false;
  }
  this->json.merge_patch(patch);
  this->newest = change.version;
  this->recent_changes.push_back(std::move(change));
  if (this->recent_changes.size() > kMaxRetainedChanges) {
    this->recent_changes.pop_front();
  }
  return true;
}

auto ConfigStateMachine::Load(std::uint64_t new_version,
                              std::string_view document) -> bool {
  nlohmann::json parsed = ParseObject(document);
  if (!parsed.is_object()) {
    return false;
  }
  this->json = std::move(parsed);
  this->newest = new_version;
  this->has_state = true;
  this->recent_changes.clear();
  return true;
}

auto ConfigStateMachine::Adopt(std::uint64_t new_version,
                               LogOffset next_offset,
                               std::string_view document) -> bool {
  if (new_version <= this->newest || !this->Load(new_version, document)) {
    return false;
  }
  this->next = next_offset;
  return true;
}

auto ConfigStateMachine::AdoptChanges(std::span<const Change> changes,
                                      LogOffset next_offset) -> bool {
  const bool follows_on = this->has_state && !changes.empty() &&
                          changes.front().version == this->newest + 1;
  if (!follows_on) {
    return false;
  }
  for (const Change& change : changes) {
    if (change.version != this->newest + 1 || !this->ApplyChange(change)) {
      this->has_state =
          false;  // An incomplete list of changes matches no version. The state
                  // is unknown until a snapshot or a whole document arrives.
      return false;
    }
  }
  this->next = std::max(this->next, next_offset);
  return true;
}

//==============================================================================
// Queries

auto ConfigStateMachine::ToSnapshot() const -> wire::ConfigRecord {
  wire::ConfigRecord record;
  record.set_base_version(this->newest);
  record.set_merge_patch(this->json.dump());
  record.set_is_snapshot(true);
  record.set_next_offset(this->next);
  return record;
}

}  // namespace auburnloft
