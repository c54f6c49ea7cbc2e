// Callers of a resumable stream, for the scripts of the third review.
//
// Each caller opens one stream at a router chosen at random. If the connection
// breaks after the first event, the caller takes the stream up at another
// router, as the users' pages describe: with a new attempt id, `Last-Event-Id`
// and `Resumes`. Writes a line for each try to standard output:
//
//   TRY ms=... stream=N try=N id=ID router=ADDRESS status=N from=N to=N
//       versions=V,V end=complete|broken|refused|failed|unconnected
//
// `from` and `to` are the first and the last event of this try, 0 if none.
// `versions` are the software versions that the events name, in their order.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr Millis kConnectTimeout(1'000);
/** Callers abandon a stream after a gap of so long. */
constexpr Millis kGapTimeout(3'200);
/** Parts of prompts that requests share, as those of `yard-query`. */
constexpr int kFirstParts = 40;
constexpr int kSharedParts = 70;
/** Of one stream, with those that reached no router. */
constexpr int kMaxTries = 6;
/** Before a stream is taken up. */
constexpr Millis kTakeUpDelay(50);

struct Settings {
  std::vector<std::string> routers;
  std::string path = "/questions/";
  std::string host = "demo";
  std::string key = "collector-key";
  std::string tokens = "300,40";
  double per_second = 10.0;
  double seconds = 10.0;
  int take_ups = 1;
  std::uint64_t last_event = 8;
};

/** What one try brought. */
struct Try {
  std::string id;
  std::string router;
  int status = 0;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  std::vector<std::string> versions;
  std::string end = "unconnected";
};

auto UnixMillis() -> std::int64_t {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** A socket that closes itself. */
class Socket {
 public:
  Socket() : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  ~Socket() { close(this->descriptor); }
  Socket(const Socket&) = delete;
  auto operator=(const Socket&) -> Socket& = delete;

  [[nodiscard]] auto Connect(const std::string& address) const -> bool {
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(
        std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const timeval limit{std::chrono::seconds(1).count(), 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit,
               sizeof(limit));
    return connect(this->descriptor, reinterpret_cast<sockaddr*>(&target),
                   sizeof(target)) == 0;
  }

  [[nodiscard]] auto Write(std::string_view bytes) const -> bool {
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

  /** Appends what arrives. @return false at the end or after the gap. */
  [[nodiscard]] auto Read(std::string& bytes) const -> bool {
    pollfd watched{this->descriptor, POLLIN, 0};
    if (poll(&watched, 1, static_cast<int>(kGapTimeout.count())) <= 0) {
      return false;
    }
    std::array<char, 4096> chunk{};
    const ssize_t count = recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      return false;
    }
    bytes.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
  }

 private:
  int descriptor;
};

/** Reads a chunked response with events. */
class StreamReader {
 public:
  /** Reads all that has arrived. @return true once the response is complete. */
  auto Feed(std::string& bytes, Try& result) -> bool {
    if (result.status == 0) {
      const std::size_t end = bytes.find("\r\n\r\n");
      if (end == std::string::npos) {
        return false;
      }
      result.status = std::atoi(bytes.c_str() + std::size("HTTP/1.1"));
      this->is_chunked =
          bytes.substr(0, end).find("Transfer-Encoding") != std::string::npos;
      bytes.erase(0, end + 4);
    }
    if (!this->is_chunked) {
      return true;  // A response without events.
    }
    while (true) {
      const std::size_t line = bytes.find("\r\n");
      if (line == std::string::npos) {
        return false;
      }
      const std::size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
      if (bytes.size() < line + 2 + size + 2) {
        return false;
      }
      this->body.append(bytes, line + 2, size);
      bytes.erase(0, line + 2 + size + 2);
      this->TakeEvents(result);
      if (size == 0) {
        return true;
      }
    }
  }

 private:
  auto TakeEvents(Try& result) -> void {
    for (std::size_t end = this->body.find("\n\n"); end != std::string::npos;
         end = this->body.find("\n\n")) {
      const std::string event = this->body.substr(0, end);
      this->body.erase(0, end + 2);
      if (!event.starts_with("id: ")) {
        continue;
      }
      const std::uint64_t id = std::strtoull(event.c_str() + 4, nullptr, 10);
      result.first = result.first == 0 ? id : result.first;
      result.last = id;
      const std::size_t mark = event.rfind(" v");
      const std::string version =
          mark == std::string::npos ? "-" : event.substr(mark + 1);
      if (result.versions.empty() || result.versions.back() != version) {
        result.versions.push_back(version);
      }
    }
  }

  bool is_chunked = false;
  std::string body;
};

class Callers {
 public:
  explicit Callers(Settings settings) : settings(std::move(settings)) {}

  auto Run() -> void {
    std::mt19937_64 random(std::random_device{}());
    std::exponential_distribution<double> pause(this->settings.per_second);
    const auto ends_at =
        Clock::now() +
        Millis(static_cast<std::int64_t>(this->settings.seconds * 1'000.0));
    std::vector<std::thread> threads;
    for (int number = 1; Clock::now() < ends_at; ++number) {
      threads.emplace_back(
          [this, number, seed = random()] { this->PlayStream(number, seed); });
      std::this_thread::sleep_for(
          Millis(static_cast<std::int64_t>(1'000.0 * pause(random))));
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

 private:
  auto PlayStream(int number, std::uint64_t seed) -> void {
    std::mt19937_64 random(seed);
    std::string begun_by;
    std::uint64_t last = 0;
    std::string failed;
    int take_ups = 0;
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
      Try result;
      result.router = this->ChooseRouter(failed, random);
      result.id = std::to_string(number) + "-" + std::to_string(attempt) + "-" +
                  std::to_string(random() % 1'000'000);
      this->PlayTry(result, begun_by, last, number);
      this->Print(number, attempt, result);
      if (result.end == "complete") {
        return;
      }
      if (begun_by.empty() && result.last > 0) {
        begun_by = result.id;
      }
      last = std::max(last, result.last);
      if (last == 0 || last >= this->settings.last_event) {
        return;  // It has not begun, or brought all of its events.
      }
      // A router that cannot be reached has not been asked.
      if (result.end != "unconnected" && ++take_ups > this->settings.take_ups) {
        return;
      }
      failed = result.router;
      std::this_thread::sleep_for(kTakeUpDelay);
    }
  }

  auto ChooseRouter(const std::string& failed, std::mt19937_64& random) const
      -> std::string {
    const std::scoped_lock lock(this->mutex);
    std::vector<std::string> usable;
    for (const std::string& router : this->settings.routers) {
      const auto found = this->unreachable_until.find(router);
      if (router != failed && (found == this->unreachable_until.end() ||
                               Clock::now() >= found->second)) {
        usable.push_back(router);
      }
    }
    if (usable.empty()) {
      return this->settings.routers.front();
    }
    return usable[random() % usable.size()];
  }

  auto PlayTry(Try& result,
               const std::string& begun_by,
               std::uint64_t last,
               int number) -> void {
    const Socket connection;
    if (!connection.Connect(result.router)) {
      const std::scoped_lock lock(this->mutex);
      this->unreachable_until[result.router] =
          Clock::now() + std::chrono::seconds(2);
      return;
    }
    std::ostringstream request;
    request << "POST " << this->settings.path
            << "x HTTP/1.1\r\nHost: " << this->settings.host
            << "\r\nX-Attempt-Id: " << result.id
            << "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Token "
            << this->settings.key
            << "\r\nX-Model: m\r\nX-Token-Count: " << this->settings.tokens
            << "\r\nX-Prompt-Prefix: a" << number % kFirstParts << ":119,b"
            << number % kSharedParts << ":79,c" << number << ":430\r\n";
    if (last > 0) {
      request << "Last-Event-Id: " << last << "\r\nResumes: " << begun_by
              << "\r\n";
    }
    const std::string body = "question " + std::to_string(number);
    request << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    result.end = "broken";
    if (!connection.Write(request.str())) {
      return;
    }
    std::string bytes;
    StreamReader reader;
    while (connection.Read(bytes)) {
      if (reader.Feed(bytes, result)) {
        result.end = result.status == 200   ? "complete"
                     : result.status == 503 ? "refused"
                                            : "failed";
        return;
      }
    }
  }

  auto Print(int number, int attempt, const Try& result) -> void {
    std::string versions;
    for (const std::string& version : result.versions) {
      versions += (versions.empty() ? "" : ",") + version;
    }
    const std::scoped_lock lock(this->mutex);
    std::cout << "TRY ms=" << UnixMillis() << " stream=" << number
              << " try=" << attempt << " id=" << result.id
              << " router=" << result.router << " status=" << result.status
              << " from=" << result.first << " to=" << result.last
              << " versions=" << (versions.empty() ? "-" : versions)
              << " end=" << result.end << std::endl;
  }

  Settings settings;
  mutable std::mutex mutex;
  std::map<std::string, Clock::time_point> unreachable_until;
};

auto Split(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> items;
  std::istringstream rest(text);
  for (std::string item; std::getline(rest, item, ',');) {
    items.push_back(item);
  }
  return items;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Settings settings;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string_view name = argv[i];
    const std::string value = argv[i + 1];
    if (name == "--routers") {
      settings.routers = Split(value);
    } else if (name == "--path") {
      settings.path = value;
    } else if (name == "--key") {
      settings.key = value;
    } else if (name == "--tokens") {
      settings.tokens = value;
    } else if (name == "--rate") {
      settings.per_second = std::strtod(value.c_str(), nullptr);
    } else if (name == "--seconds") {
      settings.seconds = std::strtod(value.c_str(), nullptr);
    } else if (name == "--take-ups") {
      settings.take_ups = std::atoi(value.c_str());
    } else if (name == "--events") {
      settings.last_event = std::strtoull(value.c_str(), nullptr, 10);
    } else {
      std::cerr << "unknown setting " << name << "\n";
      return 2;
    }
  }
  if (settings.routers.empty()) {
    std::cerr << "--routers is required\n";
    return 2;
  }
  Callers(settings).Run();
  return 0;
}
