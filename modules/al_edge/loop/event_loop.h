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

/** The event loop of a process, a wrapper of a libwebsockets context.

    All classes of al_edge run on the thread that calls Run(). Only Stop() may
   be called from a signal handler or another thread. The signal flags are
   global, so Stop() ends all loops of the process.

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

  /** Runs until `is_done` returns true, Stop() is called or `timeout` has
     passed.
      @return the final result of `is_done`. */
  auto RunUntil(const std::function<bool()>& is_done, Duration timeout) -> bool;

  /** Makes Run() return. Safe in a signal handler and on any thread. */
  auto Stop() -> void;

  /** Makes Run() return on SIGINT and calls `on_terminate` from the loop on
     SIGTERM. Ignores SIGPIPE. */
  auto HandleSignals(Callback on_terminate) -> void;

  /** Calls `on_hangup` from the loop on SIGHUP, which otherwise terminates the
     process. */
  auto HandleHangup(Callback on_hangup) -> void;

  /** Calls `callback` every `interval` while the loop runs. */
  auto RunEvery(Duration interval, Callback callback) -> void;

  /** Calls `callback` once, after `delay`. */
  auto RunAfter(Duration delay, Callback callback) -> void;

  /** Calls `callback` once, after the current event, and wakes the loop. */
  auto Post(Callback callback) -> void;

  /** Calls `callback` once, before the loop next waits for events. Cheaper than
     Post(), but does not wake the loop: call it from within a callback. */
  auto Defer(Callback callback) -> void;

  /** Calls `on_readable` whenever `descriptor` is readable. The loop does not
     close it.
      @return false if the loop cannot watch it. */
  auto WatchReadable(int descriptor, Callback on_readable) -> bool;

  //============================================================================
  // Queries

  /** The current time: the wall clock at the loop's construction plus the time
     elapsed on the steady clock. */
  [[nodiscard]] auto Now() const -> Instant;

  /** The libwebsockets context and the virtual host of clients, for the other
     classes of this module. */
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
