#ifndef AL_GATEWAY_ADMISSION_PLACE_QUEUE_H_
#define AL_GATEWAY_ADMISSION_PLACE_QUEUE_H_

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/admission/decayed_count.h"
#include "al_gateway/admission/team_shares.h"

namespace auburnloft::gateway {

/** Queues one router's requests to a plain service until a place is free.

    The number of places is the router's share of connections, which follows its
    demand. After an upstream refused a request as full, or answered late, fewer
    are used, and one more after each answer while all are used; a second
    without a refusal ends this limit. So a router whose view of the service is
    wrong corrects it with the next refusal, without messages.

    A free place goes to a team that is within its share, of these to the most
    urgent request, of these to the one that must begin first.

    Thread safety: none; used on one thread.
*/
class PlaceQueue {
 public:
  using Ticket = std::uint64_t;

  struct Item {
    std::string team;
    int priority = 5;       ///< 0 is the most urgent.
    Instant arrived_at{};   ///< At the router.
    Duration objective{0};  ///< Until the response.
  };

  /** Result of a request that had a place. */
  enum class Result {
    kAnswered,
    kFull,   ///< An upstream refused it as full, and did not execute it.
    kEnded,  ///< It ended in another way, which tells nothing of places.
  };

  /** What became of a request that asked for a place. */
  struct Answer {
    Ticket ticket = 0;        ///< 0 if it waits no longer, or does not wait.
    bool begins = false;      ///< It has a place.
    Duration expected{0};     ///< Until the response, from the arrival on.
    Duration retry_after{0};  ///< If it neither begins nor waits; unspread.
    double team_share = 0.0;  ///< Requests a second; 0 while none is scarce.
  };

  //============================================================================
  // Commands

  /** Sets the most places that this router may use: its connections to all
     upstreams of the service. @pre at least 1. */
  auto SetMaximum(int places) -> void;

  /** Takes a place, queues the request, or refuses it because it would begin
     too late to be answered within its objective. */
  [[nodiscard]] auto Ask(Item item, Instant now) -> Answer;

  /** Queues a request again that an upstream refused as full, or that found no
     connection. @pre it has no place. @param not_before  when to try again.
      @return 0 if it can't begin in time. */
  [[nodiscard]] auto AskAgain(Item item, Instant not_before, Instant now)
      -> Ticket;

  /** Removes a request that waits; has no effect on others. */
  auto Cancel(Ticket ticket) -> void;

  /** Returns the place of a request.
      @param taken_at  when it got the place. */
  auto Release(Result result, const Item& item, Instant taken_at, Instant now)
      -> void;

  /** Takes a free place for a request that waits. Call it after Release() and
     each few milliseconds. @return none if none can begin. */
  [[nodiscard]] auto TakeNext(Instant now) -> std::optional<Ticket>;

  /** Removes and returns the requests that can't begin in time any more. */
  [[nodiscard]] auto TakeExpired(Instant now) -> std::vector<Ticket>;

  //============================================================================
  // Queries

  [[nodiscard]] auto waiting() const -> std::size_t {
    return this->queue.size();
  }
  [[nodiscard]] auto in_use() const -> int { return this->used; }
  /** Returns the number of places that this router uses at most now. */
  [[nodiscard]] auto PlacesAt(Instant now) const -> int;
  /** Returns when a request that arrives now would be answered. */
  [[nodiscard]] auto ExpectedAnswer(Instant now) const -> Duration;

 private:
  /** Time constant of the rate at which requests are answered. */
  static constexpr Duration kRateWindow = std::chrono::seconds(2);

  struct Waiting {
    Ticket ticket = 0;
    Item item;
    Instant not_before{};
  };

  /** Returns until when the request must begin to be of use. */
  [[nodiscard]] auto LatestBegin(const Item& item) const -> Instant;
  [[nodiscard]] auto HasFreePlace(Instant now) const -> bool {
    return this->used < this->PlacesAt(now);
  }
  /** Returns the limit of the places, with a fraction. */
  [[nodiscard]] auto LimitAt(Instant now) const -> double;
  auto Take(const Item& item, Instant now) -> void;

  std::list<Waiting> queue;
  TeamShares teams;
  DecayedCount answered{kRateWindow};
  Duration usual_work{0};  ///< From begin to response; 0 before the first.
  double window = 1.0;     ///< Limit of the places after a refusal.
  int maximum = 1;
  int used = 0;
  Instant shrunk_at{};
  Ticket last_ticket = 0;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_PLACE_QUEUE_H_
