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

/** Whether a class of requests is answered while somebody stands and waits. */
enum class LatencyClass { kInteractive, kBackground };

/** A class of requests and its deadlines. */
struct RequestClass {
  std::string name;
  LatencyClass latency_class = LatencyClass::kInteractive;
  int priority = 0;         ///< Passed to engines; higher goes first.
  Duration queue_limit{0};  ///< The longest wait for an upstream.
  Duration deadline{0};     ///< The longest time to the last piece.
};

/** What answers requests behind the routers. */
enum class UpstreamKind { kEngine, kService };

struct Upstream {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string address;  ///< `ip:port`.
  DomainId domain;
  std::vector<std::string> models;  ///< Engines only.
  std::string service;              ///< Services only.
  std::uint32_t slots = 1;          ///< Requests that it runs at once.
  bool checks_fencing = false;  ///< Refuses orders with an old fencing number.
};

/** One kind of call of a plain service. */
struct ServiceCall {
  std::string method;
  std::string path_prefix;
  bool at_most_once = false;
  Tokens price = 1;
  std::string request_class;
};

struct Service {
  std::string name;
  std::vector<ServiceCall> calls;
};

struct Team {
  TeamId id;
  std::string key_sha256;  ///< Of the bearer key, in hexadecimal.
};

enum class AllowancePolicyKind { kDemandLed, kFixedChunk, kFixedSplit };

struct AllowanceSettings {
  AllowancePolicyKind policy = AllowancePolicyKind::kDemandLed;
  Duration cover = std::chrono::minutes(10);
  Tokens chunk = 10'000;
  bool transfers = true;
  bool reclaim = true;
};

struct LedgerSettings {
  PartitionIndex partitions = 8;
  std::uint32_t appends_per_second = 200;  ///< By all keepers together.
  std::uint32_t snapshot_every = 2000;     ///< Records.
};

struct RetrySettings {
  double budget_ratio = 0.1;  ///< Retries per request, at most.
  int max_attempts = 3;       ///< Of one request.
};

struct EntryListSettings {
  std::uint32_t count = 2;  ///< Addresses in a list.
  Duration hold = std::chrono::seconds(20);
};

enum class ChooserKind { kScored, kRandom, kRoundRobin, kLeastInFlight };

struct TrafficSettings {
  ChooserKind chooser = ChooserKind::kScored;
  double background_share = 0.7;  ///< Of an engine's slots, for patient work.
};

/** What applies to the whole fleet. */
struct Defaults {
  std::uint32_t max_output_tokens = 1024;  ///< Of a request that names none.
  std::string chat_class;
  AllowanceSettings allowance;
  LedgerSettings ledger;
  RetrySettings retry;
  EntryListSettings entries;
  TrafficSettings traffic;
};

/** A deviation from the defaults for one team, with the reason for it. */
struct TeamOverrides {
  TeamId team;
  std::string reason;
  std::optional<std::uint32_t> max_output_tokens;
  std::optional<std::string> chat_class;
  std::optional<std::uint32_t> entry_count;
};

/** The configuration of a fleet. Immutable once parsed.

    @see ConfigurationParser
*/
struct Configuration {
  std::uint64_t version = 0;
  Defaults defaults;
  std::vector<RequestClass> classes;
  std::vector<Team> teams;
  std::vector<Upstream> upstreams;
  std::vector<Service> services;
  std::vector<TeamOverrides> team_overrides;

  /** The team whose bearer key has this digest; null where there is none. */
  [[nodiscard]] auto FindTeamByKey(std::string_view key_sha256) const
      -> const Team*;
  [[nodiscard]] auto FindClass(std::string_view name) const
      -> const RequestClass*;
  [[nodiscard]] auto FindUpstream(const UpstreamId& id) const
      -> const Upstream*;

  /** The call of `service` that matches; the longest prefix wins. Null where
   * none does. */
  [[nodiscard]] auto FindCall(std::string_view service,
                              std::string_view method,
                              std::string_view path) const
      -> const ServiceCall*;
  [[nodiscard]] auto HasService(std::string_view name) const -> bool;
  [[nodiscard]] auto HasModel(std::string_view model) const -> bool;

  /** The exception for `team`; null where the defaults apply. */
  [[nodiscard]] auto FindOverrides(const TeamId& team) const
      -> const TeamOverrides*;
};

}  // namespace auburnloft

#endif  // AL_CONFIG_MODEL_CONFIGURATION_H_
