// JSON that others wrote: it may have any type and any depth.
#include "al_json/json_reading.h"

#include <nlohmann/json.hpp>

#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Json){};

// Guards against a text that is read as another one and then passed on.
TEST(Json, AStrictTextHasNoBytesReplaced) {
  CHECK_TRUE(ParseStrictJson("{\"a\":\"\xff\"}").is_discarded());
  CHECK_FALSE(ParseJson("{\"a\":\"\xff\"}").is_discarded());
}

TEST(Json, MembersOfOtherTypesAreAbsent) {
  const nlohmann::json object =
      ParseStrictJson(R"({"a":1,"b":"x","c":[1,2],"d":1.5,"e":-1,"f":true})");
  CHECK_FALSE(FindText(object, "a").has_value());
  CHECK_TRUE(FindText(object, "b") == "x");
  CHECK_FALSE(FindWhole(object, "d", 0, 10).has_value());
  CHECK_FALSE(FindWhole(object, "e", 0, 10).has_value());
  CHECK_FALSE(FindBoolean(object, "a").has_value());
  CHECK_TRUE(FindBoolean(object, "f") == true);
  CHECK_TRUE(FindArray(object, "b").empty());
  CHECK_EQUAL(2, FindArray(object, "c").size());
}

// Guards against a text that is nested so deeply that writing or copying it
// uses up the stack.
TEST(Json, AStrictTextIsNotNestedTooDeeply) {
  for (const std::size_t depth : {std::size_t{101}, std::size_t{1'000'000}}) {
    CHECK_TRUE(
        ParseStrictJson(std::string(depth, '[') + std::string(depth, ']'))
            .is_discarded());
    CHECK_TRUE(ParseStrictJson(std::string(depth, '[')).is_discarded());
  }
  CHECK_FALSE(ParseStrictJson(std::string(100, '[') + std::string(100, ']'))
                  .is_discarded());
}
