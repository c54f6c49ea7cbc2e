#include "load/workload.h"

#include <nlohmann/json.hpp>

#include "al_config/check/json_reader.h"

namespace auburnloft::load {

namespace {

constexpr double kMaxWeight = 1e6;
constexpr std::int64_t kMaxCharacters = 1'000'000;

auto ReadKind(std::string_view name, JsonReader& reader) -> RequestKind {
  RequestKind kind;
  kind.name = name;
  kind.weight = reader.Number("weight", 1.0, 0.0, kMaxWeight);
  kind.service = reader.String("service", "");
  kind.method = reader.String("method", "POST");
  kind.path = reader.String("path", "/");
  kind.request_class = reader.String("class", "");
  kind.prompt_characters = static_cast<std::size_t>(
      reader.Integer("prompt_characters", 200, 1, kMaxCharacters));
  kind.shared_characters = static_cast<std::size_t>(
      reader.Integer("shared_characters", 0, 0, kMaxCharacters));
  kind.pieces =
      static_cast<std::size_t>(reader.Integer("pieces", 16, 1, kMaxCharacters));
  kind.stream = reader.Boolean("stream", true);
  kind.read_bytes_per_second = static_cast<std::size_t>(
      reader.Integer("read_bytes_per_second", 0, 0, kMaxCharacters));
  return kind;
}

}  // namespace

auto ParseWorkload(std::string_view text, Findings& findings)
    -> std::optional<Workload> {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  Workload workload;
  JsonReader reader(json, "$", findings);
  workload.model = reader.RequiredString("model");
  reader.ForEachMember("teams", [&](std::string_view name, JsonReader& item) {
    TeamLoad& team = workload.teams.emplace_back();
    team.team = TeamId(name);
    team.key = item.RequiredString("key");
    team.weight = item.Number("weight", 1.0, 0.0, kMaxWeight);
    item.ForEachMember("kinds", [&](std::string_view kind, JsonReader& inner) {
      team.kinds.push_back(ReadKind(kind, inner));
    });
    if (team.kinds.empty()) {
      item.AddFinding("kinds", "is required and must not be empty");
    }
  });
  if (workload.teams.empty()) {
    reader.AddFinding("teams", "is required and must not be empty");
  }
  reader.Finish();
  return findings.empty() ? std::optional(workload) : std::nullopt;
}

}  // namespace auburnloft::load
