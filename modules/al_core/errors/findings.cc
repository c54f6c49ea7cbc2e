#include "al_core/errors/findings.h"

namespace auburnloft {

auto Findings::Add(std::string_view location, std::string_view text) -> void {
  this->items.push_back({std::string(location), std::string(text)});
}

auto Findings::empty() const -> bool {
  return this->items.empty();
}

auto Findings::all() const -> std::span<const Finding> {
  return this->items;
}

auto Findings::ToText() const -> std::string {
  std::string text;
  for (const Finding& finding : this->items) {
    text += finding.location + ": " + finding.text + "\n";
  }
  return text;
}

}  // namespace auburnloft
