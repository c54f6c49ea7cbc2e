#include "support/gateway_fixture.h"

#include <stdexcept>
#include <utility>

#include "al_http1/http1_message.h"
#include "al_net/tcp_connection.h"
#include "support/free_port.h"
#include "wire/test_caller_request.h"

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Timeout of one exchange, long enough for a busy machine. */
constexpr Duration kExchangeTimeout = seconds(20);

auto MakeUpstream(SocketPoller& poller, const std::string& id)
    -> std::unique_ptr<standins::WireUpstream> {
  standins::WireUpstream::Settings settings;
  settings.id = id;
  settings.address = AddressFor(id);
  settings.first_event_delay = milliseconds(2);
  settings.event_interval = milliseconds(2);
  auto upstream = std::make_unique<standins::WireUpstream>(poller, settings);
  if (!upstream->Listen()) {
    throw std::runtime_error("a stand-in upstream cannot listen on its port");
  }
  return upstream;
}

}  // namespace

GatewayFixture::GatewayFixture(Duration grace_period,
                               bool admission,
                               double hedge_share)
    : grace_period(grace_period),
      admission(admission),
      hedge_share(hedge_share) {
  if (!this->store.Listen(AddressFor("store"))) {
    throw std::runtime_error("the stand-in store cannot listen on its port");
  }
  this->engine_1 = MakeUpstream(this->poller, "engine-1");
  this->engine_2 = MakeUpstream(this->poller, "engine-2");
  this->service_1 = MakeUpstream(this->poller, "desk-1");
  this->service_2 = MakeUpstream(this->poller, "desk-2");
  this->List(*this->engine_1, "engine-1", "engines", false);
  this->List(*this->engine_2, "engine-2", "engines", false);
  this->List(*this->service_1, "desk-1", "desks", false);
  this->List(*this->service_2, "desk-2", "desks", false);
  this->router = this->StartRouter(1);
}

GatewayFixture::~GatewayFixture() = default;

auto GatewayFixture::AddressOf(int router, const std::string& listener)
    -> std::string {
  return AddressFor("router-" + std::to_string(router) + " " + listener);
}

auto GatewayFixture::AddRouter(int number) -> void {
  this->more_routers.push_back(this->StartRouter(number));
}

auto GatewayFixture::StartRouter(int number)
    -> std::unique_ptr<gateway::GatewayDaemon> {
  gateway::GatewayDaemon::Options options;
  options.self.name = "router-" + std::to_string(number);
  options.self.incarnation = options.self.name + "#1";
  options.self.domain = "a";
  options.self.client_address = AddressOf(number, "clients");
  options.self.peer_address = AddressOf(number, "peers");
  options.entry_address = AddressOf(number, "entry");
  options.readiness_address = AddressOf(number, "readiness");
  options.metrics_address = AddressOf(number, "metrics");
  options.log_address = AddressFor("store");
  options.grace_period = this->grace_period;
  options.stream_lifetime = this->stream_lifetime;
  options.admission = this->admission;
  options.hedge_share = this->hedge_share;
  options.on_stopped = [this] { ++this->stopped_routers; };
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
  this->PutConfig(version, prepaid);
  this->RunFor(milliseconds(700));
}

