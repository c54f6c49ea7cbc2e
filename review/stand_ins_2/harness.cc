#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 16384;

auto LoopbackAddress(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** Binds to `port` of loopback; 0: any free one. @return -1 if it fails. */
auto Bind(int port) -> int {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

auto PortOf(int descriptor) -> int {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/** Returns pointers to the texts and a null pointer, as execve() takes them. */
auto PointersTo(const std::vector<std::string>& texts) -> std::vector<char*> {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (const std::string& text : texts) {
    pointers.push_back(const_cast<char*>(text.c_str()));
  }
  pointers.push_back(nullptr);
  return pointers;
}

auto Trim(std::string text) -> std::string {
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
    text.pop_back();
  }
  return text.substr(std::min(text.find_first_not_of(' '), text.size()));
}

}  // namespace

auto Sleep(Millis duration) -> void {
  std::this_thread::sleep_for(duration);
}

auto UnixMillis() -> std::int64_t {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

//==============================================================================
// Record

Record::Record(const std::string& path)
    : started_at(Clock::now()), file(path, std::ios::trunc) {}

auto Record::Write(const std::string& line) -> void {
  const std::int64_t at = this->now();
  const std::lock_guard lock(this->mutex);
  this->file << at << ' ' << line << '\n' << std::flush;
}

auto Record::Say(const std::string& line) -> void {
  this->Write(line);
  const std::lock_guard lock(this->mutex);
  std::cout << line << std::endl;
}

auto Record::now() const -> std::int64_t {
  return std::chrono::duration_cast<Millis>(Clock::now() - this->started_at)
      .count();
}

//==============================================================================
// Head

auto Head::status() const -> int {
  const std::size_t space = this->first_line.find(' ');
  int number = 0;
  if (space != std::string::npos) {
    const char* const begin = this->first_line.data() + space + 1;
    std::from_chars(begin, this->first_line.data() + this->first_line.size(),
                    number);
  }
  return number;
}

auto Head::Field(const std::string& name) const -> std::string {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? std::string() : found->second;
}

auto Head::Number(const std::string& name) const -> std::int64_t {
  const std::string text = this->Field(name);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

//==============================================================================
// Connection

Connection::~Connection() {
  close(this->descriptor);
}

auto Connection::Connect(int port) -> std::unique_ptr<Connection> {
  return ConnectOverLink(port, 0, 0);
}

auto Connection::ConnectOverLink(int port, int segment_bytes, int receive_bytes)
    -> std::unique_ptr<Connection> {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (segment_bytes > 0) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  const timeval limit{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::make_unique<Connection>(descriptor);
}

auto Connection::SetTimeout(Millis timeout) -> void {
  constexpr std::int64_t kMillisPerSecond = 1000;
  const std::int64_t most = std::max<std::int64_t>(1, timeout.count());
  const timeval limit{most / kMillisPerSecond,
                      most % kMillisPerSecond * kMillisPerSecond};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

auto Connection::Send(std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const ssize_t count =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

auto Connection::ReadLine() -> std::optional<std::string> {
  while (true) {
    const std::size_t end = this->received.find('\n');
    if (end != std::string::npos) {
      std::string line = this->received.substr(0, end);
      this->received.erase(0, end + 1);
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      return line;
    }
    if (!this->Fill()) {
      return std::nullopt;
    }
  }
}

auto Connection::ReadHead() -> std::optional<Head> {
  Head head;
  const auto first = this->ReadLine();
  if (!first) {
    return std::nullopt;
  }
  head.first_line = *first;
  while (true) {
    const auto line = this->ReadLine();
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      return head;
    }
    const std::size_t colon = line->find(':');
    std::string name = line->substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
      return static_cast<char>(std::tolower(letter));
    });
    head.fields[name] =
        colon == std::string::npos ? "" : Trim(line->substr(colon + 1));
  }
}

auto Connection::ReadExactly(std::size_t count, std::string& bytes) -> bool {
  while (this->received.size() < count) {
    if (!this->Fill()) {
      return false;
    }
  }
  bytes = this->received.substr(0, count);
  this->received.erase(0, count);
  return true;
}

auto Connection::ReadSome(std::size_t most) -> ssize_t {
  if (!this->received.empty()) {
    const std::size_t count = std::min(most, this->received.size());
    this->received.erase(0, count);
    return static_cast<ssize_t>(count);
  }
  std::array<char, kReadBytes> chunk{};
  return recv(this->descriptor, chunk.data(), std::min(most, chunk.size()), 0);
}

auto Connection::Reset() -> void {
  const linger at_once{1, 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
  // Ends the calls of other threads; the descriptor is closed with the object.
  shutdown(this->descriptor, SHUT_RDWR);
}

auto Connection::Shutdown() -> void {
  shutdown(this->descriptor, SHUT_RDWR);
}

auto Connection::Fill() -> bool {
  std::array<char, kReadBytes> chunk{};
  const ssize_t count = recv(this->descriptor, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->received.append(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

//==============================================================================
// Listener

Listener::Listener(OnConnection on_connection)
    : on_connection(std::move(on_connection)) {
  this->Start();
}

Listener::~Listener() {
  this->Stop();
}

auto Listener::Start() -> bool {
  const int bound = Bind(this->number);
  if (bound < 0 || listen(bound, kBacklog) != 0) {
    return false;
  }
  this->number = PortOf(bound);
  this->descriptor = bound;
  this->thread = std::thread([this, bound] { this->Accept(bound); });
  return true;
}

auto Listener::Stop() -> void {
  const int bound = this->descriptor.exchange(-1);
  if (bound < 0) {
    return;
  }
  shutdown(bound, SHUT_RDWR);
  this->thread.join();
  close(bound);
  const std::lock_guard lock(this->mutex);
  for (const auto& connection : this->open) {
    connection->Reset();
  }
  this->open.clear();
}

auto Listener::Accept(int descriptor) -> void {
  while (true) {
    const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      if (this->descriptor < 0) {
        return;
      }
      Sleep(Millis(5));
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(accepted);
    {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->open,
                    [](const auto& item) { return item.use_count() == 1; });
      this->open.push_back(connection);
    }
    std::thread([call = this->on_connection, connection] {
      call(*connection);
      connection->Shutdown();
    }).detach();
  }
}

//==============================================================================

auto FreePort() -> int {
  // Below those that the kernel gives to outgoing connections.
  constexpr int kFirst = 20000;
  constexpr int kPorts = 12000;
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> given;
  while (true) {
    const int port = kFirst + static_cast<int>(random() % kPorts);
    const int descriptor = given.contains(port) ? -1 : Bind(port);
    if (descriptor >= 0) {
      close(descriptor);
      given.insert(port);
      return port;
    }
  }
}

auto Call(int port,
          const std::string& method,
          const std::string& target,
          const std::string& body) -> std::pair<int, std::string> {
  const auto connection = Connection::Connect(port);
  if (!connection) {
    return {0, ""};
  }
  connection->SetTimeout(Millis(1000));
  connection->Send(method + " " + target +
                   " HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                   "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto head = connection->ReadHead();
  if (!head) {
    return {0, ""};
  }
  std::string answer;
  connection->ReadExactly(
      static_cast<std::size_t>(head->Number("content-length")), answer);
  return {head->status(), answer};
}

//==============================================================================
// Process

Process::~Process() {
  if (this->process > 0) {
    this->Signal(SIGCONT);
    this->Signal(SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
}

auto Process::Start(const std::vector<std::string>& command,
                    const std::map<std::string, std::string>& environment,
                    const std::string& log) -> bool {
  std::vector<std::string> settings;
  settings.reserve(environment.size());
  for (const auto& [name, value] : environment) {
    std::string setting = name;
    setting.append("=").append(value);
    settings.push_back(std::move(setting));
  }
  const std::vector<char*> arguments = PointersTo(command);
  const std::vector<char*> variables = PointersTo(settings);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  this->process = fork();
  if (this->process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (getppid() == parent) {
      execve(arguments[0], arguments.data(), variables.data());
    }
    _exit(127);
  }
  close(output);
  return this->process > 0;
}

auto Process::Signal(int signal) const -> void {
  if (this->process > 0) {
    kill(this->process, signal);
  }
}

auto Process::IsRunning() -> bool {
  if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) != 0) {
    this->process = -1;
  }
  return this->process > 0;
}

auto Process::WaitForEnd(Millis timeout) -> bool {
  const auto until = Clock::now() + timeout;
  while (this->IsRunning()) {
    if (Clock::now() >= until) {
      return false;
    }
    Sleep(Millis(10));
  }
  return true;
}

auto Process::MemoryKb() const -> std::int64_t {
  std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      std::istringstream words(line.substr(6));
      std::int64_t kb = 0;
      words >> kb;
      return kb;
    }
  }
  return 0;
}

}  // namespace review
