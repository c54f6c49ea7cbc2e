#include "al_budget/keeper/keeper_directory.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** A router that has not replied for this long is skipped, and so is each
    candidate after it. A keeper acknowledges a resent submission, which comes
    after half a second, even while the log service is slow. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(800);

/** A keeper that reports that it is stalled is skipped after this time, because
    another router may reach the log service. If the log service itself is down,
    no other router can take over either, and the change of target does no
    harm. */
constexpr Duration kStalledTimeout = std::chrono::milliseconds(2500);

}  // namespace

auto KeeperDirectory::Update(PartitionIndex partition,
                             const IncarnationId& keeper,
                             std::uint64_t epoch) -> bool {
  KeeperInfo& info = this->known_keepers[partition];
  if (epoch <= info.epoch || keeper.empty()) {
    return false;
  }
  info = {keeper, epoch};
  this->pending_submissions.erase(partition);
  return true;
}

auto KeeperDirectory::RecordSend(Instant now,
                                 PartitionIndex partition,
                                 const KeeperTarget& target) -> void {
  PendingSubmission& submission = this->pending_submissions[partition];
  if (submission.target.router != target.router) {
    submission = {target, now, now};
  } else if (!submission.unanswered_since) {
    submission.unanswered_since = now;
  }
}

auto KeeperDirectory::RecordReply(PartitionIndex partition, bool stalled)
    -> void {
  const auto submission = this->pending_submissions.find(partition);
  if (submission == this->pending_submissions.end()) {
    return;
  }
  if (stalled) {
    submission->second.unanswered_since.reset();
  } else {
    this->pending_submissions.erase(submission);
  }
}

auto KeeperDirectory::LastTarget(PartitionIndex partition) const -> RouterId {
  const auto submission = this->pending_submissions.find(partition);
  return submission == this->pending_submissions.end()
             ? RouterId()
             : submission->second.target.router;
}

auto KeeperDirectory::SelectTarget(Instant now,
                                   PartitionIndex partition,
                                   std::span<const RouterId> active) const
    -> std::optional<KeeperTarget> {
  if (active.empty()) {
    return std::nullopt;
  }
  const KeeperInfo info = this->Find(partition).value_or(KeeperInfo{});
  const RouterId keeper = RouterOf(info.keeper);
  std::vector<RouterId> candidates = RankCandidates(partition, active);
  // The keeper goes first, if it is still listed.
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&](const RouterId& router) { return router == keeper; });
  const auto pending = this->pending_submissions.find(partition);
  auto next = candidates.begin();
  if (pending != this->pending_submissions.end()) {
    const PendingSubmission& submission = pending->second;
    const bool has_timed_out =
        submission.unanswered_since &&
        now >= *submission.unanswered_since + kReplyTimeout;
    const bool is_skipped =
        has_timed_out || now >= submission.unserved_since + kStalledTimeout;
    next = std::ranges::find(candidates, submission.target.router);
    if (next != candidates.end() && is_skipped) {
      ++next;
    }
    next = next == candidates.end() ? candidates.begin() : next;
  }
  return KeeperTarget{*next, *next == keeper ? 0 : info.epoch};
}

auto KeeperDirectory::Find(PartitionIndex partition) const
    -> std::optional<KeeperInfo> {
  const auto found = this->known_keepers.find(partition);
  return found == this->known_keepers.end() ? std::nullopt
                                            : std::optional(found->second);
}

auto KeeperDirectory::RankCandidates(PartitionIndex partition,
                                     std::span<const RouterId> active)
    -> std::vector<RouterId> {
  const std::string item = "partition-" + std::to_string(partition);
  std::vector<RouterId> ranked(active.begin(), active.end());
  std::ranges::sort(ranked, std::greater<>(), [&](const RouterId& router) {
    return StableHash(router.value(), item);
  });
  return ranked;
}

}  // namespace auburnloft
