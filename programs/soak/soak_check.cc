#include "soak/soak_check.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace auburnloft::soak {

namespace {

/** Tokens in one event of the stand-ins' streams, as the configuration says. */
constexpr std::uint64_t kTokensOfEvent = 5;

/** How long after an upstream's word that it leaves requests may still begin
    there: the platform's bound, and the stand-in's pause between entries. */
constexpr std::int64_t kLeavingMs = 2'000 + 1'000;

auto Tell(std::string_view what, const std::string& place) -> void {
  std::cerr << "broken: " << what << ": " << place << "\n";
}

using RunsByAttempt = std::map<std::string, std::vector<const UpstreamRun*>>;

auto CheckAttempt(const AttemptResult& result,
                  std::span<const UpstreamRun* const> runs,
                  SoakReport& report) -> void {
  constexpr int kOk = 200;
  if (result.kind->runs_once && runs.size() > 1) {
    ++report.double_run;
    Tell("ran twice",
         result.id + " at " + runs[0]->upstream + " and " + runs[1]->upstream);
  }
  if (result.promises_not_run() && result.whole && result.kind->runs_once &&
      !runs.empty()) {
    ++report.ran_after_refusal;
    Tell("ran though refused", result.id + " from " + result.router);
  }
  if (result.mixed) {
    ++report.mixed_answers;
    Tell("bytes of another answer", result.id + " from " + result.router);
  }
  if (result.whole && result.status == kOk) {
    ++report.answered_whole;
  } else if (result.whole && result.promises_not_run()) {
    ++report.refused_not_run;
  } else if (!result.whole && (result.status == kOk || !runs.empty())) {
    // Its answer had begun, or it ran and no answer came.
    ++report.cut_off;
  } else if (!result.whole && result.sent) {
    ++report.unknown_outcome;
  }
}

}  // namespace

auto SoakReport::broken() const -> bool {
  const std::uint64_t count = this->overspend_tokens + this->double_run +
                              this->ran_after_refusal + this->mixed_answers +
                              this->config_reversions + this->new_after_leaving;
  return count > 0 || this->requests == 0 || this->answered_whole == 0 ||
         (this->only_planned && this->cut_off > 0);
}

auto SoakReport::ToJson() const -> nlohmann::json {
  return {{"requests", this->requests},
          {"answered_whole", this->answered_whole},
          {"refused_not_run", this->refused_not_run},
          {"unknown_outcome", this->unknown_outcome},
          {"overspend_tokens", this->overspend_tokens},
          {"double_run", this->double_run},
          {"ran_after_refusal", this->ran_after_refusal},
          {"mixed_answers", this->mixed_answers},
          {"cut_off", this->cut_off},
          {"config_reversions", this->config_reversions},
          {"new_after_leaving", this->new_after_leaving},
          {"only_planned", this->only_planned},
          {"held", !this->broken()}};
}

auto ReadRuns(std::string_view text) -> std::vector<UpstreamRun> {
  std::vector<UpstreamRun> runs;
  std::istringstream lines{std::string(text)};
  for (UpstreamRun run; lines >> run.at_ms >> run.upstream >> run.attempt;) {
    runs.push_back(run);
  }
  return runs;
}

auto ReadEvents(std::string_view text) -> SoakEvents {
  SoakEvents events;
  std::istringstream lines{std::string(text)};
  for (std::string word; lines >> word;) {
    std::string name;
    if (word == "left") {
      std::int64_t at_ms = 0;
      lines >> name >> at_ms;
      events.left_at_ms[name] = at_ms;
    } else if (word == "prepaid") {
      std::uint64_t tokens = 0;
      lines >> name >> tokens;
      events.prepaid[name] = tokens;
    } else if (word == "planned") {
      events.only_planned = true;
    }
  }
  return events;
}

auto Check(std::span<const AttemptResult> results,
           std::span<const UpstreamRun> runs,
           const SoakEvents& events) -> SoakReport {
  SoakReport report;
  report.only_planned = events.only_planned;
  RunsByAttempt by_attempt;
  for (const UpstreamRun& run : runs) {
    by_attempt[run.attempt].push_back(&run);
    const auto left = events.left_at_ms.find(run.upstream);
    if (left != events.left_at_ms.end() &&
        run.at_ms > left->second + kLeavingMs) {
      ++report.new_after_leaving;
      Tell("began at an upstream that had left",
           run.attempt + " at " + run.upstream);
    }
  }
  std::map<std::string, std::uint64_t> spent;
  for (const AttemptResult& result : results) {
    ++report.requests;
    const auto& own_runs = by_attempt[result.id];
    CheckAttempt(result, own_runs, report);
    if (result.kind->streams && !own_runs.empty()) {
      spent[result.team] +=
          result.prompt_tokens + result.events * kTokensOfEvent;
    }
  }
  for (const auto& [team, tokens] : spent) {
    const auto prepaid = events.prepaid.find(team);
    if (prepaid != events.prepaid.end() && tokens > prepaid->second) {
      report.overspend_tokens += tokens - prepaid->second;
      Tell("spent more than prepaid", team);
    }
  }
  return report;
}

}  // namespace auburnloft::soak
