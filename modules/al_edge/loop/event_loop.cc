#include "al_edge/loop/event_loop.h"

#include <libwebsockets.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace auburnloft {

namespace {

/** One day: libwebsockets must not abort long responses or slow engines, as the
   decision code enforces the deadlines. */
constexpr unsigned int kNoTimeoutSeconds = 86'400;

/** Maximum time for a caller to send a request header. */
constexpr unsigned int kHeaderTimeoutSeconds = 10;

/** Bytes per read, enough for several events of a stream. */
constexpr unsigned int kReadBufferBytes = 32'768;

/** Maximum size of a request header; libwebsockets rejects longer ones. */
constexpr unsigned short kMaxHeaderBytes = 32'768;

constexpr const char* kWatchProtocol = "watch";

std::atomic<lws_context*> signal_context{nullptr};
std::atomic<bool> interrupted{false};
std::atomic<bool> terminated{false};
std::atomic<bool> hung_up{false};

auto OnSignal(int signal_number) -> void {
  (signal_number == SIGTERM  ? terminated
   : signal_number == SIGHUP ? hung_up
                             : interrupted) = true;
  if (lws_context* const context = signal_context) {
    lws_cancel_service(context);
  }
}

auto OnWatchEvent(lws* wsi,
                  lws_callback_reasons reason,
                  void* /*user*/,
                  void* /*in*/,
                  size_t /*size*/) -> int {
  if (reason == LWS_CALLBACK_RAW_RX_FILE) {
    (*static_cast<EventLoop::Callback*>(lws_get_opaque_user_data(wsi)))();
  }
  return 0;
}

}  // namespace

struct EventLoop::Timer {
  // First member: libwebsockets passes its address, which is the Timer's.
  lws_sorted_usec_list_t sul{};
  EventLoop* loop = nullptr;
  Duration interval{0};
  Instant due{};
  bool repeats = false;
  Callback callback;
};

