#include "crowds/crowd_target.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "al_net/tcp_connection.h"
#include "support/free_port.h"

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Time for the start of all processes, and for an ordinary request after a
    crowd: long enough for a busy machine. */
constexpr milliseconds kStartTimeout{30'000};
constexpr milliseconds kServeTimeout{20'000};

constexpr std::array<const char*, 5> kListeners = {
    "clients", "entry", "readiness", "peers", "metrics"};

auto Post(const std::string& method,
          const std::string& target,
          const std::string& body) -> std::string {
  return method + " " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

template <typename Condition>
auto WaitUntil(Condition is_true, milliseconds timeout) -> bool {
  const Clock::time_point begin = Clock::now();
  while (!is_true()) {
    if (Clock::now() - begin > timeout) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

auto Accepts(const std::string& address,
             const std::string& bytes,
             std::string_view start) -> bool {
  return ExchangeBytes(address, bytes, milliseconds(2'000)).starts_with(start);
}

/** Returns the bytes in receive queues of connections to `ports`, in KB. */
auto UnreadKb(const std::set<unsigned>& ports) -> std::size_t {
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  std::size_t bytes = 0;
  constexpr unsigned kListening = 0x0A;
  while (std::getline(file, line)) {
    unsigned port = 0;
    unsigned state = 0;
    unsigned unread = 0;
    if (std::sscanf(line.c_str(),  // NOLINT: the kernel's fixed format.
                    " %*d: %*x:%x %*x:%*x %x %*x:%x", &port, &state,
                    &unread) == 3 &&
        state != kListening && ports.contains(port)) {
      bytes += unread;
    }
  }
  return bytes / 1024;
}

}  // namespace

auto ExchangeBytes(const std::string& address,
                   const std::string& bytes,
                   milliseconds timeout) -> std::string {
  sockaddr_in target{};
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  std::string received;
  if (ParseSocketAddress(address, target) &&
      connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) == 0 &&
      send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size())) {
    const Clock::time_point end = Clock::now() + timeout;
    std::array<char, 16'384> part{};
    while (Clock::now() < end) {
      pollfd watched{descriptor, POLLIN, 0};
      constexpr int kTurnMs = 50;
      if (poll(&watched, 1, kTurnMs) <= 0) {
        continue;
      }
      const ssize_t count = recv(descriptor, part.data(), part.size(), 0);
      if (count <= 0) {
        break;
      }
      received.append(part.data(), static_cast<std::size_t>(count));
    }
  }
  close(descriptor);
  return received;
}

CrowdTarget::CrowdTarget(Settings settings) : settings(std::move(settings)) {
  const std::string store = AddressFor("store");
  this->StartProcess("standin-store", {"--address", store}, {});
  const auto put = [&] {
    return Accepts(
        store,
        Post("PUT", "/record?Topic=keyed.op&Key=config", this->ConfigText()),
        "HTTP/1.1 2");
  };
  bool started = WaitUntil(put, kStartTimeout);
  for (const std::string name : {"desks", "holders", "engines"}) {
    this->StartProcess(
        "standin-wire",
        {"--id", name + "-1", "--address", AddressFor(name), "--service", name,
         "--store-address", store, "--events", "200", "--between-us", "20000",
         "--event-padding", "4000"},
        {});
  }
  started = started && WaitUntil(
                           [] {
                             return Accepts(AddressFor("holders"),
                                            Post("POST", "/faults", "silent"),
                                            "HTTP/1.1 200");
                           },
                           kStartTimeout);
  std::map<std::string, std::string> environment = this->settings.environment;
  environment["AUBURNLOFT_NAME"] = "router-1";
  environment["AUBURNLOFT_DOMAIN"] = "a";
  environment["AUBURNLOFT_CLIENT_ADDRESS"] = AddressOf("clients");
  environment["AUBURNLOFT_ENTRY_ADDRESS"] = AddressOf("entry");
  environment["AUBURNLOFT_READINESS_ADDRESS"] = AddressOf("readiness");
  environment["AUBURNLOFT_PEER_ADDRESS"] = AddressOf("peers");
  environment["AUBURNLOFT_METRICS_ADDRESS"] = AddressOf("metrics");
  environment["AUBURNLOFT_LOG_ADDRESS"] = store;
  this->gateway = this->StartProcess("auburnloft-gateway", {}, environment);
  if (!started || !WaitUntil([] { return ServesRequest(milliseconds(2'000)); },
                             kStartTimeout)) {
    throw std::runtime_error("the gateway serves no ordinary request");
  }
}

CrowdTarget::~CrowdTarget() {
  for (const pid_t process : this->processes) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
}

auto CrowdTarget::AddressOf(const std::string& listener) -> std::string {
  return AddressFor("gateway " + listener);
}

auto CrowdTarget::MeasureUsage() const -> Usage {
  Usage usage;
  const std::string folder = "/proc/" + std::to_string(this->gateway);
  std::ifstream file(folder + "/status");
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string name;
    std::string value;
    words >> name >> value;
    if (name == "State:") {
      usage.is_alive = value != "Z" && value != "X";
    } else if (name == "VmRSS:") {
      usage.resident_kb = std::stoul(value);
    } else if (name == "VmHWM:") {
      usage.peak_resident_kb = std::stoul(value);
    }
  }
  if (usage.is_alive) {
    const std::filesystem::directory_iterator all(folder + "/fd");
    usage.descriptors =
        static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  std::set<unsigned> ports;
  for (const char* const listener : kListeners) {
    sockaddr_in address{};
    if (ParseSocketAddress(AddressOf(listener), address)) {
      ports.insert(ntohs(address.sin_port));
    }
  }
  usage.unread_kb = UnreadKb(ports);
  return usage;
}

auto CrowdTarget::ServesRequest(milliseconds timeout) -> bool {
  return ExchangeBytes(AddressOf("clients"),
                       "POST /read/x HTTP/1.1\r\nHost: h\r\n"
                       "X-Attempt-Id: ordinary\r\nX-Deadline-Ms: 2000\r\n"
                       "Authorization: Token blue-key\r\n"
                       "Connection: close\r\nContent-Length: 2\r\n\r\nok",
                       timeout)
      .starts_with("HTTP/1.1 200 ");
}

auto CrowdTarget::ServesEventually() -> bool {
  return WaitUntil([] { return ServesRequest(milliseconds(4'000)); },
                   kServeTimeout);
}

//==============================================================================

auto CrowdTarget::StartProcess(
    const std::string& program,
    const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment) -> pid_t {
  const std::string path =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program)
          .string();
  std::vector<std::string> words = {path};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<std::string> variables;
  variables.reserve(environment.size());
  for (const auto& [name, value] : environment) {
    variables.emplace_back(name).append("=").append(value);
  }
  const auto pointers = [](std::vector<std::string>& texts) {
    std::vector<char*> result;
    result.reserve(texts.size() + 1);
    for (std::string& text : texts) {
      result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
  };
  const std::vector<char*> argv = pointers(words);
  const std::vector<char*> envp = pointers(variables);
  const pid_t process = fork();
  if (process == 0) {
    const int null = open("/dev/null", O_RDWR);
    dup2(null, STDIN_FILENO);
    dup2(null, STDOUT_FILENO);
    execve(path.c_str(), argv.data(), envp.data());
    _exit(127);
  }
  this->processes.push_back(process);
  return process;
}

auto CrowdTarget::ConfigText() const -> std::string {
  return R"({"Version":1,"Routes":[
    {"Name":"read","Host":"h","PathPrefix":"/read/","Type":"safe","Service":"desks","TimeoutMs":2000,"SloMs":300,"MaxAttempts":2},
    {"Name":"held","Host":"h","PathPrefix":"/held/","Type":"unsafe","Service":"holders","TimeoutMs":60000,"SloMs":300,"MaxAttempts":1},
    {"Name":"ask","Host":"h","PathPrefix":"/ask/","Type":"streaming","Service":"engines","TimeoutMs":60000,"SloMs":800,"MaxAttempts":1}],
    "Services":[{"Name":"desks","MaxConns":100},{"Name":"holders","MaxConns":5000},
      {"Name":"engines","MaxConns":5000,"Engine":{"BatchSlots":5000,"Stride":5}}],
    "Limits":{"MaxHeaderBytes":)" +
         std::to_string(this->settings.max_header_bytes) +
         R"(,"MaxBodyBytes":)" + std::to_string(this->settings.max_body_bytes) +
         R"(,"HeaderTimeoutMs":60000,"IdleTimeoutMs":60000},
    "Tenants":[{"Name":"blue","ApiKeys":["blue-key"]}]})";
}

}  // namespace auburnloft::testing
