#include "support/drain_play.h"

#include <algorithm>

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** More than the callers' deadlines after the end of the router. */
constexpr Duration kMaxWait = std::chrono::seconds(5);

auto IsExecuted(const standins::WireUpstream& upstream, const std::string& id)
    -> bool {
  const auto& executed = upstream.executions();
  return std::find(executed.begin(), executed.end(), id) != executed.end();
}

}  // namespace

DrainPlay::DrainPlay(const Settings& settings)
    : settings(settings), fixture(settings.grace_period) {
  constexpr std::uint64_t kTokensPerEvent = 5;
  for (auto* const engine :
       {this->fixture.engine_1.get(), this->fixture.engine_2.get()}) {
    engine->SetPace(milliseconds(20), settings.event_interval);
    engine->SetTokensPerEvent(kTokensPerEvent);
  }
  this->fixture.service_1->SetPlainDelay(settings.plain_work);
  this->fixture.service_2->SetPlainDelay(settings.plain_work);
  this->fixture.Publish(1, 100'000'000);
}

auto DrainPlay::Run() -> std::vector<Result> {
  this->WarmUp();
  this->OpenKeptConnections();
  const Instant start = this->fixture.loop.Now();
  this->fixture.router->Drain();
  for (Duration moment = this->settings.interval;
       moment < this->settings.grace_period;
       moment += this->settings.interval) {
    this->fixture.RunFor(start + moment - this->fixture.loop.Now());
    if (this->fixture.stopped_routers > 0) {
      this->fixture.router.reset();  // As the process exits.
    }
    this->SendAll(moment);
  }
  this->fixture.router.reset();
  this->fixture.loop.RunUntil(
      [this] {
        return std::all_of(this->requests.begin(), this->requests.end(),
                           [](const Request& request) {
                             return !request.response ||
                                    request.response->ended;
                           });
      },
      kMaxWait);
  std::vector<Result> results;
  for (Request& request : this->requests) {
    request.result.outcome = this->OutcomeOf(request);
    results.push_back(request.result);
  }
  return results;
}

auto DrainPlay::WarmUp() -> void {
  for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
    if (!kKinds[kind].tokens.empty()) {
      static_cast<void>(this->fixture.Send(this->MakeCall(kind)));
    }
  }
}

auto DrainPlay::OpenKeptConnections() -> void {
  const auto moments = static_cast<std::size_t>(this->settings.grace_period /
                                                this->settings.interval);
  for (std::size_t i = 0; i < moments * kKinds.size(); ++i) {
    if (const Connection connection = this->fixture.Connect()) {
      GatewayFixture::Call call = this->MakeCall(0);
      call.path = "/none/";  // Answered at once.
      static_cast<void>(this->fixture.StartSendingOn(connection, call));
      this->kept.push_back(connection);
    }
  }
  this->fixture.RunFor(milliseconds(300));
}

auto DrainPlay::SendAll(Duration moment) -> void {
  for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
    this->SendOn(this->fixture.Connect(), {kind, false, moment});
    if (!this->kept.empty()) {
      const Connection connection = this->kept.back();
      this->kept.pop_back();
      this->SendOn(connection->is_reusable() ? connection : nullptr,
                   {kind, true, moment});
    }
  }
}

auto DrainPlay::SendOn(const Connection& connection, const Result& result)
    -> void {
  const GatewayFixture::Call call = this->MakeCall(result.kind);
  this->requests.push_back(
      {result, call.id,
       connection ? this->fixture.StartSendingOn(connection, call) : nullptr});
}

auto DrainPlay::MakeCall(std::size_t kind) -> GatewayFixture::Call {
  GatewayFixture::Call call;
  call.id = "c" + std::to_string(++this->calls);
  call.path = kKinds[kind].path;
  call.tokens = kKinds[kind].tokens;
  return call;
}

auto DrainPlay::OutcomeOf(const Request& request) const -> Outcome {
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  if (request.response && request.response->complete) {
    return request.response->status == kOk            ? Outcome::kAnswered
           : request.response->status == kUnavailable ? Outcome::kRefused
                                                      : Outcome::kFailed;
  }
  const auto upstreams = {
      this->fixture.engine_1.get(), this->fixture.engine_2.get(),
      this->fixture.service_1.get(), this->fixture.service_2.get()};
  const bool is_executed = std::any_of(
      upstreams.begin(), upstreams.end(),
      [&](const auto* item) { return IsExecuted(*item, request.id); });
  return is_executed ? Outcome::kCut : Outcome::kNotTaken;
}

}  // namespace auburnloft::testing
