#include "al_config/check/json_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace auburnloft {

JsonReader::JsonReader(const nlohmann::json& json,
                       std::string path,
                       Findings& findings)
    : json(json), path(std::move(path)), findings(findings) {
  if (!json.is_object()) {
    findings.Add(this->path, "is not an object");
  }
}

auto JsonReader::Member(std::string_view name) -> const nlohmann::json* {
  this->read_names.emplace(name);
  if (!this->Has(name)) {
    return nullptr;
  }
  return &this->json.at(std::string(name));
}

auto JsonReader::RequiredString(std::string_view name) -> std::string {
  std::string text = this->String(name, "");
  if (text.empty()) {
    this->AddFinding(name, "is required and must not be empty");
  }
  return text;
}

auto JsonReader::String(std::string_view name, std::string_view fallback)
    -> std::string {
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return std::string(fallback);
  }
  if (!member->is_string()) {
    this->AddFinding(name, "is not a string");
    return std::string(fallback);
  }
  return member->get<std::string>();
}

auto JsonReader::Boolean(std::string_view name, bool fallback) -> bool {
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_boolean()) {
    this->AddFinding(name, "is neither true nor false");
    return fallback;
  }
  return member->get<bool>();
}

auto JsonReader::Integer(std::string_view name,
                         std::int64_t fallback,
                         std::int64_t min,
                         std::int64_t max) -> std::int64_t {
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return fallback;
  }
  const bool in_range = member->is_number_integer() &&
                        member->get<std::int64_t>() >= min &&
                        member->get<std::int64_t>() <= max;
  if (!in_range) {
    this->AddFinding(name, "is not a whole number from " + std::to_string(min) +
                               " to " + std::to_string(max));
    return fallback;
  }
  return member->get<std::int64_t>();
}

auto JsonReader::Number(std::string_view name,
                        double fallback,
                        double min,
                        double max) -> double {
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return fallback;
  }
  const bool in_range = member->is_number() && member->get<double>() >= min &&
                        member->get<double>() <= max;
  if (!in_range) {
    std::ostringstream text;
    text << "is not a number from " << min << " to " << max;
    this->AddFinding(name, text.str());
    return fallback;
  }
  return member->get<double>();
}

auto JsonReader::Choice(std::string_view name,
                        std::size_t fallback,
                        std::initializer_list<std::string_view> choices)
    -> std::size_t {
  const std::string_view fallback_text = *(choices.begin() + fallback);
  const std::string text = this->String(name, fallback_text);
  const auto* const found = std::ranges::find(choices, text);
  if (found == choices.end()) {
    std::string list;
    for (const std::string_view choice : choices) {
      list += (list.empty() ? "" : ", ") + std::string(choice);
    }
    this->AddFinding(name, "\"" + text + "\" is none of: " + list);
    return fallback;
  }
  return static_cast<std::size_t>(found - choices.begin());
}

auto JsonReader::ForEach(std::string_view name,
                         const std::function<void(JsonReader& item)>& read)
    -> void {
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    this->AddFinding(name, "is not an array");
    return;
  }
  std::size_t index = 0;
  for (const nlohmann::json& item : *member) {
    JsonReader reader(item,
                      this->PathOf(name) + "[" + std::to_string(index++) + "]",
                      this->findings);
    read(reader);
    reader.Finish();
  }
}

auto JsonReader::ForEachMember(
    std::string_view name,
    const std::function<void(std::string_view key, JsonReader& item)>& read)
    -> void {
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return;
  }
  if (!member->is_object()) {
    this->AddFinding(name, "is not an object");
    return;
  }
  for (const auto& [key, item] : member->items()) {
    JsonReader reader(item, this->PathOf(name) + "." + key, this->findings);
    if (key.empty()) {
      reader.AddFinding("", "has an empty name");
    }
    read(key, reader);
    reader.Finish();
  }
}

auto JsonReader::Object(std::string_view name,
                        const std::function<void(JsonReader& item)>& read)
    -> void {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  const nlohmann::json* const member = this->Member(name);
  JsonReader reader(member == nullptr ? kEmpty : *member, this->PathOf(name),
                    this->findings);
  read(reader);
  reader.Finish();
}

auto JsonReader::Strings(std::string_view name) -> std::vector<std::string> {
  std::vector<std::string> texts;
  const nlohmann::json* const member = this->Member(name);
  if (member == nullptr) {
    return texts;
  }
  const bool all_texts =
      member->is_array() && std::ranges::all_of(*member, [](const auto& item) {
        return item.is_string();
      });
  if (!all_texts) {
    this->AddFinding(name, "is not an array of strings");
    return texts;
  }
  return member->get<std::vector<std::string>>();
}

auto JsonReader::AddFinding(std::string_view name, std::string_view text)
    -> void {
  this->findings.Add(this->PathOf(name), text);
}

auto JsonReader::Finish() -> void {
  if (!this->json.is_object()) {
    return;
  }
  for (const auto& [name, value] : this->json.items()) {
    if (!this->read_names.contains(name)) {
      this->AddFinding(name, "is not a known setting");
    }
  }
}

auto JsonReader::Has(std::string_view name) const -> bool {
  return this->json.is_object() && this->json.contains(std::string(name));
}

auto JsonReader::PathOf(std::string_view name) const -> std::string {
  return this->path + "." + std::string(name);
}

}  // namespace auburnloft
