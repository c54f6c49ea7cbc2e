// Stand-ins for clients of the users' platform. Each keeps one connection to a
// router and sends one request after the other on it; a request has an id of
// its own. All that is sent and answered is recorded.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include "net.h"

namespace {

using review::Connection;
using review::Head;
using review::NowMs;

struct Settings {
  std::map<std::string, std::string> arguments;
  std::vector<int> routers;  ///< Ports.
  std::unique_ptr<review::Recorder> recorder;
  std::int64_t end = 0;

  [[nodiscard]] auto Text(const std::string& name) const -> std::string {
    const auto found = this->arguments.find(name);
    return found == this->arguments.end() ? std::string() : found->second;
  }
  [[nodiscard]] auto Number(const std::string& name) const -> std::int64_t {
    return std::strtoll(this->Text(name).c_str(), nullptr, 10);
  }
};

/** Returns the number of whole events in the body of a stream. */
auto CountEvents(const std::string& body) -> int {
  int count = 0;
  for (std::size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", end + 2)) {
    ++count;
  }
  return count;
}

/** One client with its kept connection. */
class Client {
 public:
  Client(const Settings& settings, int number)
      : settings(settings), number(number) {}

  /** Sends requests until the end of the play. */
  auto Run() -> void {
    while (NowMs() < this->settings.end) {
      if (!this->connection && !this->Connect()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        continue;
      }
      if (!this->SendRequest()) {
        this->connection.reset();
      }
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->settings.Number("pause-ms")));
    }
  }

 private:
  /** Connects to the next router in turn. */
  auto Connect() -> bool {
    const std::vector<int>& routers = this->settings.routers;
    const std::size_t chosen =
        static_cast<std::size_t>(this->number + this->connects++) %
        routers.size();
    this->router = routers[chosen];
    const int socket = review::ConnectTo(this->router);
    if (socket < 0) {
      return false;
    }
    this->connection = std::make_unique<Connection>(socket);
    this->answered_here = 0;
    return true;
  }

  [[nodiscard]] auto MakeRequest(const std::string& id) const -> std::string {
    std::string text =
        this->settings.Text("method") + " " + this->settings.Text("path") + id +
        " HTTP/1.1\r\nHost: demo\r\nX-Attempt-Id: " + id +
        "\r\nX-Deadline-Ms: " + this->settings.Text("deadline-ms") + "\r\n";
    if (!this->settings.Text("key").empty()) {
      text += "Authorization: Token " + this->settings.Text("key") + "\r\n";
    }
    if (!this->settings.Text("tokens").empty()) {
      text += "X-Model: m\r\nX-Token-Count: " + this->settings.Text("tokens") +
              "\r\nX-Prompt-Prefix: " + this->settings.Text("shared-part") +
              "," + std::to_string(this->number) + "b" +
              std::to_string(this->sent) + ":50\r\n";
    }
    const std::string body = this->settings.Text("method") == "GET"
                                 ? std::string()
                                 : "body of " + id;
    if (!body.empty()) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
  }

  auto Record(const std::string& event,
              const std::string& id,
              const std::string& more) const -> void {
    this->settings.recorder->Write(
        "client " + event + " " + id +
        " router=" + std::to_string(this->router) +
        " kept=" + (this->answered_here > 0 ? "1" : "0") + more);
  }

  /** Sends one request and reads its answer.
      @return whether the connection may carry another. */
  auto SendRequest() -> bool {
    const std::string id = this->settings.Text("name") + "-" +
                           std::to_string(this->number) + "-" +
                           std::to_string(this->sent++);
    const std::size_t received_before = this->connection->received_bytes();
    const std::int64_t sent_at = NowMs();
    // A stream is abandoned after a pause, all else at the deadline.
    const std::int64_t pause_ms = this->settings.Number("gap-ms");
    this->connection->SetTimeout(
        pause_ms > 0 ? pause_ms : this->settings.Number("deadline-ms") + 200);
    this->Record("sent", id, " path=" + this->settings.Text("path"));
    if (!this->connection->Send(this->MakeRequest(id))) {
      this->Record("not-sent", id, "");
      return false;
    }
    const auto head = this->connection->ReadHead();
    std::string body;
    const bool is_whole = head && this->ReadBody(*head, body);
    const std::string times = " ms=" + std::to_string(NowMs() - sent_at) +
                              " events=" + std::to_string(CountEvents(body));
    if (!is_whole) {
      const bool gave_up =
          NowMs() - sent_at >=
          (pause_ms > 0 ? pause_ms : this->settings.Number("deadline-ms"));
      const bool has_begun =
          this->connection->received_bytes() > received_before;
      this->Record(gave_up     ? "gave-up"
                   : has_begun ? "cut-in-answer"
                               : "closed-without-answer",
                   id, times);
      return false;
    }
    this->Record(
        "answered", id,
        times + " status=" + head->first_line.substr(9, 3) + " seal=" +
            (head->Field("x-server-seal") == "seal-" + id ? "1" : "0"));
    ++this->answered_here;
    return head->Field("connection") != "close";
  }

  auto ReadBody(const Head& head, std::string& body) -> bool {
    return head.Field("transfer-encoding") == "chunked"
               ? this->connection->ReadChunks(body)
               : this->connection->ReadBytes(
                     static_cast<std::size_t>(head.Number("content-length")),
                     body);
  }

  const Settings& settings;
  int number;
  int connects = 0;
  int sent = 0;
  int router = 0;
  int answered_here = 0;
  std::unique_ptr<Connection> connection;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  Settings settings;
  settings.arguments = review::ParseArguments(argc, argv);
  settings.recorder =
      std::make_unique<review::Recorder>(settings.Text("record"));
  settings.end = NowMs() + settings.Number("seconds") * 1000;
  std::stringstream ports(settings.Text("routers"));
  for (std::string port; std::getline(ports, port, ',');) {
    settings.routers.push_back(std::atoi(port.c_str()));
  }
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::thread> threads;
  for (int i = 0; i < settings.Number("clients"); ++i) {
    clients.push_back(std::make_unique<Client>(settings, i));
    threads.emplace_back([client = clients.back().get()] { client->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return 0;
}
