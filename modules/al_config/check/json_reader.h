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

/** Reads the members of one JSON object and notes every fault with its path.

    Each read names a member, its limits and what stands for it when it is
   absent. Finish() reports the members that no read asked for, so that a
   misspelt setting is not passed over.

    Thread safety: none; used on one thread.
*/
class JsonReader {
 public:
  /** @param json  an object; anything else is noted as a finding and read as
     empty. Both references must outlive the reader. */
  JsonReader(const nlohmann::json& json, std::string path, Findings& findings);

  //============================================================================
  // Commands: they note findings

  /** A string; a missing required one, or an empty one, is a finding. */
  auto RequiredString(std::string_view name) -> std::string;
  auto String(std::string_view name, std::string_view fallback) -> std::string;
  auto Boolean(std::string_view name, bool fallback) -> bool;
  auto Integer(std::string_view name,
               std::int64_t fallback,
               std::int64_t least,
               std::int64_t most) -> std::int64_t;
  auto Number(std::string_view name, double fallback, double least, double most)
      -> double;

  /** One of `choices`; its index. Another value is a finding. */
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

  /** Calls `read` with an object member, or with an empty object where it is
   * absent. */
  auto Object(std::string_view name,
              const std::function<void(JsonReader& item)>& read) -> void;

  /** The strings of an array member. */
  auto Strings(std::string_view name) -> std::vector<std::string>;

  /** Notes a finding about `name`. */
  auto AddFinding(std::string_view name, std::string_view text) -> void;

  /** Notes all members that were not read. */
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
