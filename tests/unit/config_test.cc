#include "al_config/al_config.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::string_view kValidDocument = R"({
  "defaults": {"chat_class": "quick"},
  "classes": {"quick": {"patience": "quick"}},
  "teams": {"blue": {"key_sha256": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}},
  "upstreams": {"e1": {"address": "10.0.0.1:80", "domain": "a", "models": ["m"]}},
  "exceptions": {"blue": {"reason": "long reports", "set": {"max_output_tokens": 9}}}
})";

auto Record(std::uint64_t base, const std::string& patch) -> std::string {
  wire::ConfigRecord record;
  record.set_base_version(base);
  record.set_merge_patch(patch);
  return record.SerializeAsString();
}

}  // namespace

TEST_GROUP(ConfigCheck){};

TEST(ConfigCheck, AcceptsAValidDocument) {
  Findings findings;
  const std::optional<Configuration> parsed =
      ParseConfiguration(kValidDocument, findings);
  CHECK_TRUE(parsed.has_value());
  CHECK_EQUAL(9U, *parsed->FindOverrides(TeamId("blue"))->max_output_tokens);
}

TEST(ConfigCheck, ReportsEveryFindingWithItsPath) {
  Findings findings;
  const std::optional<Configuration> parsed = ParseConfiguration(R"({
    "defaults": {"chat_class": "none", "max_output_tokens": -1, "colour": "red"},
    "classes": {"quick": {"patience": "hasty"}},
    "teams": {"blue": {"key_sha256": "short"}},
    "upstreams": {"e1": {"address": "nowhere", "domain": "a"}},
    "exceptions": {"ghost": {"reason": "", "set": {}}}
  })",
                                                                 findings);
  CHECK_FALSE(parsed.has_value());
  const std::string text = findings.ToText();
  for (const char* const expected :
       {"$.defaults.max_output_tokens: is not a whole number from 1 to 1000000",
        "$.defaults.colour: is not a known setting",
        "$.defaults.chat_class: class \"none\" does not exist",
        "$.classes.quick.patience: \"hasty\" is none of: quick, patient",
        ("$.teams.blue.key_sha256: is not a SHA-256 digest in lower-case "
         "hexadecimal"),
        "$.upstreams.e1.address: \"nowhere\" is not ip:port",
        "$.upstreams.e1.models: is required for an engine",
        "$.exceptions.ghost.reason: is required and must not be empty",
        "$.exceptions: team \"ghost\" does not exist"}) {
    CHECK_TRUE_TEXT(text.find(expected) != std::string::npos,
                    (std::string(expected) + "\n" + text).c_str());
  }
}

TEST(ConfigCheck, NamesTheLineOfASyntaxError) {
  Findings findings;
  CHECK_FALSE(ParseConfiguration("{\n\"a\": 1,\n}", findings).has_value());
  CHECK_EQUAL(std::string("line 3"), findings.all().front().location);
}

TEST_GROUP(ConfigStateMachine) {
  ConfigStateMachine state_machine;
};

TEST(ConfigStateMachine, AcceptsOnlyTheFirstOfTwoConcurrentChanges) {
  CHECK_TRUE(this->state_machine.ApplyBytes(Record(0, R"({"a":1})")) ==
             ConfigRecordResult::kAccepted);
  CHECK_TRUE(this->state_machine.ApplyBytes(Record(1, R"({"a":2})")) ==
             ConfigRecordResult::kAccepted);
  CHECK_TRUE(this->state_machine.ApplyBytes(Record(1, R"({"a":3})")) ==
             ConfigRecordResult::kVersionConflict);
  CHECK_EQUAL(2U, this->state_machine.version());
  CHECK_EQUAL(2, this->state_machine.document()["a"].get<int>());
}

TEST(ConfigStateMachine, IgnoresRepeatedAndUnreadableRecords) {
  this->state_machine.ApplyBytes(Record(0, R"({"a":1})"));
  CHECK_TRUE(this->state_machine.ApplyBytes(Record(0, R"({"a":1})")) ==
             ConfigRecordResult::kVersionConflict);
  CHECK_TRUE(this->state_machine.ApplyBytes("\xff") ==
             ConfigRecordResult::kUnreadable);
  CHECK_TRUE(this->state_machine.ApplyBytes(Record(1, "not json")) ==
             ConfigRecordResult::kUnreadable);
  CHECK_EQUAL(1U, this->state_machine.version());
}

TEST(ConfigStateMachine, StartsOnlyFromASnapshotAtItsStatedOffset) {
  this->state_machine.ApplyBytes(Record(0, R"({"a":1})"));
  const std::string snapshot =
      this->state_machine.ToSnapshot().SerializeAsString();
  ConfigStateMachine reader;
  reader.StartAt(1);
  CHECK_TRUE(reader.ApplyBytes(Record(1, R"({"a":2})")) ==
             ConfigRecordResult::kNoState);
  CHECK_TRUE(reader.ApplyBytes(snapshot) == ConfigRecordResult::kMisplaced);
  ConfigStateMachine second;
  second.StartAt(1);
  CHECK_TRUE(second.ApplyBytes(snapshot) == ConfigRecordResult::kAccepted);
  CHECK_EQUAL(1U, second.version());
}

TEST(ConfigStateMachine, NeverAdoptsAnOlderVersionFromAPeer) {
  this->state_machine.ApplyBytes(Record(0, R"({"a":1})"));
  this->state_machine.ApplyBytes(Record(1, R"({"a":2})"));
  CHECK_FALSE(this->state_machine.Adopt(1, 1, R"({"a":1})"));
  CHECK_EQUAL(2U, this->state_machine.version());
  CHECK_TRUE(this->state_machine.Adopt(5, 9, R"({"a":5})"));
  CHECK_EQUAL(9U, this->state_machine.next_offset());
}

TEST(ConfigStateMachine, RejectsChangesAfterAGapInTheStream) {
  this->state_machine.ApplyBytes(Record(0, R"({"a":1})"));
  this->state_machine.StartAt(
      7);  // The log dropped records 1 to 6 before they were read.
  CHECK_TRUE(this->state_machine.ApplyBytes(Record(1, R"({"a":9})")) ==
             ConfigRecordResult::kNoState);
  CHECK_EQUAL(1, this->state_machine.document()["a"].get<int>());
}
