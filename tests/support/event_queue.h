#ifndef TESTS_SUPPORT_EVENT_QUEUE_H_
#define TESTS_SUPPORT_EVENT_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "al_core/time/instant.h"

namespace auburnloft::testing {

/** A queue of events in virtual time. Events of the same instant run in the
   order in which they were added. */
class EventQueue {
 public:
  using Event = std::function<void()>;

  explicit EventQueue(Instant start) : current(start) {}

  [[nodiscard]] auto Now() const -> Instant { return this->current; }

  /** Schedules an event.  @pre at >= Now(). */
  auto At(Instant at, Event event) -> void {
    this->events.emplace(std::make_pair(at, this->next_order++),
                         std::move(event));
  }
  auto After(Duration delay, Event event) -> void {
    this->At(this->current + delay, std::move(event));
  }

  /** Advances to the next event and runs it if it is due by `limit`; otherwise
     advances to `limit`. @return whether an event was run. */
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
