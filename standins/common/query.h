#ifndef COMMON_QUERY_H_
#define COMMON_QUERY_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft::standins {

/** The query of a request's target; percent signs are decoded.

    Thread safety: immutable.
*/
class Query {
 public:
  /** @pre `target` outlives the query. */
  explicit Query(std::string_view target);

  /** The value by name; empty where it is absent. */
  [[nodiscard]] auto Text(std::string_view name) const -> std::string;

  /** The value as a whole number; 0 where it is absent or none. */
  [[nodiscard]] auto Number(std::string_view name) const -> std::uint64_t;

 private:
  std::string_view items;
};

}  // namespace auburnloft::standins

#endif  // COMMON_QUERY_H_
