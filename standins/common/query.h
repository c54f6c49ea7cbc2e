#ifndef COMMON_QUERY_H_
#define COMMON_QUERY_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft::standins {

/** Reads parameters from the query of a request target. Values are
    percent-decoded.

    Thread safety: immutable.
*/
class Query {
 public:
  /** @pre `target` outlives the query. */
  explicit Query(std::string_view target);

  /** The value of a parameter, or empty if it is absent. */
  [[nodiscard]] auto Text(std::string_view name) const -> std::string;

  /** The value of a parameter as an integer, or 0 if it is absent or not a
      number. */
  [[nodiscard]] auto Number(std::string_view name) const -> std::uint64_t;

 private:
  std::string_view items;
};

}  // namespace auburnloft::standins

#endif  // COMMON_QUERY_H_
