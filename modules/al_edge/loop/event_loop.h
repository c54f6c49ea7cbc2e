#ifndef AL_EDGE_LOOP_EVENT_LOOP_H_
#define AL_EDGE_LOOP_EVENT_LOOP_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "al_core/time/instant.h"

struct lws;
struct lws_context;
struct lws_vhost;

namespace auburnloft {

/** The event loop of a process, a wrapper of a libwebsockets context.

    All classes of al_edge run on the thread that calls Run(). Only Stop() may
   be called from a signal handler or another thread. Stop() sets a
   process-wide flag, so it ends all loops of the process.

    @see HttpServer, PeerSocket
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

  /** Makes Run() and RunUntil() return. Safe in a signal handler and on any
   * thread. */
  auto Stop() -> void;

  /** Installs signal handlers and returns: SIGINT makes Run() and RunUntil()
     return, SIGTERM calls `on_terminate` from the loop, SIGPIPE is ignored. */
  auto InstallSignalHandlers(Callback on_terminate) -> void;

  /** Installs a signal handler and returns: SIGHUP, which otherwise terminates
     the process, calls `on_hangup` from the loop. */
  auto InstallHangupHandler(Callback on_hangup) -> void;

  /** Starts a timer that calls `callback` every `interval` while the loop runs.
   Returns at once. */
  auto ScheduleEvery(Duration interval, Callback callback) -> void;

  /** Starts a timer that calls `callback` once, after `delay`. Returns at once.
   */
  auto ScheduleAfter(Duration delay, Callback callback) -> void;

  /** Queues `callback`, to be called once in the next turn of the loop: the
     timers that are due and all sockets that are ready get their turn first, so
     that work which posts its own continuation delays nothing else for long.
     The loop does not wait before it. */
  auto Post(Callback callback) -> void;

  /** Adds sockets that the loop does not watch one by one. `serve_ready` serves
     those that are ready, without waiting; it is called before a timer that is
     due. Hence no limit of time strikes what arrived within it, however long a
     callback has held the loop.
      @param owner  for RemoveSockets(). */
  auto AddSockets(const void* owner, Callback serve_ready) -> void;
  auto RemoveSockets(const void* owner) -> void;

  /** Serves the sockets of AddSockets() that were ready at `due`, unless that
     has been done. For timers. */
  auto ServeSocketsReadyAt(Instant due) -> void;

  /** Calls `on_readable` whenever `descriptor` is readable. The loop does not
     close it.
      @return false if the loop cannot watch it. */
  auto WatchReadable(int descriptor, Callback on_readable) -> bool;

  /** Ends the watch of a descriptor, and closes it: its number may be given out
     again while libwebsockets still knows it.
      @pre WatchReadable() returned true for it, and no callback of the loop is
      running. */
  auto StopWatching(int descriptor) -> void;

  /** Records by how much a timer fired late. */
  auto RecordLateness(Duration lateness) -> void;

  /** Returns the most by which a timer fired late since the last call: how long
     a callback held the loop. */
  [[nodiscard]] auto TakeMaxLateness() -> Duration;

  //============================================================================
  // Queries

  /** The current time: the wall clock at the loop's construction plus the time
     elapsed on the steady clock. */
  [[nodiscard]] auto Now() const -> Instant;

  /** The libwebsockets context, for the other classes of this module. */
  [[nodiscard]] auto context() const -> lws_context* { return this->lws; }

 private:
  struct Timer;

  /** Runs what was queued before the call, not what that queues in turn. */
  auto RunPosted() -> void;
  /** Makes the next turn serve sockets without waiting for them. */
  auto SkipNextWait() -> void;
  /** Runs one turn: timers, sockets, posted callbacks and signal handlers.
      @return false if the loop has failed. */
  auto RunTurn() -> bool;
  auto RunSignalHandlers() -> void;
  auto StartTimer(Timer& timer) -> void;

  lws_context* lws = nullptr;
  lws_vhost* vhost = nullptr;
  Instant wall_start;
  std::chrono::steady_clock::time_point steady_start;
  std::list<std::unique_ptr<Timer>> timers;
  std::list<Callback> readable_callbacks;
  std::map<int, struct ::lws*> watches;     ///< By descriptor.
  std::map<const void*, Callback> sockets;  ///< By owner.
  Instant sockets_served_at{};
  std::vector<Callback> posted;
  std::unique_ptr<Timer> wake_up;  ///< Runs while callbacks are posted.
  Duration max_lateness{0};
  Callback terminate_handler;
  Callback hangup_handler;
};

}  // namespace auburnloft

#endif  // AL_EDGE_LOOP_EVENT_LOOP_H_
