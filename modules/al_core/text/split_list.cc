#include "al_core/text/split_list.h"

#include <sstream>

namespace auburnloft {

auto SplitList(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty()) {
      items.push_back(item);
    }
  }
  return items;
}

}  // namespace auburnloft
