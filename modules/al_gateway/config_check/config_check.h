#ifndef AL_GATEWAY_CONFIG_CHECK_CONFIG_CHECK_H_
#define AL_GATEWAY_CONFIG_CHECK_CONFIG_CHECK_H_

#include <cstddef>
#include <string>
#include <vector>

#include "al_core/errors/findings.h"
#include "al_gateway/model/fleet_config.h"

namespace auburnloft::gateway {

/** Finds what is wrong in a configuration that can be parsed: entries that can
    never match, and limits that contradict each other. Compares it with the
    version in force.

    Thread safety: immutable.
*/
class ConfigCheck {
 public:
  /** Settings of the fleet on which the findings depend. */
  struct Fleet {
    double retry_ratio = 0.2;  ///< As FleetRetryLimit.
    /** Memory of a router for large request bodies, as in GatewayDaemon. */
    std::size_t body_memory_bytes = std::size_t{32} << 20;
  };

  /** An entry that differs between two versions. */
  struct Difference {
    std::string entry;                ///< Such as `route read`.
    std::string change;               ///< `added`, `removed` or `changed`.
    std::vector<std::string> fields;  ///< That changed.
  };

  explicit ConfigCheck(const Fleet& fleet) : fleet(fleet) {}

  /** Returns the findings, each with its JSON pointer. */
  [[nodiscard]] auto Check(const FleetConfig& config) const -> Findings;

  /** Returns the entries that differ, by their names. A route without a name is
     named by its host and prefix. */
  [[nodiscard]] static auto Compare(const FleetConfig& before,
                                    const FleetConfig& after)
      -> std::vector<Difference>;

 private:
  static auto CheckMatches(const FleetConfig& config, Findings& findings)
      -> void;
  static auto CheckTeams(const FleetConfig& config, Findings& findings) -> void;
  static auto CheckServices(const FleetConfig& config, Findings& findings)
      -> void;
  auto CheckLimits(const FleetConfig& config, Findings& findings) const -> void;

  Fleet fleet;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_CONFIG_CHECK_CONFIG_CHECK_H_
