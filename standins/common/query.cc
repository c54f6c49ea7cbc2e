#include "common/query.h"

#include <charconv>

namespace auburnloft::standins {

namespace {

auto Decode(std::string_view text) -> std::string {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned int byte = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte,
                        kHexBase)
                .ec == std::errc()) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

Query::Query(std::string_view target) {
  const std::size_t mark = target.find('?');
  if (mark != std::string_view::npos) {
    this->items = target.substr(mark + 1);
  }
}

auto Query::Text(std::string_view name) const -> std::string {
  std::string_view rest = this->items;
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view item = rest.substr(0, end);
    if (item.size() > name.size() && item.starts_with(name) &&
        item[name.size()] == '=') {
      return Decode(item.substr(name.size() + 1));
    }
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
  }
  return {};
}

auto Query::Number(std::string_view name) const -> std::uint64_t {
  const std::string text = this->Text(name);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace auburnloft::standins
