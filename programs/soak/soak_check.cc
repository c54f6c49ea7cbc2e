#include "soak/soak_check.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace auburnloft::soak {

namespace {

/** Tokens in one event of a stand-in's stream, as set in the configuration. */
constexpr std::uint64_t kTokensPerEvent = 5;

/** How long after an upstream announces that it leaves routers may still start
 * requests there: the platform's bound of 2 s, plus the stand-in's 1 s between
 * records. */
constexpr std::int64_t kMaxLeaveDelayMs = 2'000 + 1'000;

/** A request under which upstreams end reaches this many more of them later
   than kDeadlyDelayMs after the third end. */
constexpr std::size_t kEndsBeforeBound = 3;
constexpr std::int64_t kDeadlyDelayMs = 3'000;
constexpr std::uint64_t kMaxDeadlyLater = 3;

/** The users' platform tolerates this many streams of several releases. */
constexpr std::uint64_t kMaxMixedReleases = 2;

/** Of fewer streams that are taken up, no share is checked. */
constexpr std::uint64_t kMinTakenUp = 12;

/** A request may cross the close of its connection this often. */
constexpr std::uint64_t kMaxUnansweredOnKept = 3;

auto ReportViolation(std::string_view violation, const std::string& location)
    -> void {
  std::cerr << "violation: " << violation << ": " << location << "\n";
}

using ExecutionsByRequest =
    std::map<std::string, std::vector<const UpstreamExecution*>>;

auto CheckRequest(const RequestResult& result,
                  std::span<const UpstreamExecution* const> executions,
                  SoakReport& report) -> void {
  constexpr int kOk = 200;
  if (result.kind->at_most_once && executions.size() > 1) {
    ++report.double_executions;
    ReportViolation("executed twice", result.id + " at " +
                                          executions[0]->upstream + " and " +
                                          executions[1]->upstream);
  }
  if (result.promises_not_executed() && result.is_complete &&
      result.kind->at_most_once && !executions.empty()) {
    ++report.executed_after_refusal;
    ReportViolation("executed although refused",
                    result.id + " from " + result.router);
  }
  if (result.is_mixed) {
    ++report.mixed_responses;
    ReportViolation("response with wrong content or order",
                    result.id + " from " + result.router);
  }
  if (result.is_complete && result.status == kOk) {
    ++report.complete_responses;
  } else if (result.is_complete && result.promises_not_executed()) {
    ++report.refused_not_executed;
  } else if (!result.is_complete &&
             (result.status == kOk || !executions.empty())) {
    // The response was incomplete, or the request was executed without a
    // response.
    ++report.interrupted;
  } else if (!result.is_complete && result.was_sent) {
    ++report.unknown_outcome;
  }
  report.on_kept += result.on_kept_connection ? 1 : 0;
  if (report.only_planned_work && result.on_kept_connection &&
      result.was_sent && !result.is_complete && result.status == 0) {
    ++report.unanswered_on_kept;
    ReportViolation("no response on a kept connection",
                    result.id + " from " + result.router);
  }
}

/** Checks who wrote each stream, over all requests that brought it. */
auto CheckStreams(std::span<const RequestResult> results, SoakReport& report)
    -> void {
  struct Stream {
    std::set<std::string> releases;
    bool is_taken_up = false;
    bool goes_on = false;
    std::string sources;  // For the message.
  };
  std::map<std::string_view, Stream> streams;  // By its first request.
  for (const RequestResult& result : results) {
    Stream& stream =
        streams[result.resumes.empty() ? result.id : result.resumes];
    for (const std::string& release : result.releases) {
      stream.releases.insert(release);
      stream.sources +=
          " " + release + " in " + result.id + " from " + result.router;
    }
    if (!result.resumes.empty() && result.was_sent) {
      stream.is_taken_up = true;
      stream.goes_on = stream.goes_on || result.events > 0;
    }
  }
  for (const auto& [id, stream] : streams) {
    report.taken_up += stream.is_taken_up ? 1 : 0;
    report.went_on += stream.goes_on ? 1 : 0;
    if (stream.releases.size() > 1) {
      ++report.mixed_releases;
      ReportViolation("stream of several releases",
                      std::string(id) + stream.sources);
    }
  }
}

/** Checks how often each request that crashes upstreams was executed; those of
   one kind are the same request. */
auto CheckDeadly(std::span<const RequestResult> results,
                 const ExecutionsByRequest& by_request,
                 SoakReport& report) -> void {
  std::map<std::string_view, std::vector<std::int64_t>> times_by_path;
  for (const RequestResult& result : results) {
    const auto found = by_request.find(result.id);
    if (!result.is_deadly || found == by_request.end()) {
      continue;
    }
    for (const UpstreamExecution* const execution : found->second) {
      times_by_path[result.kind->path].push_back(execution->at_ms);
    }
  }
  for (auto& [path, times] : times_by_path) {
    std::sort(times.begin(), times.end());
    report.deadly_executions += times.size();
    if (times.size() < kEndsBeforeBound) {
      continue;
    }
    const std::int64_t bounded_from =
        times[kEndsBeforeBound - 1] + kDeadlyDelayMs;
    const auto later = static_cast<std::uint64_t>(
        times.end() -
        std::upper_bound(times.begin(), times.end(), bounded_from));
    if (later > kMaxDeadlyLater) {
      report.deadly_over_bound += later - kMaxDeadlyLater;
      ReportViolation(
          "sent again after three upstreams had ended",
          std::string(path) + " " + std::to_string(later) + " times");
    }
  }
}

}  // namespace

