// A request that has arrived whole gets an answer or a refusal, whatever closes
// its connection: an idle time-out, a limit, or a loop that was held.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_http1/al_http1.h"
#include "al_net/tcp_connection.h"
#include "support/free_port.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/** A caller whose bytes leave at once, while the server's loop stands still. */
class Caller {
 public:
  explicit Caller(const std::string& address)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in target{};
    CHECK_TRUE(ParseSocketAddress(address, target));
    CHECK_EQUAL(
        0, connect(this->descriptor, reinterpret_cast<const sockaddr*>(&target),
                   sizeof(target)));
  }
  ~Caller() { close(this->descriptor); }

  Caller(const Caller&) = delete;
  auto operator=(const Caller&) -> Caller& = delete;

  auto Send(std::string_view bytes) -> void {
    CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
                send(this->descriptor, bytes.data(), bytes.size(), 0));
  }

  /** Adds what has arrived to received(). */
  auto Receive() -> const std::string& {
    std::array<char, 4096> chunk{};
    ssize_t count = 0;
    while ((count = recv(this->descriptor, chunk.data(), chunk.size(),
                         MSG_DONTWAIT)) > 0) {
      this->bytes.append(chunk.data(), static_cast<std::size_t>(count));
    }
    this->has_ended = this->has_ended || count == 0;
    return this->bytes;
  }

  /** Returns how many responses have arrived, refusals included. */
  auto CountResponses() -> int {
    const std::string& text = this->Receive();
    int count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
      ++count;
    }
    return count;
  }
  auto is_closed() -> bool {
    this->Receive();
    return this->has_ended;
  }
  /** Whether the server has closed the connection without having read all that
      was sent. */
  [[nodiscard]] auto is_reset() const -> bool {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == ECONNRESET || error == EPIPE;
  }

 private:
  int descriptor;
  std::string bytes;
  bool has_ended = false;
};

}  // namespace

TEST_GROUP(ArrivedRequests) {
  EventLoop loop;
  SocketPoller poller{this->loop};
  Http1SessionLimits limits;
  std::unique_ptr<Http1Server> server;
  std::shared_ptr<Http1ServerSession> stream;  ///< Whose response has begun.
  const std::string& address = AddressFor("arrived-requests");

  auto Listen(Http1ServerOptions options = {})->void {
    this->server = std::make_unique<Http1Server>(
        this->poller, this->limits,
        [this](const std::shared_ptr<Http1ServerSession>& session,
               const Http1Request& request) {
          if (request.target == "/stream") {
            session->StartResponse({200, "OK", {}});
            this->stream = session;
          } else {
            session->Respond({200, "OK", {}}, "done");
          }
        },
        std::move(options));
    CHECK_TRUE(this->server->Listen(this->address));
  }

  auto RunFor(Duration span)->void {
    this->loop.RunUntil([] { return false; }, span);
  }

  /** Lets time pass in which the loop does nothing, as it does while a callback
      runs that takes so long. */
  static auto HoldLoop(Duration span)->void {
    std::this_thread::sleep_for(span);
  }

  /** Connects, and sends a request that is answered. */
  auto ConnectAndCall()->std::unique_ptr<Caller> {
    auto caller = std::make_unique<Caller>(this->address);
    caller->Send(kRequest);
    this->RunFor(milliseconds(50));
    CHECK_EQUAL(1, caller->CountResponses());
    return caller;
  }

  TEST_TEARDOWN() {
    this->stream.reset();
    this->server.reset();
    this->RunFor(milliseconds(1));
  }
};

