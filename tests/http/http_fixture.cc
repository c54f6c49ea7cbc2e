#include "http/http_fixture.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>

#include "al_core/text/digest.h"
#include "al_ledger/records/partition_map.h"
#include "al_net/tcp_connection.h"
#include "support/free_port.h"
#include "support/test_harness.h"

namespace auburnloft::testing {

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

/** How long a caller waits before it disconnects. */
constexpr Duration kDisconnectTimeout = std::chrono::seconds(2);

/** A connection to the router that is polled between runs of the event loop. */
class RawConnection {
 public:
  RawConnection() : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    CHECK_TRUE(ParseSocketAddress(AddressFor("own router"), address));
    // A failed connection also shows later, as the end of the input.
    const int connected =
        connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address));
    CHECK_EQUAL(0, connected);
    fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
  }
  ~RawConnection() { close(this->descriptor); }

  RawConnection(const RawConnection&) = delete;
  auto operator=(const RawConnection&) -> RawConnection& = delete;

  /** Sends and receives as much as possible without blocking.
      @return false if the connection is closed. */
  auto Step(std::string& to_send, std::string& received) -> bool {
    if (!to_send.empty()) {
      const ssize_t sent =
          send(this->descriptor, to_send.data(), to_send.size(), MSG_NOSIGNAL);
      if (sent > 0) {
        to_send.erase(0, static_cast<std::size_t>(sent));
      }
    }
    std::array<char, 4096> buffer{};
    const ssize_t got = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (got > 0) {
      received.append(buffer.data(), static_cast<std::size_t>(got));
    }
    const bool would_block =
        got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return got > 0 || would_block;
  }

 private:
  int descriptor;
};

auto ConfigurationText() -> std::string {
  nlohmann::json json = nlohmann::json::parse(R"({
    "defaults": {"chat_class": "quick"},
    "classes": {"quick": {"patience": "quick", "queue_limit_ms": 5000},
                "brief": {"patience": "quick", "queue_limit_ms": 20}},
    "upstreams": {"engine": {"domain": "a", "models": ["m"], "slots": 8}}
  })");
  json["upstreams"]["engine"]["address"] = AddressFor("own engine");
  json["upstreams"]["raw"] = {{"domain", "a"},
                              {"models", {"raw"}},
                              {"slots", 8},
                              {"address", AddressFor("raw own")}};
  for (const char* const team : {"blue", "red"}) {
    json["teams"][team]["key_sha256"] = Sha256Hex(std::string(team) + "-key");
  }
  return json.dump();
}

}  // namespace

auto HttpFixture::Get() -> HttpFixture& {
  static HttpFixture fixture;
  return fixture;
}

HttpFixture::HttpFixture() : client(this->loop) {
  standins::PlatformServer::Options platform_options;
  platform_options.address = AddressFor("own platform");
  this->platform =
      std::make_unique<standins::PlatformServer>(this->loop, platform_options);
  standins::EngineServer::Options engine_options;
  engine_options.address = AddressFor("own engine");
  this->engine =
      std::make_unique<standins::EngineServer>(this->loop, engine_options);
  RouterDaemon::Options options;
  options.router.name = RouterId("r1");
  options.router.incarnation = MakeIncarnation(options.router.name, 1, "aa");
  options.router.vm.name = "r1";
  options.router.vm.domain = DomainId("a");
  options.router.vm.http_address = AddressFor("own router");
  options.router.vm.peer_address = PeerAddress(AddressFor("own peers"));
  options.platform_address = AddressFor("own platform");
  options.max_body_bytes = 65'536;
  this->router = std::make_unique<RouterDaemon>(this->loop, options);
  const bool up = this->platform->Listen() && this->engine->Listen() &&
                  this->router->Start();
  if (!up) {
    throw std::runtime_error("a port that the tests use is taken");
  }
  wire::ConfigRecord record;
  record.set_merge_patch(ConfigurationText());
  this->Append("config", record.SerializeAsString());
  for (const char* const team : {"blue", "red"}) {
    wire::LedgerBatch batch;
    batch.set_kind(wire::BATCH_OPERATOR);
    wire::TopUp& top_up = *batch.add_entries()->mutable_top_up();
    top_up.set_team(team);
    top_up.set_top_up_id("first");
    top_up.set_tokens(1'000'000);
    const PartitionMap partitions(LedgerSettings{}.partitions);
    this->Append(
        PartitionMap::StreamOf(partitions.PartitionOf(TeamId(team))).value(),
        batch.SerializeAsString());
  }
  this->loop.RunUntil(
      [this] { return this->ReadState("/configuration/in_force") == 1; },
      kTimeout);
}

auto HttpFixture::Append(const std::string& stream, const std::string& bytes)
    -> void {
  bool done = false;
  HttpCall call;
  call.address = AddressFor("own platform");
  call.method = "POST";
  call.path = "/streams/" + stream + "/records";
  call.body = bytes;
  call.on_end = [&done] { done = true; };
  this->client.Send(std::move(call));
  this->loop.RunUntil([&done] { return done; }, kTimeout);
}

auto HttpFixture::ReadState(const std::string& pointer) -> std::int64_t {
  std::string body;
  bool done = false;
  HttpCall call;
  call.address = AddressFor("own router");
  call.path = "/state";
  call.on_data = [&body](std::string_view data) { body += data; };
  call.on_end = [&done] { done = true; };
  const std::shared_ptr<HttpCallHandle> handle =
      this->client.Send(std::move(call));
  this->loop.RunUntil([&done] { return done; }, kTimeout);
  handle->Cancel();
  const nlohmann::json state = nlohmann::json::parse(body, nullptr, false);
  const nlohmann::json::json_pointer place(pointer);
  return state.is_object() && state.contains(place)
             ? state[place].get<std::int64_t>()
             : -1;
}

auto HttpFixture::Exchange(const std::string& bytes,
                           const std::string& until,
                           Duration limit) -> std::string {
  RawConnection connection;
  std::string to_send = bytes;
  std::string received;
  bool open = true;
  const Instant end = this->loop.Now() + limit;
  while (open && received.find(until) == std::string::npos &&
         this->loop.Now() < end) {
    open = connection.Step(to_send, received);
    this->RunFor(std::chrono::milliseconds(2));
  }
  return received;
}

auto HttpFixture::SendAndDisconnect(const std::string& bytes,
                                    const std::string& until) -> void {
  this->Exchange(bytes, until, kDisconnectTimeout);
  this->RunFor(std::chrono::milliseconds(300));
}

auto HttpFixture::MakeChatRequest(const std::string& key,
                                  const std::string& extra_headers,
                                  const std::string& body) -> std::string {
  return "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: "
         "Bearer " +
         key + "\r\n" + extra_headers +
         "content-type: application/json\r\ncontent-length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace auburnloft::testing
