#ifndef SUPPORT_GATEWAY_FIXTURE_H_
#define SUPPORT_GATEWAY_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_edge/loop/event_loop.h"
#include "al_http1/http1_client_connection.h"
#include "al_net/socket_poller.h"
#include "gateway/gateway_daemon.h"
#include "store/store_server.h"
#include "wire/wire_upstream.h"

namespace auburnloft::testing {

/** A router with the platform's store and upstreams, in this process and on one
   loop, with real sockets on loopback. */
class GatewayFixture {
 public:
  /** What a caller got. */
  struct Response {
    int status = 0;  ///< 0: none came.
    std::string body;
    std::string retry_after;
    std::string seal;
    bool complete = false;
  };

  /** A request of a caller; a generation where it names tokens. */
  struct Call {
    std::string id;
    std::string path = "/once/";
    std::string key = "blue-key";
    std::string tokens;  ///< `prompt,most output`; empty for plain work.
    std::string deadline_ms = "4000";
  };

  GatewayFixture();
  ~GatewayFixture();

  GatewayFixture(const GatewayFixture&) = delete;
  auto operator=(const GatewayFixture&) -> GatewayFixture& = delete;

  /** Publishes a configuration whose team `blue` has `prepaid` tokens. */
  auto Publish(std::uint64_t version, std::uint64_t prepaid) -> void;

  /** Starts one more router. @param number  2 or more. */
  auto AddRouter(int number) -> void;

  /** Lists an upstream, or takes it off. */
  auto List(const standins::WireUpstream& upstream,
            const std::string& id,
            std::string_view service,
            bool leaving) -> void;

  /** Sends a request and waits for its end. */
  auto Send(const Call& call) -> Response;

  /** Sends a request to the door for callers of another router. */
  auto SendTo(const std::string& address, const Call& call) -> Response;

  /** Sends bytes as they are, and returns what comes until the connection ends
     or nothing came for a while. */
  auto SendRaw(const std::string& bytes) -> std::string;

  /** Lets time pass on the loop. */
  auto RunFor(Duration span) -> void;

  /** Asks another door of the router. @return status and body. */
  auto Get(const std::string& address, const std::string& target) -> Response;

  EventLoop loop;
  SocketPoller poller{loop};
  standins::StoreServer store{poller};
  std::unique_ptr<standins::WireUpstream> engine_1;
  std::unique_ptr<standins::WireUpstream> engine_2;
  std::unique_ptr<standins::WireUpstream> service_1;
  std::unique_ptr<standins::WireUpstream> service_2;
  std::unique_ptr<gateway::GatewayDaemon> router;
  std::vector<std::unique_ptr<gateway::GatewayDaemon>> more_routers;

 private:
  auto StartRouter(int number) -> std::unique_ptr<gateway::GatewayDaemon>;
  auto Exchange(const std::string& address, const Http1Request& request)
      -> Response;
  auto ExchangeOn(const std::shared_ptr<Http1ClientConnection>& connection,
                  const Http1Request& request) -> Response;
  static auto MakeRequest(const Call& call) -> Http1Request;
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_GATEWAY_FIXTURE_H_
