#ifndef AL_ACTIONS_ACTION_QUEUE_H_
#define AL_ACTIONS_ACTION_QUEUE_H_

#include <utility>
#include <vector>

#include "al_actions/action.h"

namespace auburnloft {

/** Collects the actions of one event, in order.

    Thread safety: none; used on one thread.
*/
class ActionQueue {
 public:
  /** Appends an action. */
  auto Push(Action action) -> void {
    this->actions.push_back(std::move(action));
  }

  /** Hands over all actions so far and starts anew. */
  [[nodiscard]] auto Take() -> std::vector<Action> {
    return std::exchange(this->actions, {});
  }

  /** True while there is nothing to carry out. */
  [[nodiscard]] auto empty() const -> bool { return this->actions.empty(); }

 private:
  std::vector<Action> actions;
};

}  // namespace auburnloft

#endif  // AL_ACTIONS_ACTION_QUEUE_H_
