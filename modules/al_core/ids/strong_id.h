#ifndef AL_CORE_IDS_STRONG_ID_H_
#define AL_CORE_IDS_STRONG_ID_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace auburnloft {

/** A string identifier with a type per kind of object.

    Identifiers with different tags neither compare nor convert, so the compiler
   rejects a team where an upstream is expected. `Tag` is an incomplete struct.

    Thread safety: as std::string.

    @see ids.h
*/
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text(std::move(text)) {}
  explicit StrongId(std::string_view text) : text(text) {}
  explicit StrongId(const char* text) : text(text) {}

  /** The identifier in the form used on the wire. Valid during the lifetime of
     this object. */
  [[nodiscard]] auto value() const -> const std::string& { return this->text; }

  /** True for a default-constructed identifier. */
  [[nodiscard]] auto empty() const -> bool { return this->text.empty(); }

  auto operator<=>(const StrongId&) const =
      default;  // NOLINT(modernize-use-nullptr)

 private:
  std::string text;
};

template <typename Tag>
auto operator<<(std::ostream& out, const StrongId<Tag>& id) -> std::ostream& {
  return out << id.value();
}

}  // namespace auburnloft

template <typename Tag>
struct std::hash<auburnloft::StrongId<Tag>> {
  auto operator()(const auburnloft::StrongId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // AL_CORE_IDS_STRONG_ID_H_
