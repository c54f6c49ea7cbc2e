#include "ctl/explanation.h"

#include <algorithm>
#include <array>

namespace auburnloft {

namespace {

/** An event of the decision log that reports a state of the router. */
struct StateEvent {
  std::string_view event;
  std::string_view subject;  ///< Field that names what the state belongs to;
                             ///< empty: the router itself.
};

constexpr std::array<StateEvent, 9> kStateEvents = {{
    {"start", ""},
    {"config", ""},
    {"feed", ""},
    {"drain", ""},
    {"log_lost", ""},
    {"log_regained", ""},
    {"allowance", "team"},
    {"allowance_ask_failed", "team"},
    {"upstream_left", "upstream"},
}};

/** The explanation of a value of the field `why`. */
struct Cause {
  std::string_view why;
  std::string_view text;
};

constexpr std::array<Cause, 26> kCauses = {{
    {"a part of the prompt crashes upstreams",
     "requests with the part crashed several upstreams, and none with it was "
     "answered since; with status 503 the request was not executed"},
    {"budget spent",
     "the team's budget did not cover the maximum cost of the request"},
    {"no allowance",
     "the router's allowance of the team's budget was too small, and it could "
     "not get more from the log or from other routers in time; the request was "
     "not executed"},
    {"no upstream",
     "no upstream of the service accepted new requests; the request was not "
     "executed"},
    {"upstream is full",
     "upstreams rejected the request without executing it, and no further "
     "attempt was allowed"},
    {"too late",
     "admission: the first event was expected too late to be of use; the "
     "request was not executed"},
    {"more urgent first",
     "admission: too many first events of the service were late, and other "
     "requests were more urgent; the request was not executed"},
    {"team share",
     "admission: the service was short of capacity, and the team asked for "
     "more than its share; the request was not executed"},
    {"back early",
     "admission: the request had been refused, and came back before the time "
     "of its Retry-After; it was not executed"},
    {"no place in time",
     "admission: no place of the plain service became free within the "
     "objective; the request was not executed"},
    {"timeout before it was sent",
     "the timeout of the route or caller expired while the request was in the "
     "router; it was not executed"},
    {"shutting down",
     "the router was draining, and the stream could have lasted longer than "
     "the drain"},
    {"no answer",
     "the upstream's connection ended before a response began; the request may "
     "have been executed, and its route does not allow another execution, or "
     "none was left"},
    {"the answer was broken off",
     "the upstream's response ended early or was invalid; the request was "
     "executed at least in part"},
    {"upstreams stay silent",
     "no upstream sent a first event in time; the request may have been "
     "executed"},
    {"timeout",
     "the timeout of the route or caller expired; the request may have been "
     "executed"},
    {"events are missing",
     "events of the upstream's stream were missing, so the stream was ended"},
    {"no upstream to go on",
     "the stream was interrupted, and no upstream was available to resume it"},
    {"the caller closed the connection",
     "the caller closed the connection before the end of the response"},
    {"no other upstream",
     "an attempt failed, and no other upstream was available; the request may "
     "have been executed"},
    {"upstream is full after a failure",
     "an attempt failed, and other upstreams rejected the request; it may have "
     "been executed"},
    {"no upstream resumes the stream",
     "the stream was interrupted, and the upstreams tried refused to resume "
     "it"},
    {"the stream was not resumed",
     "the stream was interrupted, and the next upstream did not continue it"},
    {"no configuration yet",
     "the router had not read a configuration yet; the request was not "
     "executed"},
    {"no route",
     "no route of the active configuration matches the host and path"},
    {"unknown key", "no team of the active configuration has this key"},
}};

}  // namespace

auto DescribeCause(std::string_view why) -> std::string_view {
  const auto found = std::ranges::find(kCauses, why, &Cause::why);
  return found == kCauses.end() ? std::string_view() : found->text;
}

auto Explanation::Add(const DecisionLogLine& line) -> void {
  if (line.Field("id") != this->id) {
    this->RecordRouterState(line);
    return;
  }
  this->request_lines.push_back(line);
  if (line.Field("event") != "request") {
    return;
  }
  for (const auto& [kind, text] : this->by_process[line.process].by_kind) {
    const bool other_team =
        kind.starts_with("allowance") &&
        !kind.ends_with("/" + std::string(line.Field("team")));
    if (!other_team) {
      this->state_lines.push_back(text);
    }
  }
}

auto Explanation::RecordRouterState(const DecisionLogLine& line) -> void {
  const auto kind =
      std::ranges::find(kStateEvents, line.Field("event"), &StateEvent::event);
  if (kind == kStateEvents.end()) {
    return;
  }
  const std::string subject(kind->subject.empty() ? std::string_view()
                                                  : line.Field(kind->subject));
  this->by_process[line.process]
      .by_kind[std::string(kind->event) + "/" + subject] = line.text;
}

auto Explanation::ToText() const -> std::string {
  std::string text = "router state before:\n";
  for (const std::string& line : this->state_lines) {
    text += "  " + line + "\n";
  }
  text += "the request:\n";
  for (const DecisionLogLine& line : this->request_lines) {
    text += "  " + line.text + "\n";
  }
  for (const DecisionLogLine& line : this->request_lines) {
    const std::string_view why = line.Field("why");
    if (line.Field("event") == "request") {
      text += "cause: " + std::string(why);
      const std::string_view meaning = DescribeCause(why);
      text += meaning.empty() ? "\n" : " - " + std::string(meaning) + "\n";
    }
  }
  return text;
}

}  // namespace auburnloft
