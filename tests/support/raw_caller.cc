#include "support/raw_caller.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "al_net/tcp_connection.h"

namespace auburnloft::testing {

namespace {

constexpr int kReceiveBufferBytes = 4'096;
constexpr std::size_t kBlockBytes = std::size_t{64} * 1024;

auto ConnectTo(const std::string& address) -> int {
  sockaddr_in target{};
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  if (!ParseSocketAddress(address, target) ||
      connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    throw std::runtime_error("nothing listens at " + address);
  }
  return descriptor;
}

}  // namespace

RawCaller::RawCaller(const std::string& address, Script script)
    : script(std::move(script)), descriptor(ConnectTo(address)) {
  this->sender = std::thread([this] { this->Run(); });
  if (this->script.reads) {
    this->reader = std::thread([descriptor = this->descriptor] {
      std::array<char, 4'096> dropped{};
      while (recv(descriptor, dropped.data(), dropped.size(), 0) > 0) {
      }
    });
  }
}

RawCaller::~RawCaller() {
  shutdown(this->descriptor, SHUT_RDWR);
  this->sender.join();
  if (this->reader.joinable()) {
    this->reader.join();
  }
  close(this->descriptor);
}

auto RawCaller::SendAll(const std::string& bytes) -> bool {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = send(this->descriptor, bytes.data() + done,
                               bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      this->closed = true;
      return false;
    }
    done += static_cast<std::size_t>(count);
    this->sent += static_cast<std::size_t>(count);
  }
  return true;
}

auto RawCaller::Run() -> void {
  if (!this->SendAll(this->script.first) || this->script.repeated.empty()) {
    return;
  }
  std::string block;
  while (block.size() < kBlockBytes) {
    block += this->script.repeated;
  }
  while (this->SendAll(block)) {
  }
}

}  // namespace auburnloft::testing
