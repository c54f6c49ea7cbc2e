// The check of a configuration before it is published.
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "ctl/config_check_command.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::string_view kRoute =
    R"({"Name":"read","Host":"h","PathPrefix":"/read/","Type":"safe","Service":"desks","TimeoutMs":2000,"SloMs":300,"MaxAttempts":2})";
constexpr std::string_view kTeam = R"({"Name":"blue","ApiKeys":["secret"]})";
constexpr std::string_view kService = R"({"Name":"desks","MaxConns":100})";

}  // namespace

TEST_GROUP(ConfigChecks) {
  std::string file = "/tmp/config-check-" + std::to_string(getpid()) + ".json";
  std::string against = this->file + ".before";
  std::ostringstream output;
  std::ostringstream errors;

  TEST_TEARDOWN() {
    static_cast<void>(std::remove(this->file.c_str()));
    static_cast<void>(std::remove(this->against.c_str()));
  }

  static auto Config(int version, const std::string& routes,
                     const std::string& teams = std::string(kTeam),
                     const std::string& services = std::string(kService),
                     const std::string& limits = "{}")
      ->std::string {
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" +
           routes + R"(],"Tenants":[)" + teams + R"(],"Services":[)" +
           services + R"(],"Limits":)" + limits + "}";
  }

  static auto Changed(std::string_view from, std::string_view to)->std::string {
    std::string route(kRoute);
    return route.replace(route.find(from), from.size(), to);
  }

  auto Run(const std::string& text, bool compares = false, bool as_json = false)
      ->CtlExit {
    std::ofstream(this->file) << text;
    this->output.str("");
    return CheckFleetConfig(
        {this->file, compares ? this->against : std::string(), as_json},
        this->output, this->errors);
  }

  auto CheckFinds(const std::string& text, const std::string& line)->void {
    CHECK_TRUE(CtlExit::kRejected == this->Run(text));
    const std::string printed = this->output.str();
    CHECK_TRUE_TEXT(printed.find(line) != std::string::npos, printed.c_str());
  }
};

TEST(ConfigChecks, FindNothingInASoundFile) {
  CHECK_TRUE(CtlExit::kDone == this->Run(Config(1, std::string(kRoute))));
  CHECK_EQUAL(std::string(), this->output.str());
}

// Guards against an error that only the routers report, after publication.
TEST(ConfigChecks, ReportErrorsOfTheRoutersParser) {
  this->CheckFinds(Config(1, Changed("safe", "sage")),
                   "/Routes/0/Type: must be safe, unsafe or streaming");
}

// Guards against entries that never match, which an operator takes for being in
// force.
TEST(ConfigChecks, FindEntriesThatNeverMatch) {
  const std::string route(kRoute);
  this->CheckFinds(Config(1, route + "," + Changed("\"read\"", "\"other\"")),
                   "/Routes/1: is hidden by the route read");
  this->CheckFinds(Config(1, Changed("/read/", "/read")),
                   "/Routes/0/PathPrefix: matches no path");
  this->CheckFinds(Config(1, route, R"({"Name":"blue","ApiKeys":[]})"),
                   "/Tenants/0: the team blue has no key");
  this->CheckFinds(
      Config(1, route,
             std::string(kTeam) + R"(,{"Name":"red","ApiKeys":["secret"]})"),
      "belongs to the team blue");
  this->CheckFinds(Config(1, route, std::string(kTeam),
                          std::string(kService) + R"(,{"Name":"spare"})"),
                   "/Services/1: no route leads to the service spare");
  this->CheckFinds(Config(1, Changed("desks", "disks")),
                   "/Routes/0: the service disks is not listed");
  this->CheckFinds(Config(1, Changed(R"("Service":"desks")",
                                     R"("Backends":[{"Service":"desks"},)"
                                     R"({"Service":"desks","Weight":0}])")),
                   "/Routes/0/Backends: the service desks gets no requests");
}

// Guards against limits of which one can never take effect.
TEST(ConfigChecks, FindLimitsThatContradictEachOther) {
  this->CheckFinds(Config(1, Changed("2000", "200")),
                   "/Routes/0/TimeoutMs: is below SloMs");
  this->CheckFinds(Config(1, Changed("\"safe\"", "\"unsafe\"")),
                   "/Routes/0/MaxAttempts: is above 1");
  this->CheckFinds(Config(1, Changed("\"MaxAttempts\":2", "\"MaxAttempts\":9")),
                   "/Routes/0/MaxAttempts: allows more retries");
  this->CheckFinds(
      Config(1, std::string(kRoute), std::string(kTeam), std::string(kService),
             R"({"MaxBodyBytes":20000000})"),
      "/Limits/MaxBodyBytes: is above a third");
}

// Guards against a change that an operator did not mean to publish, and against
// keys in the output.
TEST(ConfigChecks, NameTheDifferencesFromTheVersionInForce) {
  std::ofstream(this->against) << Config(1, std::string(kRoute));
  const std::string after = Config(2, Changed("2000", "2500"),
                                   R"({"Name":"blue","ApiKeys":["secret-2"]},)"
                                   R"({"Name":"red","ApiKeys":["secret-3"]})");
  CHECK_TRUE(CtlExit::kDone == this->Run(after, true));
  CHECK_EQUAL(std::string("changed route read TimeoutMs\n"
                          "changed team blue ApiKeys\n"
                          "added team red\n"),
              this->output.str());
  CHECK_TRUE(CtlExit::kDone == this->Run(after, true, true));
  const auto json = nlohmann::json::parse(this->output.str());
  CHECK_TRUE(json["findings"].empty());
  CHECK_EQUAL(3, json["differences"].size());
  CHECK_TRUE(this->output.str().find("secret") == std::string::npos);
  // An older version would not come into force.
  CHECK_TRUE(CtlExit::kRejected ==
             this->Run(Config(1, std::string(kRoute)), true));
}

// Guards against a missing file that passes for a sound one.
TEST(ConfigChecks, FailWithoutAFile) {
  CHECK_TRUE(CtlExit::kError ==
             this->Run(Config(1, std::string(kRoute)), true));
  this->file += ".none";
  CHECK_TRUE(CtlExit::kError == CheckFleetConfig({this->file, "", false},
                                                 this->output, this->errors));
}
