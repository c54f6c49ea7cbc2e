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

/** Runs a router with a stand-in of the platform's store and stand-in upstreams
   in this process, on one event loop and with real sockets on loopback. */
class GatewayFixture {
 public:
  /** The response that a caller received. */
  struct Response {
    int status = 0;  ///< 0 if no response arrived.
    std::string body;
    std::string retry_after;
    std::string seal;
    bool complete = false;
    bool not_sent = false;  ///< No byte of the request was sent.
    bool ended = false;     ///< Nothing more will arrive.
  };

  /** A caller's request; a generation if `tokens` is set. */
  struct Call {
    std::string id;
    std::string path = "/once/";
    std::string key = "blue-key";
    std::string tokens;  ///< `prompt,max output`; empty for a plain service.
    std::string prompt_parts = "aa:10,bb:10";  ///< Of a generation.
    std::string deadline_ms = "4000";
    std::string last_event_id;  ///< Of a stream that is taken up.
    std::string resumes;        ///< Id of the attempt that began it.
  };

  /** @param grace_period  of a planned stop.
      @param admission     whether the routers have admission control.
      @param hedge_share   second attempts per request. */
  explicit GatewayFixture(Duration grace_period = std::chrono::seconds(8),
                          bool admission = false,
                          double hedge_share = 0.0);
  ~GatewayFixture();

  GatewayFixture(const GatewayFixture&) = delete;
  auto operator=(const GatewayFixture&) -> GatewayFixture& = delete;

  /** Writes a configuration whose team `blue` has `prepaid` tokens. */
  auto PutConfig(std::uint64_t version, std::uint64_t prepaid) -> void;

  /** Sets the limit of request bodies in configurations written from now on. */
  auto SetMaxBodyBytes(std::size_t bytes) -> void {
    this->max_body_bytes = bytes;
  }

  /** Sets further limits in configurations written from now on. */
  auto SetMaxHeaderBytes(std::size_t bytes) -> void {
    this->max_header_bytes = bytes;
  }
  auto SetTimeouts(Duration header, Duration idle) -> void {
    this->header_timeout = header;
    this->idle_timeout = idle;
  }

  /** Sets within which a stream that is taken up has begun, for routers that
     are started from now on. */
  auto SetStreamLifetime(Duration lifetime) -> void {
    this->stream_lifetime = lifetime;
  }

  /** Writes a configuration and waits until it is in force. */
  auto Publish(std::uint64_t version, std::uint64_t prepaid) -> void;

  /** Starts another router. @param number  2 or more. */
  auto AddRouter(int number) -> void;

  /** Writes an upstream's record into the store.
      @param leaving  whether the record says that the upstream is leaving. */
  auto List(const standins::WireUpstream& upstream,
            const std::string& id,
            std::string_view service,
            bool leaving) -> void;

  /** Sends a request to router 1 and waits for the response. */
  auto Send(const Call& call) -> Response;

  /** Sends a request to another router's client address. */
  auto SendTo(const std::string& address, const Call& call) -> Response;

  /** Sends a request to router 1 on a new connection, without waiting.
      @return the response, which grows as it arrives; null if the router does
      not listen. */
  auto StartSending(const Call& call) -> std::shared_ptr<Response>;

  /** Opens a connection to a router; null if it does not listen. */
  auto Connect(int router = 1) -> std::shared_ptr<Http1ClientConnection>;

  /** As StartSending(), on a connection. @pre it is idle. */
  auto StartSendingOn(const std::shared_ptr<Http1ClientConnection>& connection,
                      const Call& call) -> std::shared_ptr<Response>;

  /** Sends raw bytes to a listener of router 1 and returns what it sends until
     the connection ends, or within `limit`. */
  auto SendRaw(const std::string& bytes,
               const std::string& listener = "clients",
               Duration limit = std::chrono::milliseconds(600)) -> std::string;

  /** Runs the event loop for `span`. */
  auto RunFor(Duration span) -> void;

  /** Sends a GET request to another listener of a router.
      @return status and body. */
  auto Get(const std::string& address, const std::string& target) -> Response;

  /** Returns the address of a router's listener: `clients`, `entry`,
     `readiness`, `peers` or `metrics`. */
  [[nodiscard]] static auto AddressOf(int router, const std::string& listener)
      -> std::string;

  EventLoop loop;
  SocketPoller poller{loop};
  standins::StoreServer store{poller};
  std::unique_ptr<standins::WireUpstream> engine_1;
  std::unique_ptr<standins::WireUpstream> engine_2;
  std::unique_ptr<standins::WireUpstream> service_1;
  std::unique_ptr<standins::WireUpstream> service_2;
  std::unique_ptr<gateway::GatewayDaemon> router;
  std::vector<std::unique_ptr<gateway::GatewayDaemon>> more_routers;
  int stopped_routers = 0;  ///< Those that ended their drain.

 private:
  Duration grace_period;
  bool admission = false;
  double hedge_share;
  Duration stream_lifetime = std::chrono::milliseconds(800);
  std::size_t max_body_bytes = 1'000;
  std::size_t max_header_bytes = 4'096;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  auto StartRouter(int number) -> std::unique_ptr<gateway::GatewayDaemon>;
  auto Exchange(const std::string& address, const Http1Request& request)
      -> Response;
  auto ExchangeOn(const std::shared_ptr<Http1ClientConnection>& connection,
                  const Http1Request& request) -> Response;
  auto StartExchange(const std::shared_ptr<Http1ClientConnection>& connection,
                     const Http1Request& request) -> std::shared_ptr<Response>;
  static auto MakeRequest(const Call& call) -> Http1Request;
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_GATEWAY_FIXTURE_H_
