#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <map>
#include <stdexcept>

namespace auburnloft::testing {

namespace {

auto ReserveAddress() -> std::string {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(local);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local), size) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) !=
          0) {
    throw std::runtime_error("the system has no free port");
  }
  return "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
}

}  // namespace

auto AddressFor(const std::string& name) -> const std::string& {
  static std::map<std::string, std::string> addresses;
  std::string& address = addresses[name];
  if (address.empty()) {
    address = ReserveAddress();
  }
  return address;
}

}  // namespace auburnloft::testing
