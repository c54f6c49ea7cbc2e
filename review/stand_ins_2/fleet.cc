#include "fleet.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <functional>
#include <random>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr std::int64_t kStableMs = 3000;
constexpr Millis kHeartbeat{1200};
constexpr Millis kMaxIdle{20000};

auto Address(int port) -> std::string {
  return "127.0.0.1:" + std::to_string(port);
}

/** Returns the ports of the addresses in an answer to /resolve. */
auto PortsIn(const std::string& body) -> std::vector<int> {
  constexpr std::string_view kHost = "127.0.0.1:";
  std::vector<int> ports;
  for (std::size_t at = body.find(kHost); at != std::string::npos;
       at = body.find(kHost, at + 1)) {
    int port = 0;
    std::from_chars(body.data() + at + kHost.size(), body.data() + body.size(),
                    port);
    ports.push_back(port);
  }
  return ports;
}

/** Returns an id of a prompt part: hexadecimal, as PROTOCOL.md says. */
auto HexId(const std::string& text) -> std::string {
  std::ostringstream id;
  id << std::hex << std::hash<std::string>()(text);
  return id.str();
}

auto Chunk(const std::string& bytes) -> std::string {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

}  // namespace

//==============================================================================
// Fleet

Fleet::Fleet(Record& record, std::string folder)
    : record(record), folder(std::move(folder)) {}

auto Fleet::StartStore() -> bool {
  this->port = FreePort();
  if (!this->store.Start(
          {"target/standin-store", "--address", Address(this->port)}, {},
          this->folder + "/store.log")) {
    return false;
  }
  for (int i = 0; i < 50; ++i) {
    if (Call(this->port, "GET", "/log-newest?Topic=keyed.op&part=0", "")
            .first == 200) {
      return true;
    }
    Sleep(Millis(100));
  }
  return false;
}

auto Fleet::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) const -> bool {
  return Call(this->port, "PUT", "/record?Topic=" + topic + "&Key=" + key,
              value)
             .first == 200;
}

auto Fleet::StartRouters(int count) -> bool {
  const std::string zones = "abc";
  for (int i = 0; i < count; ++i) {
    auto router = std::make_unique<Router>();
    router->zone = zones.substr(static_cast<std::size_t>(i) % zones.size(), 1);
    router->name = "edge-" + router->zone + "-" + std::to_string(i / 3 + 1);
    router->client_port = FreePort();
    router->entry_port = FreePort();
    router->readiness_port = FreePort();
    // The settings of deploy/system.toml, filled in as for klokkenet.
    router->settings = {
        {"PATH", "/usr/bin:/bin"},
        {"AUBURNLOFT_NAME", router->name},
        {"AUBURNLOFT_DOMAIN", router->zone},
        {"AUBURNLOFT_REGION", "r"},
        {"AUBURNLOFT_DOMAIN_REGIONS", R"({"a":"r","b":"r","c":"r"})"},
        {"AUBURNLOFT_CLIENT_ADDRESS", Address(router->client_port)},
        {"AUBURNLOFT_ENTRY_ADDRESS", Address(router->entry_port)},
        {"AUBURNLOFT_READINESS_ADDRESS", Address(router->readiness_port)},
        {"AUBURNLOFT_PEER_ADDRESS", Address(FreePort())},
        {"AUBURNLOFT_LOG_ADDRESS", Address(this->port)},
        {"AUBURNLOFT_RETRY_RATIO", "0.2"},
        {"AUBURNLOFT_RETRY_SLACK", "52"},
        {"AUBURNLOFT_RETRY_WINDOW_S", "10"},
        {"AUBURNLOFT_LINK_MBPS", "1000.0"},
        {"AUBURNLOFT_GRACE_S", "8"},
        {"AUBURNLOFT_MEMORY_MB", "260"},
        {"AUBURNLOFT_MAX_DESCRIPTORS", "4100"},
        {"AUBURNLOFT_METRICS_ADDRESS", Address(FreePort())}};
    this->members.push_back(std::move(router));
  }
  return std::ranges::all_of(this->members, [this](const auto& router) {
    return this->Launch(*router);
  });
}

