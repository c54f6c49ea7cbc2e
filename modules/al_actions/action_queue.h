#ifndef AL_ACTIONS_ACTION_QUEUE_H_
#define AL_ACTIONS_ACTION_QUEUE_H_

#include <utility>
#include <vector>

#include "al_actions/action.h"

namespace auburnloft {

/** Collects the actions that follow from an event, in order.

    Thread safety: none; used on one thread.
*/
class ActionQueue {
 public:
  /** Appends an action. */
  auto Push(Action action) -> void {
    this->actions.push_back(std::move(action));
  }

  /** Returns all queued actions and empties the queue. */
  [[nodiscard]] auto Take() -> std::vector<Action> {
    return std::exchange(this->actions, {});
  }

  /** True if no action is queued. */
  [[nodiscard]] auto empty() const -> bool { return this->actions.empty(); }

 private:
  std::vector<Action> actions;
};

}  // namespace auburnloft

#endif  // AL_ACTIONS_ACTION_QUEUE_H_
