#ifndef AL_CONFIG_CHECK_JSON_READER_H_
#define AL_CONFIG_CHECK_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "al_core/errors/findings.h"

namespace auburnloft {

/** Reads the members of one JSON object and adds a finding with its path for
   every fault.

    Each read takes a member's name, its limits and the value to use if it is
   absent. Finish() reports the members that were not read, so that a misspelt
   setting is not ignored silently.

    Thread safety: none; used on one thread.
*/
class JsonReader {
 public:
  /** @param json  an object; any other value adds a finding and is read as an
   * empty object. Both references must outlive the reader. */
  JsonReader(const nlohmann::json& json, std::string path, Findings& findings);

  //============================================================================
  // Commands: each adds findings

  /** A string; adds a finding if it is missing or empty. */
  auto RequiredString(std::string_view name) -> std::string;
  auto String(std::string_view name, std::string_view fallback) -> std::string;
  auto Boolean(std::string_view name, bool fallback) -> bool;
  auto Integer(std::string_view name,
               std::int64_t fallback,
               std::int64_t min,
               std::int64_t max) -> std::int64_t;
  auto Number(std::string_view name, double fallback, double min, double max)
      -> double;

  /** Returns the index of the value in `choices`; any other value adds a
   * finding. */
  auto Choice(std::string_view name,
              std::size_t fallback,
              std::initializer_list<std::string_view> choices) -> std::size_t;

  /** Calls `read` for each object of an array member. */
  auto ForEach(std::string_view name,
               const std::function<void(JsonReader& item)>& read) -> void;

  /** Calls `read` for each member of an object member, with the member's name.
   */
  auto ForEachMember(
      std::string_view name,
      const std::function<void(std::string_view key, JsonReader& item)>& read)
      -> void;

  /** Calls `read` with an object member, or with an empty object if it is
   * absent. */
  auto Object(std::string_view name,
              const std::function<void(JsonReader& item)>& read) -> void;

  /** The strings of an array member. */
  auto Strings(std::string_view name) -> std::vector<std::string>;

  /** Adds a finding about member `name`. */
  auto AddFinding(std::string_view name, std::string_view text) -> void;

  /** Adds a finding for each member that was not read. */
  auto Finish() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto Has(std::string_view name) const -> bool;

  /** The path of member `name`, such as `$.teams[2].key_sha256`. */
  [[nodiscard]] auto PathOf(std::string_view name) const -> std::string;

 private:
  auto Member(std::string_view name) -> const nlohmann::json*;

  const nlohmann::json& json;
  std::string path;
  Findings& findings;
  std::set<std::string, std::less<>> read_names;
};

}  // namespace auburnloft

#endif  // AL_CONFIG_CHECK_JSON_READER_H_
