#include "ctl/merge_patch.h"

namespace auburnloft {

auto MakeMergePatch(const nlohmann::json& from, const nlohmann::json& to)
    -> nlohmann::json {
  nlohmann::json patch = nlohmann::json::object();
  for (const auto& [name, value] : from.items()) {
    if (!to.contains(name)) {
      patch[name] = nullptr;
    }
  }
  for (const auto& [name, value] : to.items()) {
    const bool is_new = !from.contains(name);
    if (!is_new && from[name] == value) {
      continue;
    }
    const bool both_objects =
        !is_new && from[name].is_object() && value.is_object();
    patch[name] = both_objects ? MakeMergePatch(from[name], value) : value;
  }
  return patch;
}

}  // namespace auburnloft
