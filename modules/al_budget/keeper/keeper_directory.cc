#include "al_budget/keeper/keeper_directory.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** A router without a word for this long is passed by, and each candidate after
   it. A keeper acknowledges a repeat, which comes after half a second, even
   while the log is slow. */
constexpr Duration kSilentAfter = std::chrono::milliseconds(800);

/** A keeper that says that it is stalled is passed by after this: another
   router may reach the log. In an outage of the log the next one cannot take
   over either, and nothing is lost. */
constexpr Duration kStalledAfter = std::chrono::milliseconds(2500);

}  // namespace

auto KeeperDirectory::Update(PartitionIndex partition,
                             const IncarnationId& keeper,
                             std::uint64_t epoch) -> bool {
  KeeperInfo& entry = this->known[partition];
  if (epoch <= entry.epoch || keeper.empty()) {
    return false;
  }
  entry = {keeper, epoch};
  this->waiting.erase(partition);
  return true;
}

auto KeeperDirectory::RecordSend(Instant now,
                                 PartitionIndex partition,
                                 const KeeperTarget& target) -> void {
  PendingSubmission& place = this->waiting[partition];
  if (place.target.router != target.router) {
    place = {target, now, now};
  } else if (!place.silent_since) {
    place.silent_since = now;
  }
}

auto KeeperDirectory::RecordReply(PartitionIndex partition, bool stalled)
    -> void {
  const auto place = this->waiting.find(partition);
  if (place == this->waiting.end()) {
    return;
  }
  if (stalled) {
    place->second.silent_since.reset();
  } else {
    this->waiting.erase(place);
  }
}

auto KeeperDirectory::LastTarget(PartitionIndex partition) const -> RouterId {
  const auto place = this->waiting.find(partition);
  return place == this->waiting.end() ? RouterId()
                                      : place->second.target.router;
}

auto KeeperDirectory::SelectTarget(Instant now,
                                   PartitionIndex partition,
                                   std::span<const RouterId> live) const
    -> std::optional<KeeperTarget> {
  if (live.empty()) {
    return std::nullopt;
  }
  const KeeperInfo entry = this->Find(partition).value_or(KeeperInfo{});
  const RouterId keeper = RouterOf(entry.keeper);
  std::vector<RouterId> candidates = RankCandidates(partition, live);
  // The keeper goes first; a router that is no longer listed is asked nothing.
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&](const RouterId& router) { return router == keeper; });
  const auto asked = this->waiting.find(partition);
  auto next = candidates.begin();
  if (asked != this->waiting.end()) {
    const PendingSubmission& place = asked->second;
    const bool is_silent =
        place.silent_since && now >= *place.silent_since + kSilentAfter;
    const bool is_given_up =
        is_silent || now >= place.unserved_since + kStalledAfter;
    next = std::ranges::find(candidates, place.target.router);
    if (next != candidates.end() && is_given_up) {
      ++next;
    }
    next = next == candidates.end() ? candidates.begin() : next;
  }
  return KeeperTarget{*next, *next == keeper ? 0 : entry.epoch};
}

auto KeeperDirectory::Find(PartitionIndex partition) const
    -> std::optional<KeeperInfo> {
  const auto found = this->known.find(partition);
  return found == this->known.end() ? std::nullopt
                                    : std::optional(found->second);
}

auto KeeperDirectory::RankCandidates(PartitionIndex partition,
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
