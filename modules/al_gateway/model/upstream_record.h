#ifndef AL_GATEWAY_MODEL_UPSTREAM_RECORD_H_
#define AL_GATEWAY_MODEL_UPSTREAM_RECORD_H_

#include <cstdint>
#include <string>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** What an upstream says of itself. */
struct UpstreamRecord {
  std::string id;  ///< Names one start of the upstream, mostly.
  std::string service;
  std::string address;  ///< `ip:port`.
  std::string domain;   ///< Its failure domain.
  int slots = 1;        ///< Requests that it works on at once.
  bool leaving = false;
  Duration warm_up_left{0};  ///< How much longer it is slow after its start.
  std::int64_t started_at_ms = 0;  ///< Unix time; 0 where it does not tell.

  auto operator==(const UpstreamRecord&) const -> bool = default;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_UPSTREAM_RECORD_H_
