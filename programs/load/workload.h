#ifndef PROGRAMS_LOAD_WORKLOAD_H_
#define PROGRAMS_LOAD_WORKLOAD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/errors/findings.h"
#include "al_core/ids/ids.h"

namespace auburnloft::load {

/** One kind of request that a team's callers send. */
struct RequestKind {
  std::string name;
  double weight = 1.0;
  std::string service;  ///< Empty for chat.
  std::string method = "POST";
  std::string path;           ///< Of a service call.
  std::string request_class;  ///< Of a chat; empty for the default.
  std::size_t prompt_characters = 200;
  std::size_t shared_characters =
      0;  ///< Of the prompt, common to all requests of the kind.
  std::size_t pieces = 16;
  bool stream = true;
  std::size_t read_bytes_per_second =
      0;  ///< Of a slow caller; 0 reads as fast as it comes.
};

/** A team and its callers. */
struct TeamLoad {
  TeamId team;
  std::string key;
  double weight = 1.0;
  std::vector<RequestKind> kinds;
};

/** What callers send. */
struct Workload {
  std::string model;
  std::vector<TeamLoad> teams;
};

/** Parses a workload's JSON; all faults go to `findings`. */
[[nodiscard]] auto ParseWorkload(std::string_view text, Findings& findings)
    -> std::optional<Workload>;

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_WORKLOAD_H_
