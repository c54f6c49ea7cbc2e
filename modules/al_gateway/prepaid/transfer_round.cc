#include "al_gateway/prepaid/transfer_round.h"

#include <algorithm>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** A reply is late after this multiple of the usual time. */
constexpr int kLateMultiple = 2;

/** A reply is not late before this time: a few round trips between failure
   domains. */
constexpr Duration kMinLateTime = std::chrono::milliseconds(15);

/** A reply is late after this time in any case: replies arrive up to 500 ms
   late over a busy link. */
constexpr Duration kMaxLateTime = std::chrono::milliseconds(600);

/** Maximum late requests of which other routers are asked for the tokens before
   that time: so many of six reserve holders may be in one failure domain. */
constexpr std::ptrdiff_t kMaxReplaced = 3;

/** Maximum requests at once. */
constexpr std::ptrdiff_t kMaxPending = 8;

}  // namespace

auto TransferRound::SetPeers(std::vector<Peer> peers) -> void {
  this->peers = std::move(peers);
}

auto TransferRound::Plan(std::uint64_t needed,
                         Duration usual_reply_time,
                         Instant now) -> std::vector<Ask> {
  this->MarkLate(now);
  std::vector<Ask> asks;
  const std::uint64_t expected = this->expected_tokens();
  std::uint64_t missing = needed - std::min(needed, expected);
  const auto is_current = [now](const auto& item) {
    return now - item.second.sent_at < kMaxLateTime;
  };
  while (missing > 0 && !this->peers.empty() &&
         std::count_if(this->pending.begin(), this->pending.end(), is_current) <
             kMaxPending) {
    Peer peer = std::move(this->peers.front());
    this->peers.erase(this->peers.begin());
    // The last router is asked for all: its report may be old.
    const bool covers = peer.unspent >= missing || this->peers.empty();
    const std::uint64_t tokens =
        covers ? missing : std::max<std::uint64_t>(1, peer.unspent);
    missing -= tokens;
    const Duration late_after = std::clamp(usual_reply_time * kLateMultiple,
                                           kMinLateTime, kMaxLateTime);
    this->pending[++this->last_number] = {peer.incarnation, tokens, now,
                                          now + late_after};
    asks.push_back({this->last_number, std::move(peer), tokens});
  }
  return asks;
}

auto TransferRound::OnEnd(std::uint64_t number, Instant now)
    -> std::optional<Duration> {
  const auto found = this->pending.find(number);
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  const Duration taken = now - found->second.sent_at;
  this->pending.erase(found);
  return taken;
}

auto TransferRound::NextCheckAt() const -> std::optional<Instant> {
  std::optional<Instant> earliest;
  for (const auto& [number, ask] : this->pending) {
    const Instant at = ask.is_late ? Instant::max() : ask.late_at;
    if (at != Instant::max() && (!earliest || at < *earliest)) {
      earliest = at;
    }
  }
  return earliest;
}

auto TransferRound::expected_tokens() const -> std::uint64_t {
  std::uint64_t tokens = 0;
  for (const auto& [number, ask] : this->pending) {
    tokens += ask.is_late ? 0 : ask.tokens;
  }
  return tokens;
}

auto TransferRound::IsPending(const std::string& incarnation,
                              Instant since) const -> bool {
  return std::any_of(this->pending.begin(), this->pending.end(),
                     [&](const auto& item) {
                       return item.second.incarnation == incarnation &&
                              item.second.sent_at > since;
                     });
}

auto TransferRound::MarkLate(Instant now) -> void {
  auto replaced = std::count_if(
      this->pending.begin(), this->pending.end(), [now](const auto& item) {
        return item.second.is_late && now - item.second.sent_at < kMaxLateTime;
      });
  for (auto& [number, ask] : this->pending) {
    if (ask.is_late || now < ask.late_at) {
      continue;
    }
    if (replaced < kMaxReplaced || now - ask.sent_at >= kMaxLateTime) {
      ask.is_late = true;
      ++replaced;
    } else {
      ask.late_at = ask.sent_at + kMaxLateTime;
    }
  }
}

}  // namespace auburnloft::gateway
