#include "support/fake_upstreams.h"

#include "al_core/text/digest.h"

namespace auburnloft::testing {

auto FakeUpstreams::Send(RequestHandle handle,
                         int attempt,
                         const IncomingRequest& request,
                         const std::function<void()>& on_executed,
                         const OnCompleted& on_completed,
                         const OnFailed& on_failed) -> void {
  const Duration network_delay =
      std::chrono::microseconds(300 + this->random.UniformBelow(2000));
  UpstreamFailed failure;
  failure.handle = handle;
  failure.attempt = attempt;
  if (this->random.Bernoulli(this->faults.connection_refusal_probability)) {
    failure.sent = false;
    failure.text = "connection refused";
    this->queue.After(network_delay,
                      [on_failed, failure] { on_failed(failure); });
    return;
  }
  const bool is_response_lost =
      this->random.Bernoulli(this->faults.response_loss_probability);
  const Duration execution_time =
      this->mean_execution_time / 2 +
      Duration(static_cast<std::int64_t>(this->random.UniformBelow(
          static_cast<std::uint64_t>(this->mean_execution_time.count()) + 1)));
  // The cost depends only on the key, so that each execution of a request
  // costs the same.
  const auto half = static_cast<std::uint64_t>(request.upper / 2 + 1);
  const auto spent =
      static_cast<Tokens>(StableHash(request.key.value()) % half) +
      request.upper - static_cast<Tokens>(half) + 1;
  const std::string key = request.team.value() + "/" + request.key.value();
  this->queue.After(network_delay, [=, this] {
    ++this->execution_counts[key];
    on_executed();
    this->queue.After(execution_time, [=] {
      if (is_response_lost) {
        on_failed(failure);
        return;
      }
      UpstreamCompleted response;
      response.handle = handle;
      response.attempt = attempt;
      response.spent = spent;
      response.content_type = "application/json";
      response.body = R"({"done":")" + request.key.value() + R"("})";
      on_completed(response);
    });
  });
}

}  // namespace auburnloft::testing
