#ifndef TESTS_SUPPORT_EVENT_QUEUE_H_
#define TESTS_SUPPORT_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "al_core/time/instant.h"

namespace auburnloft::testing {

/** Events in virtual time; those of one instant run in the order in which they
 * were added. */
class EventQueue {
 public:
  using Event = std::function<void()>;

  explicit EventQueue(Instant start) : current(start) {}

  [[nodiscard]] auto Now() const -> Instant { return this->current; }

  /** Adds an event.  @pre at >= Now(). */
  auto At(Instant at, Event event) -> void {
    this->events.emplace(std::make_pair(at, this->next_order++),
                         std::move(event));
  }
  auto After(Duration delay, Event event) -> void {
    this->At(this->current + delay, std::move(event));
  }

  /** Runs the next event, where it is due by `limit`. @return false where none
   * is. */
  auto Step(Instant limit) -> bool {
    if (this->events.empty() || this->events.begin()->first.first > limit) {
      this->current = std::max(this->current, limit);
      return false;
    }
    auto node = this->events.extract(this->events.begin());
    this->current = node.key().first;
    node.mapped()();
    return true;
  }

 private:
  Instant current;
  std::uint64_t next_order = 0;
  std::map<std::pair<Instant, std::uint64_t>, Event> events;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_EVENT_QUEUE_H_
