// Sends one HTTP request to a port of the loopback address, with the bytes of a
// file or of the last argument as its body:
//   review-call METHOD PORT TARGET [@FILE | TEXT]
// Exits with 0 if the answer has status 200.

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "net.h"

namespace {

auto ReadBody(const std::string& argument) -> std::string {
  if (!argument.starts_with('@')) {
    return argument;
  }
  std::ifstream file(argument.substr(1), std::ios::binary);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr int kCannotRun = 2;
  constexpr int kLeastArguments = 4;
  if (argc < kLeastArguments) {
    return kCannotRun;
  }
  const std::string body = argc > kLeastArguments ? ReadBody(argv[4]) : "";
  review::Connection connection(review::ConnectTo(std::atoi(argv[2])));
  if (!connection.is_open()) {
    return 1;
  }
  connection.SetTimeout(1000);
  std::string request = std::string(argv[1]) + " " + argv[3];
  request
      .append(" HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n")
      .append(body);
  const auto head =
      connection.Send(request) ? connection.ReadHead() : std::nullopt;
  return head && head->first_line.find(" 200") != std::string::npos ? 0 : 1;
}
