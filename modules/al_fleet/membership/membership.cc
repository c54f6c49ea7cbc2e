#include "al_fleet/membership/membership.h"

#include <algorithm>
#include <utility>

namespace auburnloft {

Membership::Membership(IncarnationId self, Vm self_vm)
    : self(std::move(self)), self_name(RouterOf(this->self)) {
  Router& own = this->all[this->self_name];
  own.vm = std::move(self_vm);
  own.incarnation = this->self;
}

//==============================================================================
// Commands

auto Membership::OnVmList(Instant now, const VmList& list)
    -> std::vector<RouterId> {
  std::set<RouterId> listed{this->self_name};
  this->leaving_upstreams.clear();
  for (const Vm& vm : list) {
    const bool leaving = vm.state == VmState::kLeaving;
    if (vm.role == "upstream") {
      if (leaving) {
        this->leaving_upstreams.insert(UpstreamId(vm.name));
      }
      continue;
    }
    const RouterId name(vm.name);
    listed.insert(name);
    if (name == this->self_name) {
      this->self_leaving = leaving;
      continue;
    }
    Router& router = this->all[name];
    router.vm = vm;
    router.draining =
        leaving || this->draining_incarnations.contains(router.incarnation);
  }
  std::vector<RouterId> removed;
  std::erase_if(this->all, [&](const auto& item) {
    if (listed.contains(item.first)) {
      return false;
    }
    removed.push_back(item.first);
    return true;
  });
  for (const RouterId& router : removed) {
    this->MarkExpired(router, ToUnixMillis(now));
  }
  return removed;
}

auto Membership::RecordContact(Instant now, const IncarnationId& incarnation)
    -> bool {
  const auto found = this->all.find(RouterOf(incarnation));
  if (found == this->all.end() || incarnation == this->self) {
    return false;
  }
  Router& router = found->second;
  const std::int64_t started = StartedAtMs(incarnation);
  if (!router.incarnation.empty() && router.incarnation != incarnation &&
      started < StartedAtMs(router.incarnation)) {
    return false;  // A late message of an earlier incarnation.
  }
  router.last_contact = now;
  if (router.incarnation == incarnation) {
    return false;
  }
  router.incarnation = incarnation;
  router.draining = this->draining_incarnations.contains(incarnation);
  return this->MarkExpired(found->first, started);
}

auto Membership::OnHeartbeat(const IncarnationId& incarnation,
                             std::uint32_t open_requests,
                             bool is_draining) -> void {
  const auto found = this->all.find(RouterOf(incarnation));
  if (found == this->all.end() || found->second.incarnation != incarnation) {
    return;
  }
  found->second.open_requests = open_requests;
  if (is_draining) {
    this->MarkDraining(incarnation);
  }
}

auto Membership::MarkExpired(const RouterId& router, std::int64_t before_ms)
    -> bool {
  std::int64_t& expired_before_ms = this->expired[router];
  if (before_ms <= expired_before_ms) {
    return false;
  }
  expired_before_ms = before_ms;
  return true;
}

auto Membership::MarkDraining(const IncarnationId& incarnation) -> bool {
  if (!this->draining_incarnations.insert(incarnation).second) {
    return false;
  }
  const auto found = this->all.find(RouterOf(incarnation));
  if (found != this->all.end() && found->second.incarnation == incarnation) {
    found->second.draining = true;
  }
  return true;
}

//==============================================================================
// Queries

auto Membership::IsExpired(const IncarnationId& incarnation) const -> bool {
  const auto found = this->expired.find(RouterOf(incarnation));
  return found != this->expired.end() && incarnation != this->self &&
         StartedAtMs(incarnation) < found->second;
}

auto Membership::ActiveRouters() const -> std::vector<RouterId> {
  std::vector<RouterId> active;
  for (const auto& [name, router] : this->all) {
    if (!router.draining) {
      active.push_back(name);
    }
  }
  return active;
}

auto Membership::AddressOf(const RouterId& router) const
    -> std::optional<PeerAddress> {
  const auto found = this->all.find(router);
  if (found == this->all.end() || found->second.vm.peer_address.empty()) {
    return std::nullopt;
  }
  return found->second.vm.peer_address;
}

auto Membership::IsUpstreamLeaving(const UpstreamId& upstream) const -> bool {
  return this->leaving_upstreams.contains(upstream);
}

auto Membership::IsSelfLeaving() const -> bool {
  return this->self_leaving;
}

}  // namespace auburnloft
