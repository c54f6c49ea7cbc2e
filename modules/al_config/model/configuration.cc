#include "al_config/model/configuration.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** Returns a pointer to the first matching item; null if none matches. */
template <typename Items, typename Predicate>
auto FindIn(const Items& items, Predicate predicate) ->
    typename Items::const_pointer {
  const auto found = std::ranges::find_if(items, predicate);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

auto Configuration::FindTeamByKey(std::string_view key_sha256) const
    -> const Team* {
  return FindIn(this->teams, [&](const Team& team) {
    return team.key_sha256 == key_sha256;
  });
}

auto Configuration::FindClass(std::string_view name) const
    -> const RequestClass* {
  return FindIn(this->classes, [&](const RequestClass& request_class) {
    return request_class.name == name;
  });
}

auto Configuration::FindUpstream(const UpstreamId& id) const
    -> const Upstream* {
  return FindIn(this->upstreams,
                [&](const Upstream& upstream) { return upstream.id == id; });
}

auto Configuration::FindCall(std::string_view service,
                             std::string_view method,
                             std::string_view path) const
    -> const ServiceCall* {
  const Service* const owner = FindIn(this->services, [&](const Service& item) {
    return item.name == service;
  });
  if (owner == nullptr) {
    return nullptr;
  }
  const ServiceCall* best = nullptr;
  for (const ServiceCall& call : owner->calls) {
    const bool matches =
        call.method == method && path.starts_with(call.path_prefix);
    if (matches && (best == nullptr ||
                    call.path_prefix.size() > best->path_prefix.size())) {
      best = &call;
    }
  }
  return best;
}

auto Configuration::HasService(std::string_view name) const -> bool {
  return FindIn(this->services, [&](const Service& service) {
           return service.name == name;
         }) != nullptr;
}

auto Configuration::HasModel(std::string_view model) const -> bool {
  return std::ranges::any_of(this->upstreams, [&](const Upstream& upstream) {
    return std::ranges::find(upstream.models, model) != upstream.models.end();
  });
}

auto Configuration::FindOverrides(const TeamId& team) const
    -> const TeamOverrides* {
  return FindIn(this->team_overrides,
                [&](const TeamOverrides& item) { return item.team == team; });
}

}  // namespace auburnloft
