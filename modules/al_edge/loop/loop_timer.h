#ifndef AL_EDGE_LOOP_LOOP_TIMER_H_
#define AL_EDGE_LOOP_LOOP_TIMER_H_

#include <functional>
#include <memory>

#include "al_core/time/instant.h"

namespace auburnloft {

class EventLoop;

/** A timer that its owner can start again and stop.

    Stopped by its destructor; a callback may destroy its own timer.

    Thread safety: none; used on the loop's thread. The loop must outlive it.
*/
class LoopTimer {
 public:
  LoopTimer(EventLoop& loop, std::function<void()> callback);
  ~LoopTimer();

  LoopTimer(const LoopTimer&) = delete;
  auto operator=(const LoopTimer&) -> LoopTimer& = delete;

  /** Calls the callback once after `delay`; an earlier start is replaced. */
  auto Start(Duration delay) -> void;

  /** Drops a pending call. */
  auto Stop() -> void;

  /** True while a call is pending. */
  [[nodiscard]] auto running() const -> bool;

 private:
  struct Entry;

  std::unique_ptr<Entry> entry;
};

}  // namespace auburnloft

#endif  // AL_EDGE_LOOP_LOOP_TIMER_H_
