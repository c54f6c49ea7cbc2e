#ifndef AL_GATEWAY_UPSTREAMS_COLD_UPSTREAMS_H_
#define AL_GATEWAY_UPSTREAMS_COLD_UPSTREAMS_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_process.h"

namespace auburnloft::gateway {

class UpstreamLimits;
class UpstreamState;
struct ServiceRule;
struct UpstreamRecord;

/** Decides which upstreams are cold, and until when: by their records, after
   their domain's evacuation has ended, and after this router could not connect
   to them. Limits those whose service names a rate for cold upstreams through
   UpstreamLimits, until they are warm.

    An upstream that cannot be reached counts as cold for the warm-up period of
   its service, again from its first response on. If upstreams of two or more
   failure domains cannot be reached within a moment, this router's own
   connection is at fault, and none of them counts as cold for it: a router of a
   large fleet would else have no upstream to send to when it is back.

    Thread safety: none; used on one thread.
*/
class ColdUpstreams {
 public:
  /** Why an upstream counts as cold. */
  enum class Reason { kRecord, kEvacuationEnded, kUnreachable };

  struct Change {
    UpstreamProcess upstream;
    std::string domain;
    Reason reason = Reason::kRecord;
    double per_second = 0.0;  ///< Requests that it tolerates; 0: no limit.
    Instant since{};
    Instant ends_at{};
  };
  using OnCold = std::function<void(const Change&)>;

  /** Returns the rule of a service; null if there is none. */
  using RuleOf = std::function<const ServiceRule*(std::string_view service)>;

  /** Upstreams of several domains that cannot be reached within this time have
     one cause. A busy router tries upstreams of each domain more often. */
  static constexpr Duration kSameFault = std::chrono::milliseconds(2'000);

  /** @param limits   must outlive this object.
      @param on_cold  called when an upstream that was warm counts as cold. */
  ColdUpstreams(UpstreamLimits& limits, RuleOf rule_of, OnCold on_cold);

  ColdUpstreams(const ColdUpstreams&) = delete;
  auto operator=(const ColdUpstreams&) -> ColdUpstreams& = delete;

  //============================================================================
  // Commands

  /** Records what an upstream's newest record tells. @pre it is listed. */
  auto RecordWarmUp(const UpstreamRecord& upstream, Instant now) -> void;

  /** Records that the evacuation of a domain with these upstreams has ended:
     their records may not tell yet that they are cold. */
  auto RecordEvacuationEnd(
      std::span<const std::shared_ptr<UpstreamState>> upstreams,
      Instant now) -> void;

  /** Records that this router could not connect to an upstream. */
  auto RecordUnreachable(const UpstreamRecord& upstream, Instant now) -> void;

  /** Records a response of an upstream to this router. */
  auto RecordResponse(const UpstreamProcess& upstream, Instant now) -> void;

  /** Applies the rates of a new configuration, and drops what is outdated; call
     it regularly. */
  auto Update(Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns whether an upstream counted as cold at `at`, up to kMemory ago. */
  [[nodiscard]] auto WasColdAt(const UpstreamProcess& upstream,
                               Instant at) const -> bool;

  /** Returns how many upstreams are cold. */
  [[nodiscard]] auto CountCold(Instant now) const -> int;

  /** How long it is remembered that an upstream was cold: longer than the end
     of an upstream takes to be confirmed. */
  static constexpr Duration kMemory = std::chrono::seconds(30);

 private:
  struct Entry {
    std::string service;
    std::string domain;
    Instant since{};
    Instant record_ends_at{};   ///< By the upstream's record.
    Instant assumed_ends_at{};  ///< By what happened to it.
    Instant unreachable_at{};
    bool awaits_response = false;

    [[nodiscard]] auto ends_at() const -> Instant {
      return this->record_ends_at > this->assumed_ends_at
                 ? this->record_ends_at
                 : this->assumed_ends_at;
    }
  };

  [[nodiscard]] auto PeriodOf(std::string_view service) const -> Duration;
  [[nodiscard]] auto RateOf(std::string_view service) const -> double;
  auto EntryOf(const UpstreamRecord& upstream) -> Entry&;
  /** Applies the change of an entry that ended at `ended_at` before. */
  auto Apply(const UpstreamProcess& upstream,
             Entry& entry,
             Instant ended_at,
             Reason reason,
             Instant now) -> void;
  /** Returns whether upstreams of another domain than `domain` could not be
     reached lately, either. */
  [[nodiscard]] auto IsOwnConnectionAtFault(std::string_view domain,
                                            Instant now) const -> bool;
  auto ClearUnreachable(Instant now) -> void;

  UpstreamLimits& limits;
  RuleOf rule_of;
  OnCold on_cold;
  std::map<UpstreamProcess, Entry> entries;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_COLD_UPSTREAMS_H_
