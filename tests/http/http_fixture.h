#ifndef TESTS_HTTP_HTTP_FIXTURE_H_
#define TESTS_HTTP_HTTP_FIXTURE_H_

#include <memory>
#include <string>

#include "al_edge/http/http_client.h"
#include "al_edge/loop/event_loop.h"
#include "engine/engine_server.h"
#include "platform/platform_server.h"
#include "router/router_daemon.h"

namespace auburnloft::testing {

/** A router with a platform and an engine, all in this process and on one loop,
   with real sockets on loopback. Built once for all tests. */
class HttpFixture {
 public:
  static auto Get() -> HttpFixture&;

  HttpFixture(const HttpFixture&) = delete;
  auto operator=(const HttpFixture&) -> HttpFixture& = delete;

  /** Sends bytes as they are on a new connection and returns what comes back
     until the connection closes, `until` is seen, or a generous limit of time
     has passed. */
  auto Exchange(const std::string& bytes,
                const std::string& until,
                Duration limit = std::chrono::seconds(20)) -> std::string;

  /** Sends bytes, waits for `until`, and closes the connection. */
  auto SendAndDisconnect(const std::string& bytes, const std::string& until)
      -> void;

  /** A chat request of a team as bytes. */
  [[nodiscard]] static auto MakeChatRequest(const std::string& key,
                                            const std::string& extra_headers,
                                            const std::string& body)
      -> std::string;

  /** A number of the router's state dump, by its JSON pointer. */
  auto ReadState(const std::string& pointer) -> std::int64_t;

  auto RunFor(Duration span) -> void {
    this->loop.RunUntil([] { return false; }, span);
  }

 private:
  HttpFixture();
  auto Append(const std::string& stream, const std::string& bytes) -> void;

  EventLoop loop;
  HttpClient client;
  std::unique_ptr<standins::PlatformServer> platform;
  std::unique_ptr<standins::EngineServer> engine;
  std::unique_ptr<RouterDaemon> router;
};

}  // namespace auburnloft::testing

#endif  // TESTS_HTTP_HTTP_FIXTURE_H_
