#ifndef TESTS_HTTP_HTTP_FIXTURE_H_
#define TESTS_HTTP_HTTP_FIXTURE_H_

#include <memory>
#include <string>

#include "al_edge/loop/event_loop.h"
#include "al_http1/http_client.h"
#include "al_net/socket_poller.h"
#include "engine/engine_server.h"
#include "platform/platform_server.h"
#include "router/router_daemon.h"

namespace auburnloft::testing {

/** Runs a router with a stand-in platform and a stand-in engine in this
   process, on one event loop and with real sockets on loopback. All tests share
   one instance. Another engine, of the model `raw`, is a RawUpstream `own`
   where a test starts it. */
class HttpFixture {
 public:
  static auto Get() -> HttpFixture&;

  HttpFixture(const HttpFixture&) = delete;
  auto operator=(const HttpFixture&) -> HttpFixture& = delete;

  /** Sends raw bytes on a new connection and returns what the router sends
     until the connection closes, `until` was received, or `limit` has passed.
   */
  auto Exchange(const std::string& bytes,
                const std::string& until,
                Duration limit = std::chrono::seconds(20)) -> std::string;

  /** Sends raw bytes, waits up to 2 s for `until`, closes the connection, and
     runs the event loop for 300 ms more. */
  auto SendAndDisconnect(const std::string& bytes, const std::string& until)
      -> void;

  /** Returns the bytes of a chat request. @param key  the team's API key. */
  [[nodiscard]] static auto MakeChatRequest(const std::string& key,
                                            const std::string& extra_headers,
                                            const std::string& body)
      -> std::string;

  /** Returns a number of the router's state dump, or -1 if it does not exist.
      @param pointer  JSON pointer. */
  auto ReadState(const std::string& pointer) -> std::int64_t;

  auto RunFor(Duration span) -> void {
    this->loop.RunUntil([] { return false; }, span);
  }

  [[nodiscard]] auto socket_poller() -> SocketPoller& { return this->poller; }

 private:
  HttpFixture();
  auto Append(const std::string& stream, const std::string& bytes) -> void;

  EventLoop loop;
  SocketPoller poller{this->loop};
  HttpClient client;
  std::unique_ptr<standins::PlatformServer> platform;
  std::unique_ptr<standins::EngineServer> engine;
  std::unique_ptr<RouterDaemon> router;
};

}  // namespace auburnloft::testing

#endif  // TESTS_HTTP_HTTP_FIXTURE_H_
