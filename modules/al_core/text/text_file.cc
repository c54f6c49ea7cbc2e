#include "al_core/text/text_file.h"

#include <fstream>
#include <sstream>

namespace auburnloft {

auto ReadTextFile(const std::string& path) -> std::string {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace auburnloft