// Guards against callers that learn only from the close itself how long a
// connection may be reused, and whose next request meets it.
TEST(ArrivedRequests, AreNotSentWhereTheConnectionIsAboutToClose) {
  this->limits.idle_timeout = milliseconds(2'500);
  this->Listen();
  const auto caller = this->ConnectAndCall();
  // RFC 9112, section 9.3: a client does not reuse it after the stated time.
  constexpr std::string_view kField = "\r\nKeep-Alive: timeout=";
  const std::string& head = caller->Receive();
  const std::size_t at = head.find(kField);
  CHECK_TRUE(at != std::string::npos);
  int stated = 0;
  std::from_chars(head.data() + at + kField.size(), head.data() + head.size(),
                  stated);
  CHECK_TRUE(stated > 0);
  // A loop or a link may hold a request back for some hundred milliseconds.
  this->RunFor(seconds(stated) + milliseconds(300));
  CHECK_FALSE(caller->is_closed());
  this->RunFor(milliseconds(2'500));
  CHECK_TRUE(caller->is_closed());
}

// Guards against calls between routers that meet the close of a connection
// whose stated time has passed.
TEST(ArrivedRequests, AreNotSentByTheOwnClientAfterTheStatedTime) {
  constexpr int kStatedSeconds = 1;
  this->limits.idle_timeout = milliseconds(1'250);
  int calls = 0;
  std::set<std::weak_ptr<Http1ServerSession>, std::owner_less<>> connections;
  this->server = std::make_unique<Http1Server>(
      this->poller, this->limits,
      [&](const std::shared_ptr<Http1ServerSession>& session,
          const Http1Request& /*request*/) {
        connections.insert(session);
        session->Respond({200, "OK", {}}, "done");
      });
  CHECK_TRUE(this->server->Listen(this->address));
  Http1Client client(this->poller, this->address);
  const auto call = [&] {
    Http1Request request;
    request.method = "GET";
    request.target = "/x";
    request.fields.Add("Host", "h");
    client.Call(request, seconds(1),
                [&](const std::optional<Http1Client::Reply>& reply) {
                  calls += reply ? 1 : 0;
                });
    this->RunFor(milliseconds(50));
  };
  call();
  call();
  CHECK_EQUAL(1U, connections.size());
  this->RunFor(seconds(kStatedSeconds) + milliseconds(50));
  call();
  CHECK_EQUAL(3, calls);
  CHECK_EQUAL(2U, connections.size());
}

// Guards against a configuration that shortens the time for which a connection
// was said to stay open.
TEST(ArrivedRequests, KeepTheStatedTimeWhenTheLimitFalls) {
  this->limits.idle_timeout = milliseconds(2'500);
  this->Listen();
  Caller caller(this->address);
  caller.Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunFor(milliseconds(50));
  this->limits.idle_timeout = milliseconds(300);
  this->stream->FinishResponse();
  this->RunFor(milliseconds(1'500));
  caller.Send(kRequest);
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(2, caller.CountResponses());
}

// Guards against an idle time-out that comes due while the loop is held, and
// closes a connection whose next request has arrived in the meantime.
TEST(ArrivedRequests, AreServedWhenTheIdleTimeoutCameDueInAHeldLoop) {
  this->limits.idle_timeout = milliseconds(300);
  this->Listen();
  const auto caller = this->ConnectAndCall();
  this->RunFor(milliseconds(100));
  caller->Send(kRequest);
  HoldLoop(milliseconds(300));
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(2, caller->CountResponses());
}

// As above, for the time in which a header has to arrive.
TEST(ArrivedRequests, AreServedWhenTheHeaderTimeoutCameDueInAHeldLoop) {
  this->limits.header_timeout = milliseconds(300);
  this->Listen();
  Caller caller(this->address);
  caller.Send(kRequest.substr(0, 10));
  this->RunFor(milliseconds(100));
  caller.Send(kRequest.substr(10));
  HoldLoop(milliseconds(300));
  this->RunFor(milliseconds(50));
  CHECK_TRUE(caller.Receive().starts_with("HTTP/1.1 200"));
}

// Guards against timers that run before the sockets that were ready first: a
// limit of time must not strike what has arrived within it.
TEST(ArrivedRequests, AreReadBeforeTimersThatCameDueInAHeldLoop) {
  int served = 0;
  int served_before_timer = -1;
  this->server = std::make_unique<Http1Server>(
      this->poller, this->limits,
      [&](const std::shared_ptr<Http1ServerSession>& session,
          const Http1Request& /*request*/) {
        ++served;
        session->Respond({200, "OK", {}}, "done");
      });
  CHECK_TRUE(this->server->Listen(this->address));
  // More than the loop reads at a time.
  constexpr int kCallers = 150;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(this->address));
  }
  this->RunFor(milliseconds(100));
  LoopTimer timer(this->loop, [&] { served_before_timer = served; });
  timer.Start(milliseconds(20));
  for (const auto& caller : callers) {
    caller->Send(kRequest);
  }
  HoldLoop(milliseconds(100));
  this->RunFor(milliseconds(100));
  CHECK_EQUAL(kCallers, served_before_timer);
}

// Guards against a planned stop, or another close of idle connections, that
// closes one whose next request has arrived but was not read yet.
TEST(ArrivedRequests, AreServedWhenIdleConnectionsAreClosed) {
  this->Listen();
  const auto caller = this->ConnectAndCall();
  caller->Send(kRequest);
  HoldLoop(milliseconds(20));
  this->server->StopListening(Duration(0));
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(2, caller->CountResponses());
}

// Guards against a new connection that takes the place of one whose request has
// arrived but was not read yet.
TEST(ArrivedRequests, AreAnsweredWhenConnectionsAreShort) {
  Http1ServerOptions options;
  options.max_connections = 2;
  this->Listen(std::move(options));
  const auto first = this->ConnectAndCall();
  const auto second = this->ConnectAndCall();
  Caller third(this->address);
  HoldLoop(milliseconds(20));
  first->Send(kRequest);
  second->Send(kRequest);
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(2, first->CountResponses());
  CHECK_EQUAL(2, second->CountResponses());
}

// Guards against a refusal that is lost, as its connection is reset at once to
// make room for another one.
TEST(ArrivedRequests, AreRefusedWhenOthersTakeTheirConnection) {
  Http1ServerOptions options;
  options.max_connections = 1;
  this->Listen(std::move(options));
  Caller caller(this->address);
  caller.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  this->RunFor(milliseconds(50));
  Caller other(this->address);
  HoldLoop(milliseconds(20));
  caller.Send("cd");
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(1, caller.CountResponses());
}

// Guards against an account of memory that closes a connection whose request
// has arrived but was not read yet, in favour of another one.
TEST(ArrivedRequests, AreAnsweredWhenMemoryIsShort) {
  Http1ServerOptions options;
  options.memory = std::make_shared<MemoryAccount>(
      2 * MemoryAccount::kConnectionBytes + std::size_t{24} * 1024);
  this->limits.request.body_bytes = std::size_t{1} << 20;
  this->Listen(std::move(options));
  const auto caller = this->ConnectAndCall();
  Caller large(this->address);
  this->RunFor(milliseconds(20));
  large.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" +
             std::string(60'000, 'x'));
  HoldLoop(milliseconds(20));
  caller->Send(kRequest);
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(2, caller->CountResponses());
}

// Guards against a call on a connection whose end has arrived but was not read
// yet, as the loop was held.
TEST(ArrivedRequests, AreNotSentByTheOwnClientWhereTheEndHasArrived) {
  this->Listen();
  Http1Client client(this->poller, this->address);
  int answered = 0;
  int failed = 0;
  const auto call = [&] {
    Http1Request request;
    request.method = "GET";
    request.target = "/x";
    request.fields.Add("Host", "h");
    client.Call(request, seconds(1),
                [&](const std::optional<Http1Client::Reply>& reply) {
                  ++(reply ? answered : failed);
                });
  };
  call();
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(1, answered);
  this->server->CloseIdle(Duration(0));
  HoldLoop(milliseconds(20));
  call();
  this->RunFor(milliseconds(100));
  CHECK_EQUAL(0, failed);
  CHECK_EQUAL(2, answered);
}

// Guards against a stated time that begins before the caller has the response.
TEST(ArrivedRequests, KeepTheStatedTimeFromTheEndOfASlowResponse) {
  this->limits.idle_timeout = milliseconds(2'500);  // States 2 s.
  const std::string body(std::size_t{8} << 20, 'x');
  this->server = std::make_unique<Http1Server>(
      this->poller, this->limits,
      [&](const std::shared_ptr<Http1ServerSession>& session,
          const Http1Request& request) {
        session->Respond({200, "OK", {}},
                         request.target == "/large" ? body : "done");
      });
  CHECK_TRUE(this->server->Listen(this->address));
  Caller caller(this->address);
  caller.Send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunFor(milliseconds(2'000));
  while (caller.Receive().size() < body.size()) {
    this->RunFor(milliseconds(5));
  }
  this->RunFor(milliseconds(1'000));  // Half of the stated time.
  CHECK_FALSE(caller.is_closed());
  caller.Send(kRequest);
  this->RunFor(milliseconds(50));
  CHECK_EQUAL(2, caller.CountResponses());
}

// Guards against an answer that is cut, as its connection, which closes after
// it, is taken for a new one.
TEST(ArrivedRequests, AreAnsweredWholeWhenTheirClosingConnectionIsWanted) {
  const std::string body(std::size_t{8} << 20, 'x');
  Http1ServerOptions options;
  options.max_connections = 1;
  this->server = std::make_unique<Http1Server>(
      this->poller, this->limits,
      [&](const std::shared_ptr<Http1ServerSession>& session,
          const Http1Request& /*request*/) {
        session->Respond({200, "OK", {}}, body);
      },
      std::move(options));
  CHECK_TRUE(this->server->Listen(this->address));
  Caller caller(this->address);
  caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  this->RunFor(milliseconds(50));
  Caller other(this->address);
  this->RunFor(milliseconds(50));
  while (!caller.is_closed()) {
    this->RunFor(milliseconds(5));
  }
  CHECK_TRUE(caller.Receive().size() > body.size());
}

// Guards against a router that reads a request after it has closed its
// connection as idle: what was not read may be sent again, and a reset says so.
TEST(ArrivedRequests, AreNotReadAfterTheCloseOfAnIdleConnection) {
  this->Listen();
  const auto caller = this->ConnectAndCall();
  this->server->CloseIdle(Duration(0));
  caller->Send(kRequest);
  this->RunFor(milliseconds(50));
  CHECK_TRUE(caller->is_reset());
}

// Guards against timers that wait until all of a crowd has been served.
TEST(ArrivedRequests, DelayNoTimerForLong) {
  this->server = std::make_unique<Http1Server>(
      this->poller, this->limits,
      [](const std::shared_ptr<Http1ServerSession>& session,
         const Http1Request& /*request*/) {
        HoldLoop(milliseconds(1));
        session->Respond({200, "OK", {}}, "done");
      });
  CHECK_TRUE(this->server->Listen(this->address));
  constexpr int kCallers = 800;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(this->address));
  }
  this->RunFor(milliseconds(100));
  const Instant start = this->loop.Now();
  Duration lateness{0};
  LoopTimer timer(this->loop, [&] {
    lateness = this->loop.Now() - start - milliseconds(20);
  });
  timer.Start(milliseconds(20));
  for (const auto& caller : callers) {
    caller->Send(kRequest);
  }
  HoldLoop(milliseconds(50));
  this->RunFor(milliseconds(1'500));
  // Half a second late, an end of time is too late for its caller.
  CHECK_TRUE(lateness > Duration(0));
  CHECK_TRUE(lateness < milliseconds(500));
}

// Guards against connections that read no response and keep a request unread:
// they were passed over, and one that is in order was closed.
TEST(ArrivedRequests, KeepTheirConnectionBesideOnesThatReadNoResponse) {
  const std::string body(std::size_t{8} << 20, 'x');
  Http1ServerOptions options;
  options.max_connections = 3;
  this->server = std::make_unique<Http1Server>(
      this->poller, this->limits,
      [&](const std::shared_ptr<Http1ServerSession>& session,
          const Http1Request& request) {
        session->Respond({200, "OK", {}},
                         request.target == "/large" ? body : "done");
      },
      std::move(options));
  CHECK_TRUE(this->server->Listen(this->address));
  Caller first(this->address);
  Caller second(this->address);
  for (Caller* const stuck : {&first, &second}) {
    stuck->Send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    this->RunFor(milliseconds(50));
    stuck->Send(kRequest);
  }
  this->RunFor(milliseconds(300));
  const auto orderly = this->ConnectAndCall();
  this->RunFor(milliseconds(50));
  Caller other(this->address);
  this->RunFor(milliseconds(50));
  CHECK_FALSE(orderly->is_closed());
}
