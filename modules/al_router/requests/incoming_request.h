#ifndef AL_ROUTER_REQUESTS_INCOMING_REQUEST_H_
#define AL_ROUTER_REQUESTS_INCOMING_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "al_config/model/configuration.h"
#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"
#include "al_traffic/upstreams/prefix_cache_estimate.h"

namespace auburnloft {

/** Where a stream that a caller has begun to receive can be taken up again. */
struct ResumePoint {
  UpstreamId upstream;
  std::string stream;          ///< The upstream's name of the stream.
  std::uint64_t sequence = 0;  ///< Of the last piece that the caller has.
};

/** A checked request, ready to be decided on. */
struct IncomingRequest {
  TeamId team;
  RequestKey key;
  std::int64_t issued_at_ms = 0;
  bool at_most_once = false;
  RequestClass request_class;
  std::string model;    ///< For engines.
  std::string service;  ///< For services; empty for engines.
  Tokens upper = 0;     ///< The most that it can cost.
  std::vector<PrefixDigest> prefix;
  std::optional<ResumePoint> resume;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_REQUESTS_INCOMING_REQUEST_H_
