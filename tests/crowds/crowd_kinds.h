#ifndef CROWDS_CROWD_KINDS_H_
#define CROWDS_CROWD_KINDS_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "crowds/crowd.h"

namespace auburnloft::testing {

/** Where a crowd goes. */
struct CrowdAddress {
  std::string_view name;
  std::string_view listener;  ///< As in CrowdTarget::AddressOf().
  std::string_view target;    ///< Of complete requests.
  bool has_key = false;       ///< Whether requests carry a valid key.
};

/** What a crowd does. */
struct CrowdKind {
  std::string_view name;
  std::function<CrowdScript(const CrowdAddress&)> script;
  bool needs_route = false;  ///< Played at the address with a route only.
};

/** Client with and without a route, entry, readiness, peer and metrics. */
[[nodiscard]] auto CrowdAddresses() -> std::span<const CrowdAddress>;

/** The kinds of crowds. The bodies that stop short have 60,000 bytes. */
[[nodiscard]] auto CrowdKinds() -> std::span<const CrowdKind>;

}  // namespace auburnloft::testing

#endif  // CROWDS_CROWD_KINDS_H_
