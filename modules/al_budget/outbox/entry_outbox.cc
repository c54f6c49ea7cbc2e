#include "al_budget/outbox/entry_outbox.h"

#include <algorithm>
#include <cassert>

namespace auburnloft {

namespace {

/** The interval before the first resend. It doubles with each resend up to the
    maximum. */
constexpr Duration kInitialResendInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxResendInterval = std::chrono::seconds(8);

auto DelayOf(Urgency urgency) -> Duration {
  switch (urgency) {
    case Urgency::kImmediate:
      return Duration{0};
    case Urgency::kBatched:
      return EntryOutbox::kBatchDelay;
    case Urgency::kDelayed:
      break;
  }
  return EntryOutbox::kDelayedRetryInterval;
}

}  // namespace

auto EntryOutbox::Add(Instant now,
                      PartitionIndex partition,
                      wire::LedgerEntry entry,
                      Urgency urgency) -> void {
  assert(!this->Contains(entry.entry_id()));
  const std::uint64_t order = this->next_order++;
  this->places[entry.entry_id()] = {partition, order};
  const Instant due = now + DelayOf(urgency);
  this->partitions[partition].items.emplace(
      order, Item{std::move(entry), due, Duration{0}});
}

auto EntryOutbox::Remove(std::string_view entry_id)
    -> std::optional<wire::LedgerEntry> {
  const auto place = this->places.find(std::string(entry_id));
  if (place == this->places.end()) {
    return std::nullopt;
  }
  const auto partition = this->partitions.find(place->second.partition);
  const auto item = partition->second.items.find(place->second.order);
  wire::LedgerEntry entry = std::move(item->second.entry);
  partition->second.items.erase(item);
  this->places.erase(place);
  if (partition->second.items.empty()) {
    this->partitions.erase(partition);
  }
  return entry;
}

auto EntryOutbox::TakeDue(Instant now) -> std::vector<DueBatch> {
  std::vector<DueBatch> batches;
  for (auto& [index, partition] : this->partitions) {
    DueBatch batch;
    batch.partition = index;
    bool has_resends = false;
    std::size_t seen = 0;
    for (auto& [order, item] : partition.items) {
      if (++seen > partition.window) {
        break;
      }
      if (item.due > now) {
        continue;
      }
      const bool sent_before = item.interval > Duration{0};
      has_resends = has_resends || sent_before;
      item.interval = sent_before
                          ? std::min(item.interval * 2, kMaxResendInterval)
                          : kInitialResendInterval;
      item.due = now + item.interval;
      batch.entries.push_back(item.entry);
    }
    if (has_resends) {
      partition.window = kInitialWindow;
    }
    if (!batch.entries.empty()) {
      batches.push_back(std::move(batch));
    }
  }
  return batches;
}

auto EntryOutbox::RecordReply(Instant now,
                              PartitionIndex partition,
                              bool has_verdicts) -> void {
  const auto found = this->partitions.find(partition);
  if (found == this->partitions.end() || !has_verdicts) {
    return;
  }
  found->second.window = std::min(found->second.window * 2, kMaxWindow);
  for (auto& [order, item] : found->second.items) {
    // Entries that have been resent are due at once. Entries that are new or
    // were sent only once keep their schedule.
    if (item.interval > kInitialResendInterval) {
      item.interval = Duration{0};
      item.due = now;
    }
  }
}

auto EntryOutbox::ResendNow(Instant now, PartitionIndex partition) -> void {
  const auto found = this->partitions.find(partition);
  if (found == this->partitions.end()) {
    return;
  }
  for (auto& [order, item] : found->second.items) {
    item.due = now;
    item.interval = Duration{0};
  }
}

auto EntryOutbox::Contains(std::string_view entry_id) const -> bool {
  return this->places.contains(std::string(entry_id));
}

auto EntryOutbox::Partitions() const -> std::vector<PartitionIndex> {
  std::vector<PartitionIndex> indices;
  for (const auto& [index, partition] : this->partitions) {
    indices.push_back(index);
  }
  return indices;
}

auto EntryOutbox::Entries() const -> std::vector<const wire::LedgerEntry*> {
  std::vector<const wire::LedgerEntry*> entries;
  for (const auto& [index, partition] : this->partitions) {
    for (const auto& [order, item] : partition.items) {
      entries.push_back(&item.entry);
    }
  }
  return entries;
}

}  // namespace auburnloft
