#ifndef SUPPORT_DRAIN_PLAY_H_
#define SUPPORT_DRAIN_PLAY_H_

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "support/gateway_fixture.h"

namespace auburnloft::testing {

/** Plays a planned stop in calm: callers send requests of each kind at each
    moment of the grace period, on new connections and on ones that they kept.
 */
class DrainPlay {
 public:
  /** What became of a request. */
  enum class Outcome {
    kAnswered,  ///< Got the whole response of the upstream.
    kRefused,   ///< Got status 503: not executed.
    kFailed,    ///< Got another whole response of the router.
    kNotTaken,  ///< The connection closed before the request was executed.
    kCut,       ///< Was executed, and got no whole response.
  };

  struct Kind {
    std::string_view name;
    std::string_view path;
    std::string_view tokens;  ///< Of a generation; empty for a plain service.
  };
  static constexpr std::array<Kind, 4> kKinds = {
      {{"safe", "/read/", ""},
       {"once", "/once/", ""},
       {"short stream", "/ask/", "100,25"},
       {"long stream", "/draft/", "100,300"}}};

  struct Result {
    std::size_t kind = 0;  ///< Index into kKinds.
    bool is_kept = false;  ///< On a connection that had carried a request.
    Duration moment{0};    ///< Since the signal.
    Outcome outcome = Outcome::kCut;
  };

  struct Settings {
    Duration grace_period = std::chrono::seconds(8);
    Duration interval = std::chrono::milliseconds(100);
    /** Of plain requests; their routes allow 2 s, and repeat an idempotent one
       after 0.45 s. */
    Duration plain_work = std::chrono::milliseconds(1'400);
    /** Each event has 5 tokens. */
    Duration event_interval = std::chrono::milliseconds(50);
  };

  explicit DrainPlay(const Settings& settings);

  DrainPlay(const DrainPlay&) = delete;
  auto operator=(const DrainPlay&) -> DrainPlay& = delete;

  /** Plays until the router has ended and the callers know it. */
  [[nodiscard]] auto Run() -> std::vector<Result>;

 private:
  using Connection = std::shared_ptr<Http1ClientConnection>;

  struct Request {
    Result result;
    std::string id;
    std::shared_ptr<GatewayFixture::Response> response;
  };

  /** Sends a stream of each kind, so that the router knows the engines' pace.
   */
  auto WarmUp() -> void;
  auto OpenKeptConnections() -> void;
  /** Sends requests of all kinds, on connections of both sorts. */
  auto SendAll(Duration moment) -> void;
  auto SendOn(const Connection& connection, const Result& result) -> void;
  [[nodiscard]] auto MakeCall(std::size_t kind) -> GatewayFixture::Call;
  [[nodiscard]] auto OutcomeOf(const Request& request) const -> Outcome;

  Settings settings;
  GatewayFixture fixture;
  int calls = 0;
  std::vector<Connection> kept;  ///< Unused ones.
  std::vector<Request> requests;
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_DRAIN_PLAY_H_
