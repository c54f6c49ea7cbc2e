// Stand-ins for clients of the users' platform that connect late. Each asks a
// router which addresses to use, some tens of milliseconds after a router was
// told to stop, and keeps the answer for three times its `TtlS`, as the pages
// allow. Just before the end of that time it opens a connection to the router
// that stops, if the answer still names it, and sends one generation.

#include <chrono>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include "net.h"

namespace {

using review::Connection;
using review::NowMs;

/** How long before the end of its time an answer is used. */
constexpr std::int64_t kMarginMs = 5;

/** The router that stops, and what the clients share. */
struct Play {
  std::map<std::string, std::string> arguments;
  std::vector<int> entry_ports;
  std::unique_ptr<review::Recorder> recorder;
  std::int64_t stop_at = 0;

  [[nodiscard]] auto Number(const std::string& name) const -> std::int64_t {
    const auto found = this->arguments.find(name);
    return found == this->arguments.end()
               ? 0
               : std::strtoll(found->second.c_str(), nullptr, 10);
  }
};

auto SleepUntil(std::int64_t unix_ms) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(unix_ms - NowMs()));
}

/** Asks a router for addresses.
    @return how long the answer may be used, in milliseconds, if it names the
    router that stops; else 0. */
auto Resolve(const Play& play, int entry_port) -> std::int64_t {
  Connection connection(review::ConnectTo(entry_port));
  if (!connection.is_open()) {
    return 0;
  }
  connection.SetTimeout(1000);
  if (!connection.Send("GET /resolve?Name=demo&Region=r&Zone=a HTTP/1.1\r\n"
                       "Host: registry\r\nConnection: close\r\n\r\n")) {
    return 0;
  }
  const auto head = connection.ReadHead();
  std::string body;
  if (!head ||
      !connection.ReadBytes(
          static_cast<std::size_t>(head->Number("content-length")), body)) {
    return 0;
  }
  const std::string address =
      "\"127.0.0.1:" + std::to_string(play.Number("leaving-port")) + "\"";
  const std::size_t ttl = body.find("\"TtlS\":");
  if (body.find(address) == std::string::npos || ttl == std::string::npos) {
    return 0;
  }
  constexpr double kThreeTimesInMs = 3000.0;
  return static_cast<std::int64_t>(
      std::strtod(body.c_str() + ttl + 7, nullptr) * kThreeTimesInMs);
}

/** Sends one generation to the router that stops, and reads its answer. */
auto SendGeneration(const Play& play, const std::string& id) -> void {
  const std::string since_stop =
      " after_stop=" + std::to_string(NowMs() - play.stop_at);
  Connection connection(
      review::ConnectTo(static_cast<int>(play.Number("leaving-port"))));
  if (!connection.is_open()) {
    play.recorder->Write("late no-connection " + id + since_stop);
    return;
  }
  constexpr std::int64_t kTimeoutMs = 15'000;
  connection.SetTimeout(kTimeoutMs);
  const std::string body = "body of " + id;
  const bool was_sent = connection.Send(
      "POST /questions/x HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: " + id +
      "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Token parish-key\r\n"
      "X-Model: m\r\nX-Token-Count: " +
      play.arguments.at("tokens") + "\r\nX-Prompt-Prefix: aa:50," + id +
      ":50\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body);
  const auto head = was_sent ? connection.ReadHead() : std::nullopt;
  const std::string status = head ? head->first_line.substr(9, 3) : "none";
  std::string answer;
  const bool is_whole =
      head && (head->Field("transfer-encoding") == "chunked"
                   ? connection.ReadChunks(answer)
                   : connection.ReadBytes(static_cast<std::size_t>(
                                              head->Number("content-length")),
                                          answer));
  play.recorder->Write("late " + std::string(is_whole ? "answered " : "cut ") +
                       id + since_stop + " status=" + status +
                       " ended=" + std::to_string(NowMs() - play.stop_at));
}

/** Plays one client that asks `delay_ms` after the stop. */
auto RunClient(const Play& play, int number, std::int64_t delay_ms) -> void {
  SleepUntil(play.stop_at + delay_ms);
  const int entry_port = play.entry_ports[static_cast<std::size_t>(number) %
                                          play.entry_ports.size()];
  const std::int64_t usable_ms = Resolve(play, entry_port);
  const std::int64_t resolved_at = NowMs();
  const std::string id = "late-" + std::to_string(number);
  if (usable_ms == 0) {
    play.recorder->Write("late not-named " + id);
    return;
  }
  SleepUntil(resolved_at + usable_ms - kMarginMs);
  SendGeneration(play, id);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr int kClients = 40;
  constexpr std::int64_t kBetweenMs = 10;
  Play play;
  play.arguments = review::ParseArguments(argc, argv);
  play.recorder =
      std::make_unique<review::Recorder>(play.arguments.at("record"));
  play.stop_at = play.Number("stop-at");
  std::stringstream ports(play.arguments.at("entry-ports"));
  for (std::string port; std::getline(ports, port, ',');) {
    play.entry_ports.push_back(std::atoi(port.c_str()));
  }
  std::vector<std::thread> threads;
  threads.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back(
        [&play, i] { RunClient(play, i, (i + 1) * kBetweenMs); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return 0;
}
