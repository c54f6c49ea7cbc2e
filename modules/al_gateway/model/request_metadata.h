#ifndef AL_GATEWAY_MODEL_REQUEST_METADATA_H_
#define AL_GATEWAY_MODEL_REQUEST_METADATA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** A part of a prompt that other requests may share. */
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/** The properties of a generation, as its caller states them. */
struct GenerationMetadata {
  std::string model;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;  ///< Limit of generated tokens.
  std::vector<PromptPart> parts;        ///< In the order of the prompt.

  /** Returns the maximum tokens that the request takes from its team's budget.
   */
  [[nodiscard]] auto max_total_tokens() const -> std::uint64_t {
    return this->prompt_tokens + this->max_output_tokens;
  }
};

/** Metadata from the header of a caller's request. */
struct RequestMetadata {
  std::string attempt_id;  ///< Identifies one try of the caller; may be empty.
  std::string host;        ///< In lower case, without the port.
  std::string path;        ///< Without the query.
  std::optional<Duration> timeout;  ///< How long the caller waits.
  std::optional<std::string> key;   ///< The team's key.
  std::optional<GenerationMetadata> generation;
  std::optional<std::uint64_t> last_event_id;  ///< The stream resumes after it.
  std::string resumed_attempt_id;  ///< The attempt that began the stream; may
                                   ///< be empty.

  /** Returns whether the caller takes up a stream that has begun. */
  [[nodiscard]] auto takes_up_stream() const -> bool {
    return this->last_event_id.has_value() || !this->resumed_attempt_id.empty();
  }
};

/** Metadata that a router adds to a request for an upstream. */
struct UpstreamRequestMetadata {
  std::string instance_id;      ///< The upstream that must respond.
  std::string team;             ///< Empty if the request has no team.
  Duration time_left{0};        ///< Until the request's deadline.
  std::optional<int> priority;  ///< 0 is the highest priority.
  std::optional<std::uint64_t> last_event_id;  ///< The stream resumes after it.
};

/** Metadata from the header of an upstream's response. */
struct ResponseMetadata {
  int status = 0;
  std::string attempt_id;  ///< Empty if the upstream sent none.
  bool not_executed =
      false;  ///< The upstream states that it did not execute the request.
  bool is_replaced = false;     ///< Another upstream has the address now.
  bool is_encoded = false;      ///< The body has a content encoding.
  bool is_event_stream = true;  ///< The body is of that type, or of none.
  bool is_leaving = false;      ///< The upstream shuts down.
  std::optional<Duration> retry_after;  ///< The upstream wants no requests for
                                        ///< so long; may be below 0.
  std::optional<Instant> retry_at;      ///< As above, as a point in time.
  std::optional<double> request_limit;  ///< Requests a second that the upstream
                                        ///< takes from all routers together; at
                                        ///< least 0.
  bool is_sealed = false;  ///< It carries the seal of an upstream, without
                           ///< which no success may be forwarded.
  std::optional<Duration>
      idle_timeout;  ///< How long the upstream keeps idle connections.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_REQUEST_METADATA_H_
