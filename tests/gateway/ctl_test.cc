// The operators' tool: its view of the fleet from the log service's records,
// and its explanation of a request from the routers' decision logs.
#include <nlohmann/json.hpp>

#include "ctl/decision_log_line.h"
#include "ctl/explanation.h"
#include "ctl/fleet_view.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Operators) {
  FleetView view;

  auto Announce(const std::string& name, int incarnation, bool is_new)->void {
    gateway::RouterAnnouncement announcement;
    announcement.name = name;
    announcement.incarnation = name + "#" + std::to_string(incarnation);
    announcement.config_version = 7;
    this->view.Apply(gateway::ToRecord(announcement), is_new);
  }

  auto Take(const std::string& holder, std::int64_t taken, std::int64_t settled)
      ->void {
    gateway::AllowanceEntry entry;
    entry.team = "blue";
    entry.holder = holder;
    entry.taken_tokens = taken;
    entry.settled_tokens = settled;
    this->view.Apply(gateway::ToRecord(entry), false);
  }

  auto Explain(const std::string& id, std::string_view text)->std::string {
    Explanation explanation(id);
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      if (const auto line =
              ParseDecisionLogLine(text.substr(0, end), "router.log")) {
        explanation.Add(*line);
      }
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    return explanation.has_lines() ? explanation.ToText() : "";
  }
};

TEST(Operators, SeeWhereATeamsTokensAre) {
  gateway::FleetConfig config;
  config.version = 7;
  gateway::TeamRule team;
  team.name = "blue";
  team.prepaid_tokens = 1'000;
  config.teams.push_back(team);
  this->view.SetConfig(std::move(config));
  this->Announce("r1", 1, false);
  this->Announce("r1", 2, true);   // A restart expires incarnation 1.
  this->Announce("r2", 1, false);  // An old record, not renewed.
  this->Take("r1#1", 200, 150);
  this->Take("r1#2", 300, 100);
  this->Take("r2#1", 80, 30);
  const nlohmann::json row = this->view.BalancesAsJson()["teams"][0];
  CHECK_EQUAL(280, row["spent"].get<int>());
  CHECK_EQUAL(200, row["out"].get<int>());
  CHECK_EQUAL(100, row["stranded"].get<int>());
  CHECK_EQUAL(420, row["left"].get<int>());
  CHECK_EQUAL(3, row["holders"].size());
  const nlohmann::json routers = this->view.RoutersAsJson()["routers"];
  CHECK_TRUE(routers[0]["living"].get<bool>());
  CHECK_FALSE(routers[1]["living"].get<bool>());
  CHECK_EQUAL(7, routers[0]["config_version"].get<int>());
}

TEST(Operators, ReadLinesWithAndWithoutAPrefix) {
  const auto plain =
      ParseDecisionLogLine("t=1 event=config version=3", "a.log");
  CHECK_TRUE(plain.has_value());
  STRCMP_EQUAL("a.log", plain->process.c_str());
  const auto prefixed = ParseDecisionLogLine(
      "  14.2 edge-2 t=1 event=request id=x why=\"no allowance\" ms=3", "a");
  CHECK_TRUE(prefixed.has_value());
  STRCMP_EQUAL("edge-2", prefixed->process.c_str());
  CHECK_TRUE(prefixed->Field("why") == "no allowance");
  CHECK_TRUE(prefixed->Field("ms") == "3");
  CHECK_FALSE(ParseDecisionLogLine("no line of a router", "a").has_value());
  CHECK_FALSE(ParseDecisionLogLine("", "a").has_value());
}

TEST(Operators, SeeTheRoutersStateAtTheTimeOfARefusal) {
  const std::string text =
      this->Explain("x1",
                    "t=1 event=config version=3\n"
                    "t=2 event=allowance team=blue taken=10 available=4\n"
                    "t=3 event=allowance team=red taken=99 available=99\n"
                    "t=4 event=log_lost silent_ms=1501.0\n"
                    "t=5 event=request id=x1 outcome=refused status=503 "
                    "why=\"no allowance\" team=blue\n"
                    "t=6 event=log_regained\n");
  CHECK_TRUE(text.find("event=log_lost") != std::string::npos);
  CHECK_TRUE(text.find("team=blue taken=10") != std::string::npos);
  CHECK_TRUE(text.find("team=red") == std::string::npos);
  CHECK_TRUE(text.find("log_regained") == std::string::npos);
  CHECK_TRUE(text.find("cause: no allowance - ") != std::string::npos);
}

TEST(Operators, SeeOnlyTheStateOfTheRequestsOwnRouter) {
  const std::string text = this->Explain(
      "x1",
      "1 r1 t=1 event=config version=3\n"
      "1 r2 t=1 event=config version=2\n"
      "2 r2 t=2 event=request id=x1 outcome=failed why=\"no answer\"\n");
  CHECK_TRUE(text.find("version=2") != std::string::npos);
  CHECK_TRUE(text.find("version=3") == std::string::npos);
}

TEST(Operators, GetNoExplanationIfNoLineNamesTheRequest) {
  STRCMP_EQUAL("", this->Explain("x2", "t=1 event=request id=x1\n").c_str());
}
