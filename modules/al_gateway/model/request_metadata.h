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

/** What a generation needs, as its caller states it. */
struct GenerationMetadata {
  std::string model;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;  ///< In the order of the prompt.

  /** What the request costs its team at most, in tokens. */
  [[nodiscard]] auto max_total_tokens() const -> std::uint64_t {
    return this->prompt_tokens + this->max_output_tokens;
  }
};

/** What the header of a caller's request says. */
struct RequestMetadata {
  std::string attempt_id;  ///< Names one attempt of the caller; may be empty.
  std::string host;        ///< In lower case, without a port.
  std::string path;        ///< Without the query.
  std::optional<Duration> timeout;  ///< How long the caller waits.
  std::optional<std::string> key;   ///< The team's key.
  std::optional<GenerationMetadata> generation;
  std::optional<std::uint64_t> last_event_id;  ///< Where a stream goes on.
};

/** What a router adds to a request for its upstream. */
struct UpstreamRequestMetadata {
  std::string instance_id;  ///< The upstream that must answer.
  std::string team;         ///< Empty: none.
  Duration time_left{0};
  std::optional<int> priority;                 ///< 0 is the most urgent.
  std::optional<std::uint64_t> last_event_id;  ///< Where a stream goes on.
};

/** What the header of an upstream's answer says. */
struct ResponseMetadata {
  int status = 0;
  std::string attempt_id;     ///< Empty where the upstream names none.
  bool not_executed = false;  ///< The upstream states that it did not run it.
  bool is_replaced = false;   ///< Another upstream has the address.
  bool is_encoded = false;    ///< The body is not in its plain form.
  std::optional<Duration>
      idle_timeout;  ///< How long it keeps idle connections.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MODEL_REQUEST_METADATA_H_
