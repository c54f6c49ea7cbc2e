#ifndef AL_CORE_TEXT_PRINTABLE_H_
#define AL_CORE_TEXT_PRINTABLE_H_

#include <algorithm>
#include <string_view>

namespace auburnloft {

/** Returns whether `text` has only printable ASCII characters. Fields of texts
   in the messages between routers hold nothing else: other bytes would make the
   whole message unreadable. */
[[nodiscard]] inline auto IsPrintable(std::string_view text) -> bool {
  return std::ranges::all_of(
      text, [](char letter) { return letter >= ' ' && letter <= '~'; });
}

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_PRINTABLE_H_