auto SoakReport::loses_streams() const -> bool {
  return this->only_restarts && this->taken_up >= kMinTakenUp &&
         2 * this->went_on < this->taken_up;
}

auto SoakReport::has_violation() const -> bool {
  const std::uint64_t count = this->overspend_tokens + this->double_executions +
                              this->executed_after_refusal +
                              this->mixed_responses + this->config_reversions +
                              this->started_after_leaving;
  return count + this->deadly_over_bound > 0 || this->requests == 0 ||
         this->complete_responses == 0 ||
         this->mixed_releases > kMaxMixedReleases ||
         this->unanswered_on_kept > kMaxUnansweredOnKept ||
         (this->only_planned_work && this->interrupted > 0) ||
         this->loses_streams();
}

auto SoakReport::ToJson() const -> nlohmann::json {
  return {{"requests", this->requests},
          {"answered_whole", this->complete_responses},
          {"refused_not_run", this->refused_not_executed},
          {"unknown_outcome", this->unknown_outcome},
          {"overspend_tokens", this->overspend_tokens},
          {"double_run", this->double_executions},
          {"ran_after_refusal", this->executed_after_refusal},
          {"mixed_answers", this->mixed_responses},
          {"cut_off", this->interrupted},
          {"config_reversions", this->config_reversions},
          {"new_after_leaving", this->started_after_leaving},
          {"deadly_run", this->deadly_executions},
          {"deadly_over_bound", this->deadly_over_bound},
          {"mixed_versions", this->mixed_releases},
          {"taken_up", this->taken_up},
          {"went_on", this->went_on},
          {"on_kept", this->on_kept},
          {"unanswered_on_kept", this->unanswered_on_kept},
          {"only_planned", this->only_planned_work},
          {"held", !this->has_violation()}};
}

auto ReadExecutions(std::string_view text) -> std::vector<UpstreamExecution> {
  std::vector<UpstreamExecution> executions;
  std::istringstream lines{std::string(text)};
  for (UpstreamExecution execution; lines >> execution.at_ms >>
                                    execution.upstream >>
                                    execution.request_id;) {
    executions.push_back(execution);
  }
  return executions;
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
      events.only_planned_work = true;
    } else if (word == "restarts") {
      events.only_restarts = true;
    }
  }
  return events;
}

auto Check(std::span<const RequestResult> results,
           std::span<const UpstreamExecution> executions,
           const SoakEvents& events) -> SoakReport {
  SoakReport report;
  report.only_planned_work = events.only_planned_work;
  report.only_restarts = events.only_restarts;
  ExecutionsByRequest by_request;
  for (const UpstreamExecution& execution : executions) {
    by_request[execution.request_id].push_back(&execution);
    const auto left = events.left_at_ms.find(execution.upstream);
    if (left != events.left_at_ms.end() &&
        execution.at_ms > left->second + kMaxLeaveDelayMs) {
      ++report.started_after_leaving;
      ReportViolation("started at an upstream that had left",
                      execution.request_id + " at " + execution.upstream);
    }
  }
  std::map<std::string, std::uint64_t> spent;
  for (const RequestResult& result : results) {
    ++report.requests;
    const auto& request_executions = by_request[result.id];
    CheckRequest(result, request_executions, report);
    if (result.kind->streams && !request_executions.empty()) {
      spent[result.team] +=
          result.prompt_tokens + result.events * kTokensPerEvent;
    }
  }
  CheckStreams(results, report);
  if (report.loses_streams()) {
    ReportViolation("streams that were taken up did not go on",
                    std::to_string(report.taken_up - report.went_on) + " of " +
                        std::to_string(report.taken_up));
  }
  CheckDeadly(results, by_request, report);
  for (const auto& [team, tokens] : spent) {
    const auto prepaid = events.prepaid.find(team);
    if (prepaid != events.prepaid.end() && tokens > prepaid->second) {
      report.overspend_tokens += tokens - prepaid->second;
      ReportViolation("spent more than the prepaid budget", team);
    }
  }
  return report;
}

}  // namespace auburnloft::soak
