#include "al_edge/loop/loop_timer.h"

#include <libwebsockets.h>

#include <utility>

#include "al_edge/loop/event_loop.h"

namespace auburnloft {

struct LoopTimer::Entry {
  // First member: libwebsockets passes its address, which is the Entry's.
  lws_sorted_usec_list_t sul{};
  EventLoop* loop = nullptr;
  bool running = false;
  Instant due{};
  std::function<void()> callback;
};

LoopTimer::LoopTimer(EventLoop& loop, std::function<void()> callback)
    : entry(std::make_unique<Entry>()) {
  this->entry->loop = &loop;
  this->entry->callback = std::move(callback);
}

LoopTimer::~LoopTimer() {
  this->Stop();
}

auto LoopTimer::Start(Duration delay) -> void {
  const auto fire = [](lws_sorted_usec_list_t* sul) {
    auto* const fired = reinterpret_cast<Entry*>(sul);
    fired->running = false;
    fired->loop->RecordLateness(fired->loop->Now() - fired->due);
    const std::function<void()> callback = fired->callback;
    callback();  // May destroy the entry.
  };
  this->entry->running = true;
  this->entry->due = this->entry->loop->Now() + delay;
  // libwebsockets treats a delay of 0 as already past and a negative one as a
  // cancellation.
  const auto micros = std::max<lws_usec_t>(1, delay.count());
  lws_sul_schedule(this->entry->loop->context(), 0, &this->entry->sul, fire,
                   micros);
}

auto LoopTimer::Stop() -> void {
  if (this->entry->running) {
    this->entry->running = false;
    lws_sul_schedule(this->entry->loop->context(), 0, &this->entry->sul,
                     nullptr, LWS_SET_TIMER_USEC_CANCEL);
  }
}

auto LoopTimer::running() const -> bool {
  return this->entry->running;
}

}  // namespace auburnloft
