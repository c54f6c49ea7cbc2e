#ifndef AL_EDGE_LOOP_EVENT_LOOP_H_
#define AL_EDGE_LOOP_EVENT_LOOP_H_

#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "al_core/time/instant.h"

struct lws_context;
struct lws_vhost;

namespace auburnloft {

/** The one loop of a process. Everything of al_edge runs on the thread that
   calls Run().

    Wraps a libwebsockets context. Stop() alone may be called from a signal
   handler.

    @see HttpServer, HttpClient, PeerSocket
*/
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  auto operator=(const EventLoop&) -> EventLoop& = delete;

  //============================================================================
  // Commands

  /** Runs until Stop() is called. */
  auto Run() -> void;

  /** Runs until `is_done` returns true, Stop() is called or `limit` has passed.
      @return what `is_done` says at the end. */
  auto RunUntil(const std::function<bool()>& is_done, Duration limit) -> bool;

  /** Makes Run() return. Safe in a signal handler and on any thread. */
  auto Stop() -> void;

  /** Makes Run() return on SIGINT, and calls `on_terminate` on the loop after a
   * SIGTERM. */
  auto HandleSignals(Callback on_terminate) -> void;

  /** Calls `on_hangup` on the loop after a SIGHUP, which else ends a process.
   */
  auto HandleHangup(Callback on_hangup) -> void;

  /** Calls `callback` every `interval` until the loop ends. */
  auto RunEvery(Duration interval, Callback callback) -> void;

  /** Calls `callback` once, after `delay`. */
  auto RunAfter(Duration delay, Callback callback) -> void;

  /** Calls `callback` once, after the current event. */
  auto Post(Callback callback) -> void;

  /** Runs `callback` before the loop waits again. Cheaper than Post(), and for
     calls on the loop's own thread only. */
  auto Defer(Callback callback) -> void;

  /** Calls `on_readable` whenever the descriptor can be read. It is not closed
     by the loop.
      @return false where the loop cannot watch it. */
  auto WatchReadable(int descriptor, Callback on_readable) -> bool;

  //============================================================================
  // Queries

  /** The present time, from a steady clock that was set to the wall clock at
   * the start. */
  [[nodiscard]] auto Now() const -> Instant;

  /** For the parts of this module. */
  [[nodiscard]] auto context() const -> lws_context* { return this->lws; }
  [[nodiscard]] auto client_vhost() const -> lws_vhost* { return this->vhost; }

 private:
  struct Timer;

  auto RunPosted() -> void;
  auto RunSignalHandlers() -> void;
  auto StartTimer(Timer& timer) -> void;

  lws_context* lws = nullptr;
  lws_vhost* vhost = nullptr;
  Instant wall_start;
  std::chrono::steady_clock::time_point steady_start;
  std::list<std::unique_ptr<Timer>> timers;
  std::list<Callback> watches;
  std::vector<Callback> posted;
  Callback terminate;
  Callback hangup;
};

}  // namespace auburnloft

#endif  // AL_EDGE_LOOP_EVENT_LOOP_H_
