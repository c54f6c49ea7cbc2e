#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>

namespace review {

namespace {

auto LoopbackAddress(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

auto LowerCase(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return text;
}

}  // namespace

auto NowMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Recorder::Recorder(const std::string& path)
    : file(
          open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {
}

Recorder::~Recorder() {
  close(this->file);
}

auto Recorder::Write(const std::string& text) const -> void {
  const std::string line = std::to_string(NowMs()) + " " + text + "\n";
  if (write(this->file, line.data(), line.size()) < 0) {
    std::abort();  // Without its record, the case shows nothing.
  }
}

auto Head::Field(const std::string& name) const -> std::string {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? std::string() : found->second;
}

auto Head::Number(const std::string& name) const -> std::int64_t {
  return std::strtoll(this->Field(name).c_str(), nullptr, 10);
}

Connection::~Connection() {
  if (this->socket >= 0) {
    close(this->socket);
  }
}

auto Connection::SetTimeout(std::int64_t millis) const -> void {
  const timeval limit{millis / 1000, (millis % 1000) * 1000};
  setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

auto Connection::ResetAtClose() const -> void {
  const linger at_once{1, 0};
  setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

auto Connection::Send(std::string_view bytes) const -> bool {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

auto Connection::ReadMore() -> bool {
  std::array<char, 65536> part{};
  const ssize_t count = recv(this->socket, part.data(), part.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->buffer.append(part.data(), static_cast<std::size_t>(count));
  this->received += static_cast<std::size_t>(count);
  return true;
}

auto Connection::ReadLine(std::string& line) -> bool {
  std::size_t end = this->buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!this->ReadMore()) {
      return false;
    }
    end = this->buffer.find("\r\n");
  }
  line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 2);
  return true;
}

auto Connection::ReadHead() -> std::optional<Head> {
  Head head;
  if (!this->ReadLine(head.first_line)) {
    return std::nullopt;
  }
  std::string line;
  while (this->ReadLine(line)) {
    if (line.empty()) {
      return head;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.fields[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
  }
  return std::nullopt;
}

auto Connection::ReadBytes(std::size_t size, std::string& bytes) -> bool {
  while (this->buffer.size() < size) {
    if (!this->ReadMore()) {
      return false;
    }
  }
  bytes.append(this->buffer, 0, size);
  this->buffer.erase(0, size);
  return true;
}

auto Connection::ReadChunks(std::string& bytes) -> bool {
  std::string line;
  while (this->ReadLine(line)) {
    const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
    if (size > 0 && !this->ReadBytes(size, bytes)) {
      return false;
    }
    if (!this->ReadLine(line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

auto ConnectTo(int port) -> int {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

auto ListenOn(int& port) -> int {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 512;
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    close(descriptor);
    return -1;
  }
  port = ntohs(address.sin_port);
  return descriptor;
}

auto PutRecord(int store_port,
               const std::string& topic,
               const std::string& key,
               const std::string& body) -> void {
  Connection connection(ConnectTo(store_port));
  if (!connection.is_open()) {
    return;
  }
  connection.SetTimeout(1000);
  const std::string head =
      "PUT /record?Topic=" + topic + "&Key=" + key +
      " HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  if (connection.Send(head + body)) {
    // The answer is awaited, but tells nothing.
    static_cast<void>(connection.ReadHead());
  }
}

auto ParseArguments(int argc, char** argv)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> values;
  for (int i = 1; i + 1 < argc; i += 2) {
    values[std::string(argv[i]).substr(2)] = argv[i + 1];
  }
  return values;
}

}  // namespace review
