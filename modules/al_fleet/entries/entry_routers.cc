#include "al_fleet/entries/entry_routers.h"

#include <algorithm>
#include <set>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** The listed routers that accept callers, in descending order of their
    rendezvous weight for `team`. */
auto RankedRouters(const TeamId& team, const Membership& membership)
    -> std::vector<Vm> {
  std::vector<Vm> ranked;
  for (const auto& [name, router] : membership.routers()) {
    if (!router.draining && !router.vm.http_address.empty()) {
      ranked.push_back(router.vm);
    }
  }
  std::ranges::sort(ranked, std::greater<>(), [&](const Vm& vm) {
    return StableHash(vm.name, team.value());
  });
  return ranked;
}

}  // namespace

auto SelectEntryRouters(const TeamId& team,
                        const Membership& membership,
                        std::size_t count) -> std::vector<Vm> {
  const std::vector<Vm> ranked = RankedRouters(team, membership);
  std::vector<Vm> selected;
  std::vector<Vm> same_domain;
  std::set<DomainId> domains;
  for (const Vm& vm : ranked) {
    if (domains.insert(vm.domain).second) {
      selected.push_back(vm);
    } else {
      same_domain.push_back(vm);
    }
  }
  selected.insert(selected.end(), same_domain.begin(), same_domain.end());
  selected.resize(std::min(selected.size(), count));
  return selected;
}

}  // namespace auburnloft
