#include "engine/engine_server.h"

#include <algorithm>

#include "al_traffic/upstreams/prefix_cache_estimate.h"
#include "common/json_http.h"

namespace auburnloft::standins {

namespace {

using nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(1);
constexpr std::string_view kStreams = "/v1/streams/";
constexpr std::size_t kCharactersPerBlock = 256;
constexpr std::size_t kCharactersPerToken = 4;

/** One in this many cache events is omitted, to simulate lost events. */
constexpr std::uint64_t kGapInterval = 10;

/** Requests below this priority are counted as `patient_running` in the load
    report. */
constexpr int kMinInteractivePriority = 1;

constexpr std::size_t kMaxWaiting = 256;

auto PromptOf(const json& body) -> std::string {
  std::string prompt;
  for (const json& message : body.value("messages", json::array())) {
    const json& content = message["content"];
    prompt += content.is_string() ? content.get<std::string>() : content.dump();
    prompt += '\n';
  }
  return prompt;
}

}  // namespace

EngineServer::EngineServer(EventLoop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      server(loop,
             {this->options.address, {"content-type"}},
             [this](const Exchange& exchange) { this->OnRequest(exchange); }),
      cache(this->options.cache_blocks),
      random(this->options.seed) {}

auto EngineServer::Listen() -> bool {
  this->loop.ScheduleEvery(kTickInterval, [this] { this->Tick(); });
  return this->server.Listen();
}

auto EngineServer::OnRequest(const Exchange& exchange) -> void {
  const HttpRequest& request = exchange->request();
  if (request.path == "/faults") {
    this->SetFaults(exchange);
  } else if (this->faults.outage) {
    exchange->Abort();
  } else if (request.path == "/v1/chat/completions") {
    this->StartChat(exchange);
  } else if (request.path.starts_with(kStreams)) {
    this->HandleStream(exchange);
  } else if (request.path == "/load") {
    this->SendLoad(exchange);
  } else if (request.path == "/cache-events") {
    this->SendCacheEvents(exchange);
  } else if (request.path == "/orders") {
    this->HandleOrder(exchange);
  } else {
    RespondJson(*exchange, 404, {{"error", "no such path"}});
  }
}

auto EngineServer::StartChat(const Exchange& exchange) -> void {
  const json body = ParseJsonBody(*exchange);
  if (this->faults.refuse || this->waiting.size() >= kMaxWaiting) {
    RespondJson(*exchange, 503, {{"error", "busy"}});
    return;
  }
  const std::string prompt = PromptOf(body);
  const auto max_tokens =
      static_cast<std::size_t>(body.value("max_tokens", 16));
  Waiting item;
  item.prompt_tokens = ResponseScript::PromptTokens(prompt);
  item.generation = std::make_unique<Generation>(
      "s" + std::to_string(this->next_stream++),
      ResponseScript(prompt, max_tokens), item.prompt_tokens,
      body.value("priority", 0));
  item.generation->SetReader(exchange, 0);
  item.prefix = PrefixDigestsOf(prompt);
  item.arrived = this->loop.Now();
  if (this->faults.cut_streams > 0) {
    --this->faults.cut_streams;
    item.generation->CutAfter(this->faults.cut_after);
  }
  this->waiting.push_back(std::move(item));
  this->Admit(this->loop.Now());
}

auto EngineServer::Admit(Instant now) -> void {
  while (this->running.size() < this->options.slots && !this->waiting.empty()) {
    const auto first = std::ranges::max_element(
        this->waiting, [](const Waiting& left, const Waiting& right) {
          const int left_priority = left.generation->priority();
          const int right_priority = right.generation->priority();
          return left_priority != right_priority
                     ? left_priority < right_priority
                     : left.arrived > right.arrived;
        });
    const std::size_t cached_tokens = this->cache.Use(first->prefix) *
                                      kCharactersPerBlock / kCharactersPerToken;
    const std::size_t tokens =
        first->prompt_tokens - std::min(first->prompt_tokens, cached_tokens);
    const double slow = this->faults.slow_factor;
    const auto prefill = Duration(static_cast<std::int64_t>(
        slow * static_cast<double>(tokens) *
        static_cast<double>(this->options.prefill_per_token.count())));
    const auto interval = Duration(static_cast<std::int64_t>(
        slow * static_cast<double>(this->options.piece_interval.count())));
    first->generation->Start(now + prefill, interval);
    this->running.push_back(std::move(first->generation));
    this->waiting.erase(first);
  }
}

auto EngineServer::Tick() -> void {
  const Instant now = this->loop.Now();
  if (this->faults.outage) {
    return;
  }
  for (const std::unique_ptr<Generation>& generation : this->running) {
    generation->Advance(now);
  }
  const std::size_t before = this->running.size();
  std::erase_if(this->running, [&](const auto& generation) {
    const bool abandoned =
        generation->reader_disconnected_at() != Instant{} &&
        generation->reader_disconnected_at() + this->options.resume_window <
            now;
    return generation->IsFinished() || abandoned;
  });
  this->served += before - this->running.size();
  std::erase_if(this->waiting, [](const Waiting& item) {
    return !item.generation->HasReader();
  });
  this->Admit(now);
  const auto low_priority = std::ranges::count_if(
      this->running,
      [](const auto& g) { return g->priority() < kMinInteractivePriority; });
  this->samples.push_back({now, this->running.size(), this->waiting.size(),
                           static_cast<std::size_t>(low_priority)});
  while (this->samples.size() > 1 &&
         this->samples[1].at + this->options.load_lag <= now) {
    this->samples.pop_front();
  }
}

auto EngineServer::HandleStream(const Exchange& exchange) -> void {
  const HttpRequest& request = exchange->request();
  const std::string name = request.path.substr(kStreams.size());
  const auto found = std::ranges::find_if(
      this->running, [&](const auto& item) { return item->name() == name; });
  if (found == this->running.end()) {
    RespondJson(*exchange, 404, {{"error", "no such stream"}});
    return;
  }
  if (request.method == "DELETE") {
    (*found)->Cancel();
    RespondJson(*exchange, 200, json::object());
    return;
  }
  (*found)->SetReader(exchange, QueryNumber(request.query, "after", 0));
}

auto EngineServer::HandleOrder(const Exchange& exchange) -> void {
  const json body = ParseJsonBody(*exchange);
  if (exchange->request().method == "POST") {
    const std::uint64_t number =
        body.value("fencing", static_cast<std::uint64_t>(0));
    if (this->options.checks_fencing && number < this->fencing) {
      RespondJson(
          *exchange, 409,
          {{"error", "old fencing number"}, {"fencing", this->fencing}});
      return;
    }
    this->fencing = std::max(this->fencing, number);
    ++this->accepted_orders;
    if (body.value("order", "") == "load_model") {
      this->models.insert(body.value("model", ""));
    } else if (body.value("order", "") == "set_role") {
      this->role = body.value("role", "both");
    }
  }
  RespondJson(*exchange, 200,
              {{"fencing", this->fencing},
               {"models", this->models},
               {"role", this->role},
               {"orders", this->accepted_orders}});
}

auto EngineServer::SendLoad(const Exchange& exchange) -> void {
  const LoadSample sample =
      this->samples.empty() ? LoadSample{} : this->samples.front();
  RespondJson(*exchange, 200,
              {{"running", sample.running},
               {"waiting", sample.waiting},
               {"patient_running", sample.low_priority_running},
               {"leaving", this->faults.leaving},
               {"served", this->served},
               {"prefix_hits", this->cache.hits()},
               {"prefix_lookups", this->cache.lookups()}});
}

auto EngineServer::SendCacheEvents(const Exchange& exchange) -> void {
  const std::uint64_t after =
      QueryNumber(exchange->request().query, "after", 0);
  json events = json::array();
  std::uint64_t next = after;
  for (const PrefixCache::Event& event : this->cache.EventsAfter(after)) {
    next = event.sequence;
    if (event.sequence % kGapInterval != 0) {
      events.push_back(
          {{"stored", event.stored}, {"digest", std::to_string(event.digest)}});
    }
  }
  RespondJson(*exchange, 200, {{"next", next}, {"events", std::move(events)}});
}

auto EngineServer::SetFaults(const Exchange& exchange) -> void {
  const json body = ParseJsonBody(*exchange);
  this->faults.outage = body.value("outage", false);
  this->faults.refuse = body.value("refuse", false);
  this->faults.leaving = body.value("leaving", false);
  this->faults.slow_factor = body.value("slow_factor", 1.0);
  this->faults.cut_streams = body.value("cut_streams", 0);
  this->faults.cut_after =
      body.value("cut_after", static_cast<std::uint64_t>(3));
  RespondJson(*exchange, 200, json::object());
}

}  // namespace auburnloft::standins
