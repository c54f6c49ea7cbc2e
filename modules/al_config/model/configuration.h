#ifndef AL_CONFIG_MODEL_CONFIGURATION_H_
#define AL_CONFIG_MODEL_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"

namespace auburnloft {

/** Whether somebody waits for the response (the setting `patience`: `quick`) or
 * not (`patient`). Interactive requests are dispatched first; background
 * requests use only a share of an engine's slots. */
enum class LatencyClass { kInteractive, kBackground };

/** A class of requests: its latency class, priority and time limits. */
struct RequestClass {
  std::string name;
  LatencyClass latency_class = LatencyClass::kInteractive;
  int priority = 0;  ///< Passed to engines, which schedule higher values first.
  Duration queue_limit{
      0};  ///< Maximum wait for tokens, and again for an upstream.
  Duration deadline{
      0};  ///< Maximum time from arrival to the last piece of the response.
};

/** Kinds of upstreams: model engines and plain services. */
enum class UpstreamKind { kEngine, kService };

/** An upstream: a model engine or a plain service. */
struct Upstream {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string address;  ///< `ip:port`.
  DomainId domain;
  std::vector<std::string> models;  ///< Engines only.
  std::string service;              ///< Services only.
  std::uint32_t slots = 1;          ///< Requests that it executes concurrently.
  bool checks_fencing =
      false;  ///< It rejects requests with an outdated fencing token.
};

/** A call of a plain service, selected by method and path prefix. */
struct ServiceCall {
  std::string method;
  std::string path_prefix;
  bool at_most_once = false;
  Tokens price = 1;
  std::string request_class;
};

/** A plain service and its calls. */
struct Service {
  std::string name;
  std::vector<ServiceCall> calls;
};

/** A team and the digest of the bearer key that identifies it. */
struct Team {
  TeamId id;
  std::string
      key_sha256;  ///< Digest of the bearer key, in lower-case hexadecimal.
};

/** How the size of a router's allowance is decided: by its demand, in chunks of
 * a fixed size, or as an equal share of the budget. */
enum class AllowancePolicyKind { kDemandLed, kFixedChunk, kFixedSplit };

/** Settings of allowances: the tokens of a team that one router holds. */
struct AllowanceSettings {
  AllowancePolicyKind policy = AllowancePolicyKind::kDemandLed;
  Duration cover = std::chrono::minutes(
      10);  ///< Minimum time for which an allowance lasts at the current rate
            ///< of use, with AllowancePolicyKind::kDemandLed.
  Tokens chunk =
      10'000;  ///< Size of a grant with AllowancePolicyKind::kFixedChunk.
  bool transfers = true;  ///< Routers may transfer tokens to each other, with
                          ///< AllowancePolicyKind::kDemandLed.
  bool reclaim =
      true;  ///< Unused tokens of expired incarnations return to the budget.
};

/** Settings of the ledger, which records budgets and bills in partitions. */
struct LedgerSettings {
  PartitionIndex partitions = 8;
  std::uint32_t appends_per_second =
      200;  ///< Limit for the whole fleet: all partition keepers (leaders)
            ///< together.
  std::uint32_t snapshot_every = 2000;  ///< In records.
};

/** Limits for retries at other upstreams. */
struct RetrySettings {
  double budget_ratio =
      0.1;               ///< Maximum average number of retries per request.
  int max_attempts = 3;  ///< Sends of one request, including the first.
};

/** Settings of entry lists: the lists of router addresses that callers use. */
struct EntryListSettings {
  std::uint32_t count = 2;  ///< Router addresses in a team's entry list.
  Duration hold =
      std::chrono::seconds(20);  ///< Time for which callers may use a list.
};

/** The policy that chooses the upstream of a request. */
enum class ChooserKind { kScored, kRandom, kRoundRobin, kLeastInFlight };

/** Settings of the choice of upstreams. */
struct TrafficSettings {
  ChooserKind chooser = ChooserKind::kScored;
  double background_share =
      0.7;  ///< Share of an engine's slots for background requests.
};

/** Settings that apply to the whole fleet, unless a team has overrides. */
struct Defaults {
  std::uint32_t max_output_tokens =
      1024;  ///< Applies to requests without a limit of their own.
  std::string chat_class;
  AllowanceSettings allowance;
  LedgerSettings ledger;
  RetrySettings retry;
  EntryListSettings entries;
  TrafficSettings traffic;
};

/** Settings of one team that replace the defaults, and the reason for them
 * (`exceptions` in the document). */
struct TeamOverrides {
  TeamId team;
  std::string reason;
  std::optional<std::uint32_t> max_output_tokens;
  std::optional<std::string> chat_class;
  std::optional<std::uint32_t> entry_count;
};

/** The configuration of a fleet. Not modified after parsing.

    @see ParseConfiguration
*/
struct Configuration {
  std::uint64_t version = 0;
  Defaults defaults;
  std::vector<RequestClass> classes;
  std::vector<Team> teams;
  std::vector<Upstream> upstreams;
  std::vector<Service> services;
  std::vector<TeamOverrides> team_overrides;

  /** The team whose bearer key has this digest; null if there is none. */
  [[nodiscard]] auto FindTeamByKey(std::string_view key_sha256) const
      -> const Team*;
  [[nodiscard]] auto FindClass(std::string_view name) const
      -> const RequestClass*;
  [[nodiscard]] auto FindUpstream(const UpstreamId& id) const
      -> const Upstream*;

  /** The call of `service` with this method and the longest matching path
   * prefix. Null if none matches. */
  [[nodiscard]] auto FindCall(std::string_view service,
                              std::string_view method,
                              std::string_view path) const
      -> const ServiceCall*;
  [[nodiscard]] auto HasService(std::string_view name) const -> bool;
  [[nodiscard]] auto HasModel(std::string_view model) const -> bool;

  /** The overrides of `team`; null if only the defaults apply. */
  [[nodiscard]] auto FindOverrides(const TeamId& team) const
      -> const TeamOverrides*;
};

}  // namespace auburnloft

#endif  // AL_CONFIG_MODEL_CONFIGURATION_H_
