#ifndef AL_EDGE_LOOP_LOOP_TIMER_H_
#define AL_EDGE_LOOP_LOOP_TIMER_H_

#include <functional>
#include <memory>

#include "al_core/time/instant.h"

namespace auburnloft {

class EventLoop;

/** A single-shot timer that can be restarted and stopped.

    The destructor stops the timer. The callback may destroy the timer.

    Sockets that were ready when it came due are served before the callback:
   what they bring may stop it.

    Thread safety: none; use on the loop's thread. The loop must outlive the
   timer.
*/
class LoopTimer {
 public:
  LoopTimer(EventLoop& loop, std::function<void()> callback);
  ~LoopTimer();

  LoopTimer(const LoopTimer&) = delete;
  auto operator=(const LoopTimer&) -> LoopTimer& = delete;

  /** Calls the callback once after `delay`. Replaces a pending call. */
  auto Start(Duration delay) -> void;

  /** Cancels a pending call. */
  auto Stop() -> void;

  /** True while a call is pending. */
  [[nodiscard]] auto running() const -> bool;

 private:
  struct Entry;

  std::shared_ptr<Entry> entry;  ///< Kept while it fires.
};

}  // namespace auburnloft

#endif  // AL_EDGE_LOOP_LOOP_TIMER_H_
