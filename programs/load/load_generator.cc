#include "load/load_generator.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace auburnloft::load {

namespace {

/** Picks a random item with a probability proportional to its weight. */
template <typename Items>
auto PickWeighted(const Items& items, RandomSource& random) -> const
    typename Items::value_type& {
  double total = 0.0;
  for (const auto& item : items) {
    total += item.weight;
  }
  double point = random.UniformDouble() * total;
  for (const auto& item : items) {
    point -= item.weight;
    if (point < 0.0) {
      return item;
    }
  }
  return items.back();
}

}  // namespace

LoadGenerator::LoadGenerator(Workload workload, Options options)
    : workload(std::move(workload)),
      options(std::move(options)),
      http(loop),
      random(this->options.seed),
      entries(loop,
              http,
              random,
              this->options.bootstrap,
              this->options.uses_entry_lists) {}

auto LoadGenerator::Run() -> void {
  const Instant start = this->loop.Now();
  this->next_at = start;
  this->end_at = start + this->options.duration;
  this->ScheduleNext();
  this->loop.RunUntil(
      [this] {
        return this->all_sent && this->finished.size() == this->sent_count;
      },
      this->options.duration + this->options.grace);
  this->elapsed_seconds = ToSeconds(this->loop.Now() - start);
}

auto LoadGenerator::ScheduleNext() -> void {
  const double gap =
      -std::log(1.0 - this->random.UniformDouble()) / this->options.rate;
  this->next_at +=
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
  if (this->next_at >= this->end_at) {
    this->all_sent = true;
    return;
  }
  const Duration wait = std::max(Duration{0}, this->next_at - this->loop.Now());
  this->loop.ScheduleAfter(wait, [this] {
    this->SendRequest();
    this->ScheduleNext();
  });
}

auto LoadGenerator::MakeRequestKey() -> std::string {
  // UUID version 7 of RFC 9562, section 5.7: 48 bits of time in milliseconds,
  // the version and random bits.
  const auto millis =
      static_cast<std::uint64_t>(ToUnixMillis(this->loop.Now()));
  constexpr std::uint64_t kLow16 = 0xffff;
  constexpr std::uint64_t kLow12 = 0xfff;
  constexpr std::uint64_t kLow48 = 0xffff'ffff'ffff;
  std::array<char, 96> text{};
  std::snprintf(
      text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
      static_cast<unsigned long long>(millis >> 16U),
      static_cast<unsigned long long>(millis & kLow16),
      static_cast<unsigned long long>(this->random.UniformBelow(kLow12)),
      static_cast<unsigned long long>(this->random.UniformBelow(kLow12)),
      static_cast<unsigned long long>(this->random.UniformBelow(kLow48)));
  return text.data();
}

auto LoadGenerator::SendRequest() -> void {
  const TeamLoad& team = PickWeighted(this->workload.teams, this->random);
  Caller::Request request;
  request.team = &team;
  request.kind = &PickWeighted(team.kinds, this->random);
  request.model = this->workload.model;
  request.key = this->MakeRequestKey();
  request.unique_text = request.key;
  ++this->sent_count;
  auto caller = std::make_shared<Caller>(
      this->loop, this->http, this->entries, std::move(request),
      [this](const RequestResult& result) { this->OnResult(result); });
  this->spending[team.team].reserved += caller->MaxTokens();
  caller->Start();
}

auto LoadGenerator::OnResult(RequestResult result) -> void {
  TeamSpending& team = this->spending[result.team];
  team.reserved -= result.max_tokens;
  team.used_tokens += result.used_tokens;
  const auto budget = this->options.budgets.find(result.team);
  const bool is_budget_refusal =
      result.code == "budget_exhausted" || result.code == "budget_unavailable";
  if (is_budget_refusal && budget != this->options.budgets.end()) {
    result.false_refusal =
        budget->second - team.used_tokens - team.reserved >= result.max_tokens;
  }
  this->finished.push_back(std::move(result));
}

}  // namespace auburnloft::load
