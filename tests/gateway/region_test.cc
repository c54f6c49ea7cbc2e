// Regions: which upstreams a request with AllowedRegions may be sent to, and
// which routers an entry address names.
#include <algorithm>
#include <map>
#include <set>

#include "al_gateway/al_gateway.h"
#include "platform/config_codec.h"
#include "platform/router_address_codec.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::seconds;

using Texts = std::vector<std::string>;

}  // namespace

/** Upstreams in two domains of the region north, one of south, and one of which
    no region is known; twelve in all. */
TEST_GROUP(Regions) {
  Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory{[](const UpstreamState&) {}};
  UpstreamSelector selector{this->directory, "a"};

  TEST_SETUP() {
    this->directory.SetRegions(
        {{"a", "north"}, {"b", "north"}, {"c", "south"}});
    for (int number = 0; number < 12; ++number) {
      UpstreamRecord record;
      record.id = "u" + std::to_string(number);
      record.service = "s";
      record.domain =
          std::string("abcd").substr(static_cast<std::size_t>(number) % 4, 1);
      record.slots = 8;
      this->directory.Put(record);
    }
  }

  /** Returns the domains of all upstreams that a request may be sent to: it is
      repeated until there is none left. */
  auto DomainsFor(const Texts& route, const Texts& team,
                  bool has_prompt = false)
      ->std::string {
    GenerationMetadata prompt;
    prompt.prompt_tokens = 5'010;
    prompt.parts = {{"shared", 5'000}, {"own", 10}};
    Texts tried;
    std::set<std::string> domains;
    ChoiceQuery query;
    query.service = "s";
    query.generation = has_prompt ? &prompt : nullptr;
    query.route_regions = route;
    query.team_regions = team;
    while (true) {
      query.excluded = tried;
      const auto choice = this->selector.Choose(query, this->now);
      if (!choice) {
        break;
      }
      domains.insert(choice->upstream->record().domain);
      tried.push_back(choice->upstream->record().id);
    }
    std::string text;
    for (const std::string& domain : domains) {
      text += domain;
    }
    return text;
  }
};

// Guards against requests that leave the regions of their route or team, and
// against requests without regions that are limited.
TEST(Regions, LimitWhereRequestsAreSent) {
  for (const bool has_prompt : {false, true}) {
    STRCMP_EQUAL("abcd", this->DomainsFor({}, {}, has_prompt).c_str());
    STRCMP_EQUAL("ab", this->DomainsFor({"north"}, {}, has_prompt).c_str());
    STRCMP_EQUAL("c", this->DomainsFor({}, {"south"}, has_prompt).c_str());
    STRCMP_EQUAL(
        "c", this->DomainsFor({"north", "south"}, {"south", "east"}, has_prompt)
                 .c_str());
    STRCMP_EQUAL("",
                 this->DomainsFor({"north"}, {"south"}, has_prompt).c_str());
    STRCMP_EQUAL("", this->DomainsFor({"east"}, {}, has_prompt).c_str());
  }
  this->directory.SetEvacuated("c", true);
  STRCMP_EQUAL("", this->DomainsFor({"south"}, {}).c_str());
}

// Guards against prompts without a home, as it is in a region that is not
// allowed. Load pattern: 100 shared parts of prompts of a team in the south.
TEST(Regions, HaveHomesOfTheirOwn) {
  for (int part = 0; part < 100; ++part) {
    GenerationMetadata prompt;
    prompt.prompt_tokens = 5'010;
    prompt.parts = {{"shared-" + std::to_string(part), 5'000}, {"own", 10}};
    const Texts regions = {"south"};
    ChoiceQuery query;
    query.service = "s";
    query.generation = &prompt;
    query.team_regions = regions;
    const auto choice = this->selector.Choose(query, this->now);
    CHECK_TRUE(choice.has_value());
    // The home is expected to have the shared part in its cache.
    CHECK_EQUAL(10U, choice->prefill_tokens);
  }
}

// Guards against values of the configuration and of the setting that are
// misread.
TEST(Regions, AreReadFromConfigurationAndSetting) {
  Findings findings;
  const auto config = platform::ReadConfig(
      R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","Type":"safe",
          "Service":"s","AllowedRegions":["north","south"]}],
          "Tenants":[{"Name":"t","AllowedRegions":["south"]},{"Name":"u"}]})",
      findings);
  CHECK_TRUE(config.has_value());
  CHECK_TRUE((config->routes[0].allowed_regions == Texts{"north", "south"}));
  CHECK_TRUE(config->teams[0].allowed_regions == Texts{"south"});
  CHECK_TRUE(config->teams[1].allowed_regions.empty());
  CHECK_FALSE(
      platform::ReadConfig(
          R"({"Version":1,"Tenants":[{"Name":"t","AllowedRegions":[1]}]})",
          findings)
          .has_value());
  const auto regions =
      platform::ReadDomainRegions(R"({"a":"north","c":"south"})");
  CHECK_TRUE(regions && regions->at("a") == "north" && regions->size() == 2);
  CHECK_TRUE(platform::ReadDomainRegions("{}")->empty());
  for (const char* const text : {"", "[]", "north", R"({"a":1})"}) {
    CHECK_FALSE(platform::ReadDomainRegions(text).has_value());
  }
}

// Guards against callers that are sent to another region, to a single router,
// to one that leaves, or to one that is gone.
TEST(Regions, DecideWhichRoutersCallersAreTold) {
  RouterRegistry registry("r0");
  const auto announce = [&](const std::string& name, const std::string& domain,
                            const std::string& region, bool leaving) {
    RouterAnnouncement router;
    router.name = name;
    router.domain = domain;
    router.region = region;
    router.client_address = name;
    router.leaving = leaving;
    registry.Apply(router, this->now);
  };
  announce("r0", "a", "north", false);
  announce("r1", "a", "north", false);
  announce("r2", "b", "north", false);
  announce("r3", "c", "south", false);
  const auto told = [&](std::string_view domain, std::string_view region) {
    std::string text;
    for (const std::string& address :
         registry.AddressesFor(domain, region, this->now)) {
      text += address;
    }
    return text;
  };
  STRCMP_EQUAL("r0r1", told("a", "north").c_str());
  STRCMP_EQUAL("r0r1r2", told("b", "north").c_str());
  STRCMP_EQUAL("r0r1r2r3", told("c", "south").c_str());
  STRCMP_EQUAL("r0r1r2r3", told("b", "").c_str());
  announce("r1", "a", "north", true);
  STRCMP_EQUAL("r0r2", told("a", "north").c_str());
  announce("r4", "d", "south", false);
  STRCMP_EQUAL("r3r4", told("c", "south").c_str());
  this->now += seconds(5);
  STRCMP_EQUAL("r0", told("c", "south").c_str());
}