auto Fleet::Launch(Router& router) -> bool {
  router.disturbed_at = this->record.now();
  return router.process.Start({"target/auburnloft-gateway"}, router.settings,
                              this->folder + "/" + router.name + ".log");
}

auto Fleet::Restart(Router& router) -> bool {
  this->record.Write("start " + router.name);
  return this->Launch(router);
}

auto Fleet::Signal(Router& router, int signal) -> void {
  router.disturbed_at = this->record.now();
  this->record.Write("signal " + std::to_string(signal) + " " + router.name);
  router.process.Signal(signal);
}

auto Fleet::WaitUntilReady(Millis timeout) -> bool {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    if (std::ranges::all_of(this->members, [](const auto& router) {
          return Call(router->readiness_port, "GET", "/readyz", "").first ==
                 200;
        })) {
      return true;
    }
    Sleep(Millis(100));
  }
  return false;
}

auto Fleet::Resolve() const -> std::vector<int> {
  constexpr std::size_t kMostAsked = 3;
  thread_local std::mt19937 random{std::random_device{}()};
  std::vector<const Router*> order;
  for (const auto& router : this->members) {
    order.push_back(router.get());
  }
  std::ranges::shuffle(order, random);
  for (std::size_t i = 0; i < std::min(kMostAsked, order.size()); ++i) {
    const auto [status, body] =
        Call(order[i]->entry_port, "GET",
             "/resolve?Name=demo&Region=r&Zone=" + order[i]->zone, "");
    std::vector<int> ports = PortsIn(body);
    if (status == 200 && !ports.empty()) {
      return ports;
    }
  }
  return {};
}

auto Fleet::At(int client_port) -> Router& {
  return **std::ranges::find_if(this->members, [&](const auto& router) {
    return router->client_port == client_port;
  });
}

auto Fleet::WasInTouch(const Router& router, std::int64_t at) -> bool {
  return at - router.disturbed_at >= kStableMs;
}

//==============================================================================
// Server

Server::Server(Record& record, const Fleet& fleet, Settings settings)
    : record(record),
      fleet(fleet),
      settings(std::move(settings)),
      born(UnixMillis()),
      listener([this](Connection& connection) { this->Serve(connection); }) {
  this->Announce();
  this->heartbeat = std::thread([this] { this->Heartbeat(); });
}

Server::~Server() {
  this->ends = true;
  this->Crash();
  this->heartbeat.join();
}

auto Server::Crash() -> void {
  this->runs = false;
  ++this->life;
  this->listener.Stop();
}

auto Server::Drain() -> void {
  {
    const std::lock_guard lock(this->mutex);
    this->state = "draining";
  }
  this->Announce();
}

auto Server::RequestTimes() -> std::vector<std::int64_t> {
  const std::lock_guard lock(this->mutex);
  return this->request_times;
}

auto Server::StartAgain(const std::string& version) -> void {
  {
    const std::lock_guard lock(this->mutex);
    this->settings.version = version;
    this->born = UnixMillis();
    this->sequence = 0;
  }
  this->listener.Start();
  this->runs = true;
  this->Announce();
}

auto Server::version() -> std::string {
  const std::lock_guard lock(this->mutex);
  return this->settings.version;
}

auto Server::Announce() -> void {
  std::string entry;
  {
    const std::lock_guard lock(this->mutex);
    entry =
        R"({"Service":")" + this->settings.service + R"(","Address":")" +
        Address(this->listener.port()) + R"(","Zone":")" + this->settings.zone +
        R"(","Version":")" + this->settings.version + R"(","BatchSlots":)" +
        std::to_string(this->settings.slots) + R"(,"State":")" + this->state +
        R"(","WarmupLeftMs":0,"Sequence":)" + std::to_string(++this->sequence) +
        R"(,"born":)" + std::to_string(this->born) + "}";
  }
  this->fleet.Put("keyed.servers", this->settings.id, entry);
}

auto Server::Heartbeat() -> void {
  constexpr Millis kStep{50};
  auto next = Clock::now() + kHeartbeat;
  while (!this->ends) {
    Sleep(kStep);
    if (Clock::now() >= next) {
      next += kHeartbeat;
      if (this->runs) {
        this->Announce();
      }
    }
  }
}

