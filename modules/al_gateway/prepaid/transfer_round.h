#ifndef AL_GATEWAY_PREPAID_TRANSFER_ROUND_H_
#define AL_GATEWAY_PREPAID_TRANSFER_ROUND_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Decides which routers to ask for tokens of one team, and for how many.

    Tokens that were asked for count as expected until the reply arrives, so
   they are not asked for again: a demand that grows meanwhile asks only for the
   difference. If the first router cannot cover the need by its last report,
   several are asked at once. A reply that is later than usual is replaced by
   another router's, for as many asks as routers may be dead at once; beyond
   that the asker's own link is the likely cause, and more asks would make it
   worse.

    Thread safety: none; used on one thread.
*/
class TransferRound {
 public:
  /** A router that may have tokens. */
  struct Peer {
    std::string incarnation;
    std::string address;
    std::uint64_t unspent = 0;  ///< Tokens, by its last entry in the log.
  };

  /** A request to send. */
  struct Ask {
    std::uint64_t number = 0;  ///< For OnReply() and OnFailure().
    Peer peer;
    std::uint64_t tokens = 0;
  };

  //============================================================================
  // Commands

  /** Sets the routers to ask, the preferred one first. Replies that are pending
     stay so. */
  auto SetPeers(std::vector<Peer> peers) -> void;

  /** Returns the requests to send now.
      @param needed  tokens that are missing now, the expected ones included.
      @param usual_reply_time  of other routers, as measured. */
  [[nodiscard]] auto Plan(std::uint64_t needed,
                          Duration usual_reply_time,
                          Instant now) -> std::vector<Ask>;

  /** Records the end of a request: its reply, or that none will come.
      @return the time since it was sent; nullopt for an unknown number. */
  auto OnEnd(std::uint64_t number, Instant now) -> std::optional<Duration>;

  //============================================================================
  // Queries

  /** Returns when Plan() is to be called again if no reply arrives; nullopt if
     no reply is pending that could become late. */
  [[nodiscard]] auto NextCheckAt() const -> std::optional<Instant>;

  /** Returns the tokens that pending requests will likely bring. */
  [[nodiscard]] auto expected_tokens() const -> std::uint64_t;

  /** Returns whether there is a further router to ask. */
  [[nodiscard]] auto has_peers() const -> bool { return !this->peers.empty(); }

  /** Returns whether a reply to a request since `since` is pending from a
     router. */
  [[nodiscard]] auto IsPending(const std::string& incarnation,
                               Instant since) const -> bool;

 private:
  struct PendingAsk {
    std::string incarnation;
    std::uint64_t tokens = 0;
    Instant sent_at{};
    Instant late_at{};
    bool is_late = false;
  };

  /** Marks the requests as late of which other routers are to be asked for the
     tokens. */
  auto MarkLate(Instant now) -> void;

  std::vector<Peer> peers;  ///< Not asked yet, in order.
  std::map<std::uint64_t, PendingAsk> pending;
  std::uint64_t last_number = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_PREPAID_TRANSFER_ROUND_H_
