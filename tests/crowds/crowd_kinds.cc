#include "crowds/crowd_kinds.h"

#include <array>

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;
using Reading = CrowdScript::Reading;

constexpr std::size_t kBodyBytes = 60'000;

/** Sent without a declared length, or of a far larger declared one. */
constexpr std::size_t kLargeBodyBytes = 2'000'000;

/** Returns the first line and fields of a request, without the empty line. */
auto Head(std::string_view method,
          const CrowdAddress& address,
          std::string_view target) -> std::string {
  std::string head(method);
  head.append(" ").append(target).append(" HTTP/1.1\r\nHost: h\r\n");
  if (address.has_key) {
    head +=
        "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 60000\r\n"
        "Authorization: Token blue-key\r\n";
  }
  return head;
}

auto WithLength(const CrowdAddress& address, std::size_t length)
    -> std::string {
  return Head("POST", address, address.target) +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

auto Chunked(const CrowdAddress& address) -> std::string {
  return Head("POST", address, address.target) +
         "Transfer-Encoding: chunked\r\n\r\n";
}

auto ShortBody(const CrowdAddress& address,
               std::size_t piece,
               milliseconds pause) -> CrowdScript {
  return {.first = WithLength(address, kBodyBytes),
          .repeated = "b",
          .count = kBodyBytes - 1,
          .piece = piece,
          .pause = pause};
}

const std::array<CrowdAddress, 6> kAddresses = {{
    {"client with a route", "clients", "/held/x", true},
    {"client without a route", "clients", "/none", false},
    {"entry", "entry", "/resolve?Name=h&Zone=a", false},
    {"readiness", "readiness", "/readyz", false},
    {"peer", "peers", "/allowance", false},
    {"metrics", "metrics", "/metrics", false},
}};

const std::array<CrowdKind, 15> kKinds = {{
    {"body one byte short, in one piece",
     [](const CrowdAddress& address) {
       return ShortBody(address, 0, milliseconds(0));
     }},
    {"body one byte short, in small pieces",
     [](const CrowdAddress& address) {
       return ShortBody(address, 1'000, milliseconds(0));
     }},
    {"body one byte short, in a chunk",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Chunked(address) + "ea60\r\n",
                          .repeated = "b",
                          .count = kBodyBytes - 1};
     }},
    {"chunks of one byte",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Chunked(address),
                          .repeated = "1\r\nb\r\n",
                          .count = kBodyBytes - 1};
     }},
    {"body far over the limit, declared",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = WithLength(address, 40'000'000),
                          .repeated = "b",
                          .count = kLargeBodyBytes};
     }},
    {"body far over the limit, in chunks",
     [](const CrowdAddress& address) {
       return CrowdScript{
           .first = Chunked(address),
           .repeated = "fa0\r\n" + std::string(4'000, 'b') + "\r\n",
           .count = kLargeBodyBytes / 4'000};
     }},
    {"many short fields, one byte short",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Head("GET", address, address.target),
                          .repeated = "a:\r\n",
                          .count = 4'000,
                          .last = "\r"};
     }},
    {"many short fields, complete",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Head("GET", address, address.target),
                          .repeated = "a:\r\n",
                          .count = 980,
                          .last = "\r\n"};
     }},
    {"many pipelined requests, no response read",
     [](const CrowdAddress& address) {
       return CrowdScript{
           .repeated = Head("GET", address, address.target) + "\r\n",
           .count = 1'000};
     }},
    {"slow senders of a body",
     [](const CrowdAddress& address) {
       return ShortBody(address, 600, milliseconds(20));
     }},
    {"slow readers of pipelined responses",
     [](const CrowdAddress& address) {
       return CrowdScript{
           .repeated = Head("GET", address, address.target) + "\r\n",
           .count = 1'000,
           .reading = Reading::kSlowly};
     }},
    {"stop in the head",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Head("GET", address, address.target) +
                                   "X-Long: " + std::string(15'000, 'v')};
     }},
    {"stop in the body",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = WithLength(address, kBodyBytes),
                          .repeated = "b",
                          .count = kBodyBytes / 2};
     }},
    {"stop reading a stream",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Head("POST", address, "/ask/x") +
                                   "X-Model: m\r\nX-Token-Count: 20,400\r\n"
                                   "X-Prompt-Prefix: aa:10,bb:10\r\n"
                                   "Content-Length: 2\r\n\r\nok"};
     },
     true},
    {"slow readers of a stream",
     [](const CrowdAddress& address) {
       return CrowdScript{.first = Head("POST", address, "/ask/x") +
                                   "X-Model: m\r\nX-Token-Count: 20,400\r\n"
                                   "X-Prompt-Prefix: aa:10,bb:10\r\n"
                                   "Content-Length: 2\r\n\r\nok",
                          .reading = Reading::kSlowly};
     },
     true},
}};

}  // namespace

auto CrowdAddresses() -> std::span<const CrowdAddress> {
  return kAddresses;
}

auto CrowdKinds() -> std::span<const CrowdKind> {
  return kKinds;
}

}  // namespace auburnloft::testing