auto Server::Serve(Connection& connection) -> void {
  connection.SetTimeout(kMaxIdle);
  while (const auto request = connection.ReadHead()) {
    std::string body;
    if (!connection.ReadExactly(
            static_cast<std::size_t>(request->Number("content-length")),
            body)) {
      return;
    }
    const std::string expected = request->Field("x-expect-instance");
    if (!expected.empty() && expected != this->settings.id) {
      connection.Send(
          "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n"
          "Content-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard lock(this->mutex);
      this->request_times.push_back(this->record.now());
    }
    this->record.Write("run " + request->Field("x-attempt-id") + " at " +
                       this->settings.id + " " + this->version() +
                       " deadline " + request->Field("x-deadline-ms"));
    const bool is_stream = !request->Field("x-token-count").empty();
    ++this->open;
    const bool goes_on = is_stream ? this->SendStream(connection, *request)
                                   : this->SendPlain(connection, *request);
    --this->open;
    if (!goes_on) {
      return;
    }
  }
}

auto Server::SendStream(Connection& connection, const Head& request) -> bool {
  const std::string id = request.Field("x-attempt-id");
  const std::string version = this->version();
  const int own_life = this->life;
  std::int64_t event = request.Number("last-event-id");
  connection.Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                  "\r\nX-Server-Seal: seal." + id +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  bool is_open = true;
  const auto until = Clock::now() + Millis(request.Number("x-deadline-ms"));
  while (is_open && event < this->settings.events && this->life == own_life &&
         Clock::now() < until) {
    Sleep(this->settings.interval);
    ++event;
    is_open = connection.Send(
        Chunk("id: " + std::to_string(event) + "\ndata: " + version + "\n\n"));
  }
  return is_open && event >= this->settings.events &&
         connection.Send("0\r\n\r\n");
}

auto Server::SendPlain(Connection& connection, const Head& request) -> bool {
  Sleep(this->settings.work);
  const std::string id = request.Field("x-attempt-id");
  const bool sent = connection.Send(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal." +
      id + "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
      std::to_string(this->settings.body_bytes) + "\r\n\r\n" +
      std::string(this->settings.body_bytes, 'x'));
  return sent;
}

//==============================================================================
// Callers

auto ReadStream(const StreamRequest& request,
                const std::function<bool(std::int64_t event)>& on_event)
    -> StreamAttempt {
  StreamAttempt attempt;
  const auto connection = Connection::Connect(request.port);
  if (!connection) {
    return attempt;
  }
  connection->SetTimeout(Millis(request.deadline_ms));
  std::string head_lines =
      "POST " + request.path +
      " HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: " + request.id +
      "\r\nX-Model: m\r\nX-Token-Count: 826,290\r\n" +
      "X-Prompt-Prefix: 5c1e:198," + HexId(request.id) +
      ":628\r\nX-Deadline-Ms: " + std::to_string(request.deadline_ms) +
      "\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n";
  if (!request.resumes.empty()) {
    head_lines += "Resumes: " + request.resumes +
                  "\r\nLast-Event-Id: " + std::to_string(request.last_event) +
                  "\r\n";
  }
  connection->Send(head_lines + "\r\nbody");
  const auto head = connection->ReadHead();
  if (!head) {
    return attempt;
  }
  attempt.status = head->status();
  attempt.retry_after = head->Field("retry-after");
  if (attempt.status != 200) {
    return attempt;
  }
  while (const auto size_line = connection->ReadLine()) {
    std::size_t size = 0;
    std::from_chars(size_line->data(), size_line->data() + size_line->size(),
                    size, 16);
    std::string bytes;
    if (size == 0) {
      attempt.is_complete = *size_line == "0";
      return attempt;
    }
    if (!connection->ReadExactly(size + 2, bytes)) {
      return attempt;
    }
    std::istringstream lines(bytes);
    std::string line;
    while (std::getline(lines, line)) {
      if (line.starts_with("id: ")) {
        attempt.last_event = std::stoll(line.substr(4));
        ++attempt.events;
      } else if (line.starts_with("data: ")) {
        attempt.versions.push_back(line.substr(6));
      }
    }
    if (!on_event(attempt.last_event)) {
      return attempt;
    }
  }
  return attempt;
}

}  // namespace review
