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
  double weight = 1.0;  ///< Relative to the other kinds of the team.
  std::string service;  ///< Name of the called service; empty for a chat.
  std::string method = "POST";
  std::string path;           ///< Path of a service call.
  std::string request_class;  ///< Class of a chat; empty for the default.
  std::size_t prompt_characters = 200;
  std::size_t shared_characters =
      0;  ///< Length of the prompt prefix that all requests of the kind share.
  std::size_t pieces = 16;  ///< Output length of a chat, in tokens.
  bool stream = true;
  std::size_t read_bytes_per_second =
      0;  ///< Read rate of a slow caller; 0 for no limit.
};

/** A team and the requests of its callers. */
struct TeamLoad {
  TeamId team;
  std::string key;      ///< API key.
  double weight = 1.0;  ///< Relative to the other teams.
  std::vector<RequestKind> kinds;
};

/** The teams and the requests that their callers send. */
struct Workload {
  std::string model;
  std::vector<TeamLoad> teams;
};

/** Parses the JSON of a workload. Adds all errors to `findings` and returns
 * nothing if there are any. */
[[nodiscard]] auto ParseWorkload(std::string_view text, Findings& findings)
    -> std::optional<Workload>;

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_WORKLOAD_H_
