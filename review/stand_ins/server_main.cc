// A stand-in for a server of the users' platform: a plain service, or an engine
// that answers with events. It registers itself in the store, answers only what
// is meant for it, and records when it begins and ends to run a request. In a
// given span of time it is faulty in one of the ways that the pages name.

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "net.h"

#include <sys/socket.h>
#include <unistd.h>

namespace {

using review::Connection;
using review::Head;
using review::NowMs;

/** What all connections of the server share. */
struct Server {
  std::map<std::string, std::string> arguments;
  std::unique_ptr<review::Recorder> recorder;
  int port = 0;
  std::int64_t born = NowMs();
  std::atomic<std::int64_t> requests_in_fault = 0;
  std::mutex pace;
  std::int64_t next_send_us = 0;

  [[nodiscard]] auto Text(const std::string& name) const -> std::string {
    const auto found = this->arguments.find(name);
    return found == this->arguments.end() ? std::string() : found->second;
  }
  [[nodiscard]] auto Number(const std::string& name) const -> std::int64_t {
    return std::strtoll(this->Text(name).c_str(), nullptr, 10);
  }
  /** Returns the fault of a request that begins now; empty for none. In the
      time of the fault, each so many-th request has it as `--fault-share`
      tells. */
  [[nodiscard]] auto FaultNow() -> std::string {
    const std::int64_t now = NowMs();
    if (now < this->Number("fault-from") ||
        now >= this->Number("fault-until")) {
      return {};
    }
    const double share =
        std::strtod(this->Text("fault-share").c_str(), nullptr);
    const std::int64_t before = this->requests_in_fault++;
    const bool has_it = std::floor(static_cast<double>(before + 1) * share) >
                        std::floor(static_cast<double>(before) * share);
    return has_it ? this->Text("fault") : std::string();
  }
  auto Record(const std::string& event, const std::string& id) const -> void {
    this->recorder->Write("server " + this->Text("id") + " " + event + " " +
                          id);
  }
};

auto SleepMs(std::int64_t millis) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/** Waits until the server's link, of the rate `--link-mbps`, has room for
    `bytes` more; for 0, it sends as fast as its caller reads. */
auto WaitForLink(Server& server, std::size_t bytes) -> void {
  const std::int64_t megabits_a_second = server.Number("link-mbps");
  if (megabits_a_second == 0) {
    return;
  }
  const std::int64_t now_us =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count();
  std::int64_t at_us = 0;
  {
    const std::scoped_lock lock(server.pace);
    at_us = std::max(server.next_send_us, now_us);
    server.next_send_us =
        at_us + static_cast<std::int64_t>(bytes) * 8 / megabits_a_second;
  }
  std::this_thread::sleep_for(std::chrono::microseconds(at_us - now_us));
}

auto AnswerHead(const std::string& id, const std::string& more) -> std::string {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" +
         id + "\r\n" + more + "\r\n";
}

auto Chunk(const std::string& text) -> std::string {
  constexpr int kDigits = 16;
  std::string size;
  for (std::size_t left = text.size(); left > 0; left /= kDigits) {
    size.insert(size.begin(), "0123456789abcdef"[left % kDigits]);
  }
  return size + "\r\n" + text + "\r\n";
}

/** Sends `piece` again and again until the caller closes. */
auto SendWithoutEnd(Server& server,
                    const Connection& connection,
                    const std::string& piece) -> void {
  constexpr std::size_t kBlock = 131'072;
  std::string block;
  while (block.size() + piece.size() <= kBlock) {
    block += piece;
  }
  do {
    WaitForLink(server, block.size());
  } while (connection.Send(block));
}

/** Answers in the way of a faulty server. */
auto AnswerBadly(Server& server,
                 const Connection& connection,
                 const std::string& fault,
                 const std::string& id) -> void {
  server.Record("faulty-answer-begins", id);
  if (fault == "body-without-end") {
    // A length that no caller reaches, and bytes until it closes.
    if (connection.Send(
            AnswerHead(id, "Content-Length: 1000000000000000\r\n"))) {
      SendWithoutEnd(server, connection, "no answer ");
    }
  } else if (fault == "event-without-end") {
    // The first event of the stream, again and again.
    if (connection.Send(
            AnswerHead(id, "Content-Type: text/event-stream\r\n"))) {
      SendWithoutEnd(server, connection, "id: 1\ndata: event 1\n\n");
    }
  } else if (fault == "long-trailer") {
    constexpr std::size_t kTrailerBytes = 70'000;
    static_cast<void>(connection.Send(
        AnswerHead(id, "Transfer-Encoding: chunked\r\n") +
        "2\r\nok\r\n0\r\nX-Garbage: " + std::string(kTrailerBytes, 'g') +
        "\r\n\r\n"));
  }
  server.Record("faulty-answer-ends", id);
}

/** Runs a request of a plain service. @return whether the answer was sent. */
auto RunPlain(Server& server,
              const Connection& connection,
              const std::string& id) -> bool {
  static std::mutex guard;
  static std::mt19937 random(std::random_device{}());
  std::int64_t work_ms = 0;
  {
    const std::scoped_lock lock(guard);
    work_ms = std::uniform_int_distribution<std::int64_t>(
        server.Number("min-work-ms"), server.Number("max-work-ms"))(random);
  }
  SleepMs(work_ms);
  const std::string body = "answer to " + id;
  const bool sent = connection.Send(
      AnswerHead(id, "Content-Length: " + std::to_string(body.size()) +
                         "\r\nKeep-Alive: timeout=30\r\n") +
      body);
  server.Record(sent ? "answered" : "caller-gone", id);
  return sent;
}

/** Runs a generation. @return whether the whole stream was sent. */
auto RunStream(Server& server,
               const Connection& connection,
               const Head& request,
               const std::string& id) -> bool {
  bool sent = connection.Send(AnswerHead(id,
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n"));
  for (std::int64_t event = request.Number("last-event-id") + 1;
       sent && event <= server.Number("events"); ++event) {
    SleepMs(server.Number("between-ms"));
    const std::string number = std::to_string(event);
    std::string text = "id: ";
    text.append(number).append("\ndata: event ").append(number).append("\n\n");
    sent = connection.Send(Chunk(text));
  }
  sent = sent && connection.Send("0\r\n\r\n");
  server.Record(sent ? "answered" : "caller-gone", id);
  return sent;
}

/** Serves one request. @return whether the connection may carry another. */
auto ServeRequest(Server& server, Connection& connection) -> bool {
  const auto request = connection.ReadHead();
  std::string body;
  if (!request ||
      !connection.ReadBytes(
          static_cast<std::size_t>(request->Number("content-length")), body)) {
    return false;
  }
  const std::string id = request->Field("x-attempt-id");
  if (request->Field("x-expect-instance") != server.Text("id")) {
    return connection.Send(
        "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " +
        server.Text("id") + "\r\nContent-Length: 0\r\n\r\n");
  }
  const std::string fault = server.FaultNow();
  server.Record("runs", id);
  if (!fault.empty()) {
    AnswerBadly(server, connection, fault, id);
    return false;
  }
  return server.Number("events") > 0
             ? RunStream(server, connection, *request, id)
             : RunPlain(server, connection, id);
}

/** Writes this server's entry to the store now, and at each heartbeat. */
auto Announce(const Server& server) -> void {
  constexpr std::int64_t kHeartbeatMs = 1'200;
  for (int sequence = 1;; ++sequence) {
    review::PutRecord(
        static_cast<int>(server.Number("store")), "keyed.servers",
        server.Text("id"),
        R"({"Service":")" + server.Text("service") +
            R"(","Address":"127.0.0.1:)" + std::to_string(server.port) +
            R"(","Zone":"a","Version":1,"BatchSlots":64,"State":"ready",)" +
            R"("WarmupLeftMs":0,"Sequence":)" + std::to_string(sequence) +
            R"(,"born":)" + std::to_string(server.born) + "}");
    SleepMs(kHeartbeatMs);
  }
}

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr int kCannotRun = 2;
  Server server;
  server.arguments = review::ParseArguments(argc, argv);
  server.recorder = std::make_unique<review::Recorder>(server.Text("record"));
  const int listener = review::ListenOn(server.port);
  if (listener < 0) {
    return kCannotRun;
  }
  std::thread([&server] { Announce(server); }).detach();
  while (true) {
    const int socket = accept(listener, nullptr, nullptr);
    if (socket < 0) {
      continue;
    }
    std::thread([&server, socket] {
      Connection connection(socket);
      while (ServeRequest(server, connection)) {
      }
    }).detach();
  }
}
