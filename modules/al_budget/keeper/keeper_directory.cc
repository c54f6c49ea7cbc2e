#include "al_budget/keeper/keeper_directory.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** A keeper without an answer for this long is passed by, and each candidate
   after it: longer than a commit on a slow log, short against the patience of
   callers. */
constexpr Duration kSuspectAfter = std::chrono::milliseconds(2500);

}  // namespace

auto KeeperDirectory::Learn(PartitionIndex partition,
                            const IncarnationId& keeper,
                            std::uint64_t epoch) -> bool {
  Known& entry = this->known[partition];
  if (epoch <= entry.epoch || keeper.empty()) {
    return false;
  }
  entry = {keeper, epoch};
  this->unanswered_since.erase(partition);
  return true;
}

auto KeeperDirectory::NoteSent(Instant now, PartitionIndex partition) -> void {
  this->unanswered_since.try_emplace(partition, now);
}

auto KeeperDirectory::NoteAnswer(PartitionIndex partition) -> void {
  this->unanswered_since.erase(partition);
}

auto KeeperDirectory::Target(Instant now,
                             PartitionIndex partition,
                             std::span<const RouterId> live) const
    -> std::optional<KeeperTarget> {
  if (live.empty()) {
    return std::nullopt;
  }
  const Known entry = this->Find(partition).value_or(Known{});
  const RouterId keeper = RouterOf(entry.keeper);
  const bool keeper_is_live =
      !keeper.empty() && std::ranges::find(live, keeper) != live.end();
  const auto since = this->unanswered_since.find(partition);
  const std::size_t silences =
      since == this->unanswered_since.end()
          ? 0
          : static_cast<std::size_t>((now - since->second) / kSuspectAfter);
  if (keeper_is_live && silences == 0) {
    return KeeperTarget{keeper, 0};
  }
  std::vector<RouterId> candidates = Rank(partition, live);
  if (candidates.size() > 1) {
    std::erase(candidates, keeper);
  }
  const std::size_t attempt = keeper_is_live ? silences - 1 : silences;
  return KeeperTarget{candidates[attempt % candidates.size()], entry.epoch};
}

auto KeeperDirectory::Find(PartitionIndex partition) const
    -> std::optional<Known> {
  const auto found = this->known.find(partition);
  return found == this->known.end() ? std::nullopt
                                    : std::optional(found->second);
}

auto KeeperDirectory::Rank(PartitionIndex partition,
                           std::span<const RouterId> live)
    -> std::vector<RouterId> {
  const std::string item = "partition-" + std::to_string(partition);
  std::vector<RouterId> ranked(live.begin(), live.end());
  std::ranges::sort(ranked, std::greater<>(), [&](const RouterId& router) {
    return StableHash(router.value(), item);
  });
  return ranked;
}

}  // namespace auburnloft
