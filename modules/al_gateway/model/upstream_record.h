#ifndef AL_GATEWAY_MODEL_UPSTREAM_RECORD_H_
#define AL_GATEWAY_MODEL_UPSTREAM_RECORD_H_

#include <cstdint>
#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_process.h"

namespace auburnloft::gateway {

/** An upstream's record about itself, which it renews in the log service. */
struct UpstreamRecord {
  std::string id;  ///< Usually new with each start.
  std::string service;
  std::string address;       ///< `ip:port`.
  std::string domain;        ///< Its failure domain.
  std::string version;       ///< Of its software; empty: its record names none.
  int slots = 1;             ///< Requests that it executes concurrently.
  bool leaving = false;      ///< It is draining and gets no new requests.
  Duration warm_up_left{0};  ///< Remaining slow period after its start.
  std::int64_t started_at_ms = 0;  ///< Unix time; 0 if unknown.

  [[nodiscard]] auto process() const -> UpstreamProcess {
    return {this->id, this->started_at_ms};
  }

  auto operator==(const UpstreamRecord&) const -> bool = default;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_UPSTREAM_RECORD_H_
