#ifndef AL_GATEWAY_UPSTREAMS_EVACUATION_TABLE_H_
#define AL_GATEWAY_UPSTREAMS_EVACUATION_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The failure domains that the operator evacuates, from the operator's records
   in the log service ("the log"), or from a reader, a router that reads them.

    After an outage or a restore of the log, a record that is missing or removed
   may be the word of an older copy. Such an evacuation is kept until a grace
   period has passed, and ends then if its record has not returned: sending
   nothing to a domain for some seconds longer costs less than sending
   something to one that is being switched off.

    Thread safety: none; used on one thread.
*/
class EvacuationTable {
 public:
  /** Where this router learned of a change. */
  enum class Source { kLog, kReader };

  struct Change {
    std::string domain;
    bool has_begun = false;  ///< If not, the evacuation has ended.
    Source source = Source::kLog;
  };
  using OnChange = std::function<void(const Change&)>;

  /** How long a missing evacuation is kept after a recovery of the log. The
     records of a restored log are complete again within two seconds, and a long
     poll of the operator's topic takes one. */
  static constexpr Duration kGracePeriod = std::chrono::milliseconds(3'000);

  /** Maximum number of domains, existing or not; more are ignored. It is far
     above the domains of any fleet, and bounds the messages of readers. */
  static constexpr std::size_t kMaxDomains = 1'024;

  /** @param on_change  called when an evacuation begins or ends. */
  explicit EvacuationTable(OnChange on_change);

  EvacuationTable(const EvacuationTable&) = delete;
  auto operator=(const EvacuationTable&) -> EvacuationTable& = delete;

  //============================================================================
  // Commands

  /** Applies a record of the log that begins or continues an evacuation. */
  auto Put(std::string_view domain) -> void;

  /** Applies a record of the log that ends an evacuation. */
  auto Remove(std::string_view domain, Instant now) -> void;

  /** Applies a full list read from the log. */
  auto SetListed(const std::set<std::string>& domains, Instant now) -> void;

  /** Applies the full list of a reader. */
  auto ApplyFromReader(const std::set<std::string>& domains, Instant now)
      -> void;

  /** Records that the log replies again after an outage, or was restored;
     starts the grace period. */
  auto RecordLogRecovery(Instant now) -> void;

  /** Ends missing evacuations whose grace period has passed; call it regularly.
   */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto IsEvacuated(std::string_view domain) const -> bool;

  /** Returns the evacuated domains. */
  [[nodiscard]] auto Domains() const -> std::set<std::string>;

  /** Returns whether a full list was applied: before, an evacuation may exist
     that is not in the table. */
  [[nodiscard]] auto is_known() const -> bool { return this->known; }

 private:
  /** When a missing evacuation ends; none if it is not missing. */
  using EndsAt = std::optional<Instant>;

  auto Apply(const std::set<std::string>& domains, Source source, Instant now)
      -> void;
  auto Begin(std::string_view domain, Source source) -> void;
  auto End(const std::string& domain, Source source, Instant now) -> void;

  OnChange on_change;
  std::map<std::string, EndsAt, std::less<>> by_domain;
  Instant grace_ends_at{};
  bool known = false;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_EVACUATION_TABLE_H_
