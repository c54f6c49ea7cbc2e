#include "al_traffic/queue/dispatch_queue.h"

#include <algorithm>

namespace auburnloft {

auto DispatchQueue::Add(RequestHandle handle,
                        LatencyClass latency_class,
                        Instant arrived,
                        Instant expires_at) -> void {
  std::deque<Item>& items = latency_class == LatencyClass::kInteractive
                                ? this->interactive
                                : this->background;
  items.push_back({handle, arrived, expires_at});
}

auto DispatchQueue::Remove(RequestHandle handle) -> void {
  for (std::deque<Item>* items : {&this->interactive, &this->background}) {
    std::erase_if(*items,
                  [handle](const Item& item) { return item.handle == handle; });
  }
}

auto DispatchQueue::TryDispatchAll(
    const std::function<bool(RequestHandle)>& try_dispatch) -> void {
  for (std::deque<Item>* items : {&this->interactive, &this->background}) {
    std::erase_if(*items,
                  [&](const Item& item) { return try_dispatch(item.handle); });
  }
}

auto DispatchQueue::TakeExpired(Instant now) -> std::vector<RequestHandle> {
  std::vector<RequestHandle> expired;
  for (std::deque<Item>* items : {&this->interactive, &this->background}) {
    std::erase_if(*items, [&](const Item& item) {
      if (now < item.expires_at) {
        return false;
      }
      expired.push_back(item.handle);
      return true;
    });
  }
  return expired;
}

auto DispatchQueue::ExpectedWait(Instant now, LatencyClass latency_class) const
    -> Duration {
  const std::deque<Item>& items = latency_class == LatencyClass::kInteractive
                                      ? this->interactive
                                      : this->background;
  return items.empty() ? Duration{0} : now - items.front().arrived;
}

}  // namespace auburnloft