auto GatewayFixture::PutConfig(std::uint64_t version, std::uint64_t prepaid)
    -> void {
  const std::string number = std::to_string(version);
  const std::string tokens = std::to_string(prepaid);
  this->store.Put(
      "keyed.op", "config",
      R"({"Version":)" + number + R"(,"Routes":[
      {"Name":"once","Host":"h","PathPrefix":"/once/","Type":"unsafe","Service":"desks","TimeoutMs":2000,"SloMs":300,"MaxAttempts":1},
      {"Name":"read","Host":"h","PathPrefix":"/read/","Type":"safe","Service":"desks","TimeoutMs":2000,"SloMs":300,"MaxAttempts":2},
      {"Name":"draft","Host":"h","PathPrefix":"/draft/","Type":"streaming","Service":"engines","TimeoutMs":4000,"SloMs":800,"MaxAttempts":1},
      {"Name":"ask","Host":"h","PathPrefix":"/ask/","Type":"streaming","Service":"engines","TimeoutMs":4000,"SloMs":300,"MaxAttempts":2,"Resumable":true,"GapTargetMs":400}],
      "Services":[{"Name":"engines","MaxConns":100,"Engine":{"BatchSlots":8,"Stride":5}},{"Name":"desks","MaxConns":100}],
      "Limits":{"MaxHeaderBytes":)" +
          std::to_string(this->max_header_bytes) + R"(,"MaxBodyBytes":)" +
          std::to_string(this->max_body_bytes) + R"(,"HeaderTimeoutMs":)" +
          std::to_string(this->header_timeout.count() / 1'000) +
          R"(,"IdleTimeoutMs":)" +
          std::to_string(this->idle_timeout.count() / 1'000) +
          R"(},
      "Tenants":[{"Name":"blue","ApiKeys":["blue-key"],"Prepaid":)" +
          tokens + "}]}");
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
  request.prompt_parts = call.prompt_parts;
  request.deadline_ms = call.deadline_ms;
  request.last_event_id = call.last_event_id;
  request.resumes = call.resumes;
  return standins::MakeHttpRequest(request);
}

auto GatewayFixture::Send(const Call& call) -> Response {
  return this->Exchange(AddressOf(1, "clients"), MakeRequest(call));
}

auto GatewayFixture::SendTo(const std::string& address, const Call& call)
    -> Response {
  return this->Exchange(address, MakeRequest(call));
}

auto GatewayFixture::StartSending(const Call& call)
    -> std::shared_ptr<Response> {
  const auto connection = this->Connect();
  return connection ? this->StartSendingOn(connection, call) : nullptr;
}

auto GatewayFixture::Connect(int router)
    -> std::shared_ptr<Http1ClientConnection> {
  return Http1ClientConnection::Connect(
      this->poller, AddressOf(router, "clients"), seconds(2));
}

auto GatewayFixture::StartSendingOn(
    const std::shared_ptr<Http1ClientConnection>& connection,
    const Call& call) -> std::shared_ptr<Response> {
  return this->StartExchange(connection, MakeRequest(call));
}

auto GatewayFixture::Get(const std::string& address, const std::string& target)
    -> Response {
  Http1Request request;
  request.method = "GET";
  request.target = target;
  request.fields.Add("Host", "h");
  return this->Exchange(address, request);
}

auto GatewayFixture::SendRaw(const std::string& bytes,
                             const std::string& listener,
                             Duration limit) -> std::string {
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
  connection = TcpConnection::Connect(this->poller, AddressOf(1, listener),
                                      seconds(2), callbacks);
  this->loop.RunUntil([&] { return ended; }, limit);
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
  const std::shared_ptr<Response> response =
      this->StartExchange(connection, request);
  this->loop.RunUntil([&] { return response->ended; }, kExchangeTimeout);
  return *response;
}

auto GatewayFixture::StartExchange(
    const std::shared_ptr<Http1ClientConnection>& connection,
    const Http1Request& request) -> std::shared_ptr<Response> {
  auto response = std::make_shared<Response>();
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.on_head = [response](const Http1ResponseHead& head) {
    response->status = head.status;
    response->retry_after = head.fields.Find("Retry-After").value_or("");
    response->seal = head.fields.Find("X-Server-Seal").value_or("");
  };
  callbacks.on_body = [response](const std::string& bytes) {
    response->body.append(bytes);
  };
  // Holds the connection until the exchange ends.
  callbacks.on_done = [response, connection](Http1Outcome outcome) {
    response->complete = outcome == Http1Outcome::kComplete;
    response->not_sent = outcome == Http1Outcome::kNotSent;
    response->ended = true;
  };
  connection->Start(SerializeRequest(request), false, std::move(callbacks));
  return response;
}

}  // namespace auburnloft::testing
