#include "al_edge/loop/loop_timer.h"

#include <libwebsockets.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "al_edge/loop/event_loop.h"

namespace auburnloft {

struct LoopTimer::Entry {
  // First member: libwebsockets passes its address, which is the Entry's.
  lws_sorted_usec_list_t sul{};
  EventLoop* loop = nullptr;
  bool running = false;
  std::uint64_t starts = 0;
  Instant due{};
  std::function<void()> callback;
  std::weak_ptr<Entry> self;

  /** Calls the callback, unless what has arrived before stops the timer. */
  auto Fire() -> void {
    const std::shared_ptr<Entry> kept = this->self.lock();
    const std::uint64_t start = this->starts;
    this->loop->RecordLateness(this->loop->Now() - this->due);
    this->loop->ServeSocketsReadyAt(this->due);
    if (!this->running || this->starts != start) {
      return;
    }
    this->running = false;
    const std::function<void()> call = this->callback;
    call();  // May destroy the timer.
  }
};

LoopTimer::LoopTimer(EventLoop& loop, std::function<void()> callback)
    : entry(std::make_shared<Entry>()) {
  this->entry->loop = &loop;
  this->entry->callback = std::move(callback);
  this->entry->self = this->entry;
}

LoopTimer::~LoopTimer() {
  this->Stop();
}

auto LoopTimer::Start(Duration delay) -> void {
  const auto fire = [](lws_sorted_usec_list_t* sul) {
    reinterpret_cast<Entry*>(sul)->Fire();
  };
  this->entry->running = true;
  ++this->entry->starts;
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
