#include "service/service_server.h"

#include "common/json_http.h"

namespace auburnloft::standins {

namespace {
using nlohmann::json;
}  // namespace

ServiceServer::ServiceServer(EventLoop& loop,
                             std::string address,
                             Duration work,
                             std::uint64_t seed)
    : loop(loop),
      work(work),
      random(seed),
      server(loop,
             {std::move(address), {"idempotency-key", "content-type"}},
             [this](const Exchange& exchange) { this->OnRequest(exchange); }) {}

auto ServiceServer::OnRequest(const Exchange& exchange) -> void {
  const std::string& path = exchange->request().path;
  if (path == "/faults") {
    const json body = ParseJsonBody(*exchange);
    this->faults.outage = body.value("outage", false);
    this->faults.leaving = body.value("leaving", false);
    this->faults.slow = std::chrono::milliseconds(body.value("slow_ms", 0));
    this->faults.lose_replies = body.value("lose_replies", 0.0);
    RespondJson(*exchange, 200, json::object());
  } else if (path == "/executions") {
    RespondJson(*exchange, 200, json(this->executions));
  } else if (this->faults.outage) {
    exchange->Abort();
  } else if (path == "/load") {
    RespondJson(*exchange, 200,
                {{"running", this->running},
                 {"waiting", 0},
                 {"patient_running", 0},
                 {"leaving", this->faults.leaving}});
  } else {
    ++this->running;
    this->loop.ScheduleAfter(this->work + this->faults.slow, [this, exchange] {
      --this->running;
      this->Execute(exchange);
    });
  }
}

auto ServiceServer::Execute(const Exchange& exchange) -> void {
  const std::string key =
      HeaderValue(exchange->request().headers, "idempotency-key");
  if (!key.empty()) {
    ++this->executions[key];
  }
  if (this->random.Bernoulli(this->faults.lose_replies)) {
    exchange->Abort();
    return;
  }
  RespondJson(*exchange, 200, {{"done", key}});
}

}  // namespace auburnloft::standins
