#include "support/gateway_fixture.h"

#include <stdexcept>
#include <utility>

#include "al_http1/http1_message.h"
#include "al_net/tcp_connection.h"
#include "wire/test_caller_request.h"

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kStore = "127.0.0.1:18301";
const std::string kClients = "127.0.0.1:18310";

/** Timeout of one exchange, long enough for a busy machine. */
constexpr Duration kExchangeTimeout = seconds(20);

auto MakeUpstream(SocketPoller& poller, const std::string& id, int port)
    -> std::unique_ptr<standins::WireUpstream> {
  standins::WireUpstream::Settings settings;
  settings.id = id;
  settings.address = "127.0.0.1:" + std::to_string(port);
  settings.first_event_delay = milliseconds(2);
  settings.event_interval = milliseconds(2);
  auto upstream = std::make_unique<standins::WireUpstream>(poller, settings);
  if (!upstream->Listen()) {
    throw std::runtime_error("a stand-in upstream cannot listen on its port");
  }
  return upstream;
}

}  // namespace

GatewayFixture::GatewayFixture() {
  if (!this->store.Listen(kStore)) {
    throw std::runtime_error("the stand-in store cannot listen on its port");
  }
  constexpr int kFirstPort = 18'321;
  this->engine_1 = MakeUpstream(this->poller, "engine-1", kFirstPort);
  this->engine_2 = MakeUpstream(this->poller, "engine-2", kFirstPort + 1);
  this->service_1 = MakeUpstream(this->poller, "desk-1", kFirstPort + 2);
  this->service_2 = MakeUpstream(this->poller, "desk-2", kFirstPort + 3);
  this->List(*this->engine_1, "engine-1", "engines", false);
  this->List(*this->engine_2, "engine-2", "engines", false);
  this->List(*this->service_1, "desk-1", "desks", false);
  this->List(*this->service_2, "desk-2", "desks", false);
  this->router = this->StartRouter(1);
}

GatewayFixture::~GatewayFixture() = default;

auto GatewayFixture::AddRouter(int number) -> void {
  this->more_routers.push_back(this->StartRouter(number));
}

auto GatewayFixture::StartRouter(int number)
    -> std::unique_ptr<gateway::GatewayDaemon> {
  constexpr int kFirstPort = 18'300;
  constexpr int kPortsPerRouter = 10;
  // The upstreams use the ports of block 2, so router 2 uses block 3.
  const int port_block = number == 1 ? 1 : number + 1;
  const auto address = [port_block](int listener) {
    return "127.0.0.1:" +
           std::to_string(kFirstPort + port_block * kPortsPerRouter + listener);
  };
  gateway::GatewayDaemon::Options options;
  options.self.name = "router-" + std::to_string(number);
  options.self.incarnation = options.self.name + "#1";
  options.self.domain = "a";
  options.self.client_address = address(0);
  options.self.peer_address = address(3);
  options.entry_address = address(1);
  options.readiness_address = address(2);
  options.log_address = kStore;
  options.grace_period = seconds(8);
  options.on_stopped = [] {};
  options.log_descriptor = -1;
  auto started =
      std::make_unique<gateway::GatewayDaemon>(this->loop, std::move(options));
  if (!started->Start()) {
    throw std::runtime_error("the router cannot listen on its ports");
  }
  return started;
}

