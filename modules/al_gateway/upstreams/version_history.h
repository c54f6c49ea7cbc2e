#ifndef AL_GATEWAY_UPSTREAMS_VERSION_HISTORY_H_
#define AL_GATEWAY_UPSTREAMS_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

class UpstreamDirectory;

/** The software versions of each service's upstreams that this router has seen
    listed lately, leaving and lapsed ones included. While there is only one, a
    stream can have begun at no other.

    Thread safety: none; use on one thread.
*/
class VersionHistory {
 public:
  /** How long a version counts that is listed no more: the lifetime of a stream
      (see StreamOriginTable). */
  static constexpr Duration kPeriod = std::chrono::seconds(30);

  /** A version, and when it was listed last. */
  struct Sighting {
    std::string service;
    std::string version;
    Duration age{};
  };

  /** @param directory        outlives the history.
      @param stream_lifetime  from which on the history IsComplete(). */
  VersionHistory(const UpstreamDirectory& directory, Duration stream_lifetime)
      : directory(directory), stream_lifetime(stream_lifetime) {}

  VersionHistory(const VersionHistory&) = delete;
  auto operator=(const VersionHistory&) -> VersionHistory& = delete;

  /** Begins the history. Call it as soon as the directory holds all upstreams
     that are listed; it has no effect after that.
      @param covered_since  since when no stream can have begun at a version
     that is not listed: now, unless there was no router that could begin one.
   */
  auto Begin(Instant covered_since) -> void;

  /** Records what is listed now. Call it at least once a second. */
  auto Update(Instant now) -> void;

  /** Adds what another router has seen. From now on the history reaches back as
     far as the other one's. It has no effect before Begin(): what was listed
     after the other router looked, and before this one did, would be missing.
      @param covered  how far back the other router's history reaches. */
  auto Extend(std::span<const Sighting> sightings,
              Duration covered,
              Instant now) -> void;

  /** Returns what this router has seen lately, as of the last Update(). */
  [[nodiscard]] auto Sightings(Instant now) const -> std::vector<Sighting>;

  /** Returns how far back the history reaches; 0 if it has not begun. */
  [[nodiscard]] auto CoveredTime(Instant now) const -> Duration {
    return this->began_at ? now - *this->began_at : Duration(0);
  }

  /** Returns the versions of a service, those that are listed now included. An
      empty one is that of upstreams whose records name none. */
  [[nodiscard]] auto VersionsOf(std::string_view service, Instant now) const
      -> std::set<std::string>;

  /** Returns whether streams of more than one version may exist. */
  [[nodiscard]] auto IsMixed(std::string_view service, Instant now) const
      -> bool {
    return this->VersionsOf(service, now).size() > 1;
  }

  /** Returns whether the history covers the time within which a stream that may
     be taken up now has begun. */
  [[nodiscard]] auto IsComplete(Instant now) const -> bool {
    return this->began_at && this->CoveredTime(now) >= this->stream_lifetime;
  }

 private:
  const UpstreamDirectory& directory;
  Duration stream_lifetime;
  std::optional<Instant> began_at;
  std::map<std::string, std::map<std::string, Instant>, std::less<>>
      listed_at;  ///< By service and version.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_VERSION_HISTORY_H_
