#ifndef AL_GATEWAY_HEDGING_HEDGE_SHARE_H_
#define AL_GATEWAY_HEDGING_HEDGE_SHARE_H_

#include <array>
#include <cstdint>

namespace auburnloft::gateway {

/** Limits second attempts to a share of the requests that may have one, over a
   sliding window of the last kWindow requests.

    The window counts requests in place of seconds, so that a small share works
   at a router with few requests, too: at a share of 0.01 each hundredth request
   may be hedged, however long the hundred take.

    Thread safety: none; used on one thread.
*/
class HedgeShare {
 public:
  /** @param share  second attempts per request, 0 to 1. */
  explicit HedgeShare(double share) : share(share) {}

  /** Records a request that may be hedged. */
  auto RecordRequest() -> void;

  /** Returns whether the share leaves a second attempt. */
  [[nodiscard]] auto HasRoom() const -> bool;

  /** Records a second attempt. @pre HasRoom(). */
  auto RecordHedge() -> void;

 private:
  /** Half a minute to a quarter of an hour at one to thirty requests a second
     of a service; a hundred second attempts at the highest useful share. */
  static constexpr std::size_t kWindow = 1'000;

  double share;
  std::array<std::uint16_t, kWindow> hedges{};  ///< Sent since each request.
  std::size_t newest = 0;
  int requests = 0;  ///< In the window.
  int total = 0;     ///< Second attempts in the window.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_HEDGING_HEDGE_SHARE_H_
