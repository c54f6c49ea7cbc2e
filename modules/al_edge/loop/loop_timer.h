#ifndef AL_EDGE_LOOP_LOOP_TIMER_H_
#define AL_EDGE_LOOP_LOOP_TIMER_H_

#include <functional>
#include <memory>

#include "al_core/time/instant.h"

namespace auburnloft {

class EventLoop;

/** A single-shot timer that can be restarted and stopped.

    The destructor stops the timer. The callback may destroy the timer.

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

  std::unique_ptr<Entry> entry;
};

}  // namespace auburnloft

#endif  // AL_EDGE_LOOP_LOOP_TIMER_H_