auto GatewayFixture::Publish(std::uint64_t version, std::uint64_t prepaid)
    -> void {
  const std::string number = std::to_string(version);
  const std::string tokens = std::to_string(prepaid);
  this->store.Put("keyed.op", "config",
                  R"({"Version":)" + number + R"(,"Routes":[
      {"Name":"once","Host":"h","PathPrefix":"/once/","Type":"unsafe","Service":"desks","TimeoutMs":2000,"SloMs":300,"MaxAttempts":1},
      {"Name":"read","Host":"h","PathPrefix":"/read/","Type":"safe","Service":"desks","TimeoutMs":2000,"SloMs":300,"MaxAttempts":2},
      {"Name":"draft","Host":"h","PathPrefix":"/draft/","Type":"streaming","Service":"engines","TimeoutMs":4000,"SloMs":800,"MaxAttempts":1},
      {"Name":"ask","Host":"h","PathPrefix":"/ask/","Type":"streaming","Service":"engines","TimeoutMs":4000,"SloMs":300,"MaxAttempts":2,"Resumable":true,"GapTargetMs":400}],
      "Services":[{"Name":"engines","MaxConns":100,"Engine":{"BatchSlots":8,"Stride":5}},{"Name":"desks","MaxConns":100}],
      "Limits":{"MaxHeaderBytes":4096,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
      "Tenants":[{"Name":"blue","ApiKeys":["blue-key"],"Prepaid":)" +
                      tokens + "}]}");
  this->RunFor(milliseconds(700));
}

auto GatewayFixture::List(const standins::WireUpstream& upstream,
                          const std::string& id,
                          std::string_view service,
                          bool leaving) -> void {
  this->store.Put("keyed.servers", id, upstream.Entry(service, "a", leaving));
}

auto GatewayFixture::MakeRequest(const Call& call) -> Http1Request {
  standins::TestCallerRequest request;
  request.id = call.id;
  request.host = "h";
  request.path = call.path + "x";
  request.key = call.key;
  request.tokens = call.tokens;
  request.deadline_ms = call.deadline_ms;
  return standins::MakeHttpRequest(request);
}

auto GatewayFixture::Send(const Call& call) -> Response {
  return this->Exchange(kClients, MakeRequest(call));
}

auto GatewayFixture::SendTo(const std::string& address, const Call& call)
    -> Response {
  return this->Exchange(address, MakeRequest(call));
}

auto GatewayFixture::Get(const std::string& address, const std::string& target)
    -> Response {
  Http1Request request;
  request.method = "GET";
  request.target = target;
  request.fields.Add("Host", "h");
  return this->Exchange(address, request);
}

auto GatewayFixture::SendRaw(const std::string& bytes) -> std::string {
  std::string received;
  bool ended = false;
  std::shared_ptr<TcpConnection> connection;
  TcpConnection::Callbacks callbacks;
  callbacks.on_connected = [&] { connection->Write(bytes); };
  callbacks.on_input = [&] {
    received.append(connection->input());
    connection->Consume(connection->input().size());
  };
  callbacks.on_end = [&](TcpCloseReason /*end*/) { ended = true; };
  connection =
      TcpConnection::Connect(this->poller, kClients, seconds(2), callbacks);
  this->loop.RunUntil([&] { return ended; }, milliseconds(600));
  connection->SetCallbacks({});
  connection->Close();
  return received;
}

auto GatewayFixture::RunFor(Duration span) -> void {
  this->loop.RunUntil([] { return false; }, span);
}

auto GatewayFixture::Exchange(const std::string& address,
                              const Http1Request& request) -> Response {
  const auto connection =
      Http1ClientConnection::Connect(this->poller, address, seconds(2));
  Response response = this->ExchangeOn(connection, request);
  connection->Close();
  return response;
}

auto GatewayFixture::ExchangeOn(
    const std::shared_ptr<Http1ClientConnection>& connection,
    const Http1Request& request) -> Response {
  Response response;
  bool done = false;
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.on_head = [&](const Http1ResponseHead& head) {
    response.status = head.status;
    response.retry_after = head.fields.Find("Retry-After").value_or("");
    response.seal = head.fields.Find("X-Server-Seal").value_or("");
  };
  callbacks.on_body = [&](const std::string& bytes) {
    response.body.append(bytes);
  };
  callbacks.on_done = [&](Http1Outcome outcome) {
    response.complete = outcome == Http1Outcome::kComplete;
    done = true;
  };
  connection->Start(SerializeRequest(request), false, std::move(callbacks));
  this->loop.RunUntil([&] { return done; }, kExchangeTimeout);
  return response;
}

}  // namespace auburnloft::testing
