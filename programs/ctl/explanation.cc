#include "ctl/explanation.h"

#include <algorithm>
#include <array>

namespace auburnloft {

namespace {

/** Events that change what a router believes, and what tells two of a kind
    apart. */
struct BeliefKind {
  std::string_view event;
  std::string_view subject;  ///< A field; empty: there is one of the kind.
};

constexpr std::array<BeliefKind, 9> kBeliefKinds = {{
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

struct Meaning {
  std::string_view why;
  std::string_view text;
};

constexpr std::array<Meaning, 20> kMeanings = {{
    {"budget spent", "the team's budget did not cover the request at its most"},
    {"no allowance",
     "the router held too little of the team's budget, and neither the log nor "
     "other routers gave more in time; it did not run"},
    {"no upstream", "no upstream of the service took new work; it did not run"},
    {"upstream is full",
     "upstreams refused it without running it, and no send was left"},
    {"timeout before it was sent", "its time passed here; it did not run"},
    {"shutting down",
     "the router was ending and had no time for so long a stream"},
    {"no answer",
     "the upstream's connection ended or stayed silent; the request may have "
     "run, and its route does not allow a repeat, or none was left"},
    {"the answer was broken off",
     "the upstream broke its answer off; the request ran at least in part"},
    {"upstreams stay silent",
     "no upstream sent a first event in time; the request may have run"},
    {"timeout", "the time of its route or caller passed while it ran"},
    {"events are missing",
     "the upstream's stream had a gap, and was not joined"},
    {"no upstream to go on", "a broken stream found no upstream to go on"},
    {"the caller closed the connection", "the caller left"},
    {"no other upstream",
     "it failed at one upstream, and no other takes it; it may have run"},
    {"upstream is full after a failure",
     "it failed at one upstream and was refused by others; it may have run"},
    {"no upstream resumes the stream",
     "a broken stream was refused where it was to go on"},
    {"the stream was not resumed",
     "another upstream ended it without going on with it"},
    {"no configuration yet",
     "the router had read no configuration; it did not run"},
    {"no route",
     "no route of the configuration in force has this host and path"},
    {"unknown key", "no team of the configuration in force has this key"},
}};

}  // namespace

auto DescribeCause(std::string_view why) -> std::string_view {
  const auto found = std::ranges::find(kMeanings, why, &Meaning::why);
  return found == kMeanings.end() ? std::string_view() : found->text;
}

auto Explanation::Add(const DecisionLogLine& line) -> void {
  if (line.Field("id") != this->id) {
    this->RecordRouterState(line);
    return;
  }
  this->own.push_back(line);
  if (line.Field("event") != "request") {
    return;
  }
  for (const auto& [kind, text] : this->by_process[line.process].by_kind) {
    const bool other_team =
        kind.starts_with("allowance") &&
        !kind.ends_with("/" + std::string(line.Field("team")));
    if (!other_team) {
      this->believed.push_back(text);
    }
  }
}

auto Explanation::RecordRouterState(const DecisionLogLine& line) -> void {
  const auto kind =
      std::ranges::find(kBeliefKinds, line.Field("event"), &BeliefKind::event);
  if (kind == kBeliefKinds.end()) {
    return;
  }
  const std::string subject(kind->subject.empty() ? std::string_view()
                                                  : line.Field(kind->subject));
  this->by_process[line.process]
      .by_kind[std::string(kind->event) + "/" + subject] = line.text;
}

auto Explanation::ToText() const -> std::string {
  std::string text = "believed before:\n";
  for (const std::string& line : this->believed) {
    text += "  " + line + "\n";
  }
  text += "the request:\n";
  for (const DecisionLogLine& line : this->own) {
    text += "  " + line.text + "\n";
  }
  for (const DecisionLogLine& line : this->own) {
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