EventLoop::EventLoop()
    : wall_start(std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())),
      steady_start(std::chrono::steady_clock::now()),
      wake_up(std::make_unique<Timer>()) {
  this->wake_up->loop = this;
  lws_set_log_level(LLL_ERR, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.timeout_secs = kNoTimeoutSeconds;
  info.timeout_secs_ah_idle = kHeaderTimeoutSeconds;
  info.pt_serv_buf_size = kReadBufferBytes;
  info.max_http_header_data = kMaxHeaderBytes;
  this->lws = lws_create_context(&info);
  if (this->lws == nullptr) {
    throw std::runtime_error("the event loop cannot be created");
  }
  static const std::array<lws_protocols, 2> kProtocols = {{
      {kWatchProtocol, OnWatchEvent, 0, 0, 0, nullptr, 0},
      {nullptr, nullptr, 0, 0, 0, nullptr, 0},
  }};
  info.protocols = kProtocols.data();
  info.vhost_name = "watch";
  this->vhost = lws_create_vhost(this->lws, &info);
}

EventLoop::~EventLoop() {
  signal_context = nullptr;
  lws_sul_schedule(this->lws, 0, &this->wake_up->sul, nullptr,
                   LWS_SET_TIMER_USEC_CANCEL);
  lws_context_destroy(this->lws);
}

//==============================================================================
// Commands

auto EventLoop::Run() -> void {
  while (!interrupted && this->RunTurn()) {
  }
}

auto EventLoop::RunTurn() -> bool {
  if (lws_service(this->lws, 0) < 0) {
    return false;
  }
  this->RunPosted();
  this->RunSignalHandlers();
  return true;
}

auto EventLoop::RunUntil(const std::function<bool()>& is_done, Duration timeout)
    -> bool {
  const Instant end = this->Now() + timeout;
  bool timed_out = false;
  // A timer alone would not do: libwebsockets runs the timers that are due
  // before it waits for sockets.
  this->ScheduleAfter(timeout, [this] { this->Post([] {}); });
  while (!interrupted && !is_done() && !timed_out && this->RunTurn()) {
    timed_out = this->Now() >= end;
  }
  return is_done();
}

auto EventLoop::Stop() -> void {
  interrupted = true;
  lws_cancel_service(this->lws);
}

auto EventLoop::InstallSignalHandlers(Callback on_terminate) -> void {
  this->terminate_handler = std::move(on_terminate);
  signal_context = this->lws;
  std::signal(SIGINT, OnSignal);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

auto EventLoop::InstallHangupHandler(Callback on_hangup) -> void {
  this->hangup_handler = std::move(on_hangup);
  signal_context = this->lws;
  std::signal(SIGHUP, OnSignal);
}

auto EventLoop::RunSignalHandlers() -> void {
  if (terminated.exchange(false) && this->terminate_handler) {
    this->terminate_handler();
  }
  if (hung_up.exchange(false) && this->hangup_handler) {
    this->hangup_handler();
  }
}

auto EventLoop::RunPosted() -> void {
  for (const Callback& callback : std::exchange(this->posted, {})) {
    callback();
  }
}

auto EventLoop::StartTimer(Timer& timer) -> void {
  const auto fire = [](lws_sorted_usec_list_t* sul) {
    auto* const timer = reinterpret_cast<Timer*>(sul);
    EventLoop& loop = *timer->loop;
    loop.ServeSocketsReadyAt(timer->due);
    if (timer->repeats) {
      loop.StartTimer(*timer);
      timer->callback();
      return;
    }
    const Callback callback = std::move(timer->callback);
    loop.timers.remove_if(
        [timer](const auto& item) { return item.get() == timer; });
    callback();
  };
  timer.due = this->Now() + timer.interval;
  lws_sul_schedule(this->lws, 0, &timer.sul, fire, timer.interval.count());
}

auto EventLoop::ScheduleEvery(Duration interval, Callback callback) -> void {
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->interval = interval;
  timer->repeats = true;
  timer->callback = std::move(callback);
  this->StartTimer(*timer);
  this->timers.push_back(std::move(timer));
}

auto EventLoop::ScheduleAfter(Duration delay, Callback callback) -> void {
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->interval = delay;
  timer->callback = std::move(callback);
  this->StartTimer(*timer);
  this->timers.push_back(std::move(timer));
}

auto EventLoop::Post(Callback callback) -> void {
  this->posted.push_back(std::move(callback));
  if (this->posted.size() == 1) {
    this->SkipNextWait();
  }
}

auto EventLoop::AddSockets(const void* owner, Callback serve_ready) -> void {
  this->sockets[owner] = std::move(serve_ready);
}

auto EventLoop::RemoveSockets(const void* owner) -> void {
  this->sockets.erase(owner);
}

auto EventLoop::ServeSocketsReadyAt(Instant due) -> void {
  if (this->sockets_served_at >= due) {
    return;
  }
  this->sockets_served_at = this->Now();
  for (const auto& [owner, serve_ready] : this->sockets) {
    serve_ready();
  }
}

auto EventLoop::RecordLateness(Duration lateness) -> void {
  this->max_lateness = std::max(this->max_lateness, lateness);
}

auto EventLoop::TakeMaxLateness() -> Duration {
  return std::exchange(this->max_lateness, Duration(0));
}

auto EventLoop::SkipNextWait() -> void {
  // A timer that is always due: libwebsockets then serves the sockets that are
  // ready, but does not wait for others. It runs timers before it would wait,
  // so that this one starts itself again.
  const auto fire = [](lws_sorted_usec_list_t* sul) {
    EventLoop& loop = *reinterpret_cast<Timer*>(sul)->loop;
    if (!loop.posted.empty()) {
      loop.SkipNextWait();
    }
  };
  lws_sul_schedule(this->lws, 0, &this->wake_up->sul, fire, 1);
}

auto EventLoop::WatchReadable(int descriptor, Callback on_readable) -> bool {
  Callback& watch =
      this->readable_callbacks.emplace_back(std::move(on_readable));
  lws_sock_file_fd_type file{};
  file.filefd = descriptor;
  struct lws* const wsi = lws_adopt_descriptor_vhost(
      this->vhost, LWS_ADOPT_RAW_FILE_DESC, file, kWatchProtocol, nullptr);
  if (wsi == nullptr) {
    return false;
  }
  lws_set_opaque_user_data(wsi, &watch);
  this->watches[descriptor] = wsi;
  return true;
}

auto EventLoop::StopWatching(int descriptor) -> void {
  if (const auto watch = this->watches.extract(descriptor)) {
    lws_set_timeout(watch.mapped(), PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
  close(descriptor);
}

//==============================================================================
// Queries

auto EventLoop::Now() const -> Instant {
  const auto elapsed = std::chrono::steady_clock::now() - this->steady_start;
  return this->wall_start + std::chrono::duration_cast<Duration>(elapsed);
}

}  // namespace auburnloft
