#include "al_http1/http1_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace auburnloft {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "TE",
    "Trailer",          "Transfer-Encoding",
    "Upgrade",          "Proxy-Authenticate",
    "Content-Length"};

auto AppendFields(std::string& bytes, const Http1Fields& fields) -> void {
  for (const Http1Field& field : fields.all()) {
    bytes.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

auto TrimSpaces(std::string_view text) -> std::string_view {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

auto EqualFieldNames(std::string_view first, std::string_view second) -> bool {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](unsigned char left, unsigned char right) {
                      return std::tolower(left) == std::tolower(right);
                    });
}

//==============================================================================
// Http1Fields

auto Http1Fields::Add(std::string_view name, std::string_view value) -> void {
  this->items.push_back({std::string(name), std::string(value)});
}

auto Http1Fields::Remove(std::string_view name) -> void {
  std::erase_if(this->items, [name](const Http1Field& field) {
    return EqualFieldNames(field.name, name);
  });
}

auto Http1Fields::Set(std::string_view name, std::string_view value) -> void {
  this->Remove(name);
  this->Add(name, value);
}

auto Http1Fields::RemoveHopByHopFields() -> void {
  std::vector<std::string> named;
  for (const Http1Field& field : this->items) {
    if (!EqualFieldNames(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      named.emplace_back(TrimSpaces(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  for (const std::string& name : named) {
    this->Remove(name);
  }
  for (const std::string_view name : kHopByHopFields) {
    this->Remove(name);
  }
}

auto Http1Fields::Find(std::string_view name) const
    -> std::optional<std::string_view> {
  for (const Http1Field& field : this->items) {
    if (EqualFieldNames(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

//==============================================================================
// Bytes

auto SerializeRequest(const Http1Request& request) -> std::string {
  std::string bytes;
  bytes.append(request.method).append(" ").append(request.target);
  bytes.append(" HTTP/1.1\r\n");
  AppendFields(bytes, request.fields);
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    bytes.append("Content-Length: ");
    bytes.append(std::to_string(request.body.size())).append("\r\n");
  }
  bytes.append("\r\n").append(request.body);
  return bytes;
}

auto FindReuseTime(const Http1Fields& fields) -> std::optional<Duration> {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text = fields.Find("Keep-Alive").value_or("");
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view value = text.substr(at + kTimeout.size());
  value = TrimSpaces(value.substr(0, value.find(',')));
  double stated = 0.0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), stated);
  if (error != std::errc() || end != value.data() + value.size() ||
      std::isnan(stated)) {
    return std::nullopt;
  }
  // More would overflow where a time is added.
  constexpr double kMaxSeconds = 1e9;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(stated, -kMaxSeconds, kMaxSeconds)));
}

auto SerializeResponseHead(const Http1ResponseHead& head,
                           Http1Framing framing,
                           std::size_t length,
                           const Http1Persistence& persistence) -> std::string {
  std::string bytes = "HTTP/1.1 " + std::to_string(head.status) + " ";
  bytes.append(head.reason).append("\r\n");
  AppendFields(bytes, head.fields);
  if (framing == Http1Framing::kChunked) {
    bytes.append("Transfer-Encoding: chunked\r\n");
  } else {
    bytes.append("Content-Length: ").append(std::to_string(length));
    bytes.append("\r\n");
  }
  if (persistence.closes) {
    bytes.append("Connection: close\r\n");
  } else if (persistence.reuse_time.count() > 0) {
    bytes.append("Connection: keep-alive\r\nKeep-Alive: timeout=")
        .append(std::to_string(persistence.reuse_time.count()))
        .append("\r\n");
  }
  bytes.append("\r\n");
  return bytes;
}

auto EncodeChunk(std::string_view bytes) -> std::string {
  std::array<char, 20> size{};
  const int digits =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(digits));
  chunk.append(bytes).append("\r\n");
  return chunk;
}

}  // namespace auburnloft
