// How a connection ends when its peer resets it while bytes are unsent.
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_net/socket_poller.h"
#include "al_net/tcp_connection.h"
#include "al_net/tcp_listener.h"
#include "support/free_port.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

/** The kernel's receive buffer, which holds all that a peer sends here. */
constexpr int kReceiveBufferBytes = 200'000;

/** More than is read in one turn of the loop. */
constexpr std::size_t kSeveralTurns = 100'000;

/** More than the kernel takes of a connection whose peer does not read. */
constexpr std::size_t kUploadBytes = 8'000'000;

}  // namespace

TEST_GROUP(TcpConnections) {
  EventLoop loop;
  SocketPoller poller{this->loop};
  std::shared_ptr<TcpConnection> connection;
  TcpListener listener{this->poller,
                       [this](int descriptor) { this->Adopt(descriptor); }};
  int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string received;
  std::optional<TcpCloseReason> end;

  TEST_SETUP() {
    const std::string address = AddressFor("tcp connections");
    CHECK_TRUE(this->listener.Listen(address, {kReceiveBufferBytes, 0}));
    sockaddr_in target{};
    CHECK_TRUE(ParseSocketAddress(address, target));
    CHECK_EQUAL(0, connect(this->peer, reinterpret_cast<sockaddr*>(&target),
                           sizeof(target)));
    this->loop.RunUntil([this] { return this->connection != nullptr; },
                        kTimeout);
    CHECK_TRUE(this->connection != nullptr);
  }

  TEST_TEARDOWN() {
    this->connection->Close();
    this->listener.Close();
  }

  auto Adopt(int descriptor)->void {
    TcpConnection::Callbacks callbacks;
    callbacks.on_input = [this] {
      this->received.append(this->connection->input());
      this->connection->Consume(this->connection->input().size());
    };
    callbacks.on_end = [this](TcpCloseReason reason) { this->end = reason; };
    this->connection =
        TcpConnection::Adopt(this->poller, descriptor, std::move(callbacks));
  }

  /** Lets the peer send bytes and close the connection, which resets it if the
      peer has unread input. */
  auto SendAndClose(const std::string& bytes, bool sends_fin)->void {
    CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
                send(this->peer, bytes.data(), bytes.size(), 0));
    if (sends_fin) {
      shutdown(this->peer, SHUT_WR);
    }
    close(this->peer);
  }

  auto RunToEnd()->void {
    this->loop.RunUntil([this] { return this->end.has_value(); }, kTimeout);
    CHECK_TRUE(this->end.has_value());
  }
};

// Guards against a reset whose error a write has taken: recv() then reports the
// end of the input as after a FIN.
TEST(TcpConnections, AreResetIfAWriteFailsFirst) {
  this->connection->Write("request");
  this->SendAndClose("part", false);
  this->connection->Write("more");
  this->RunToEnd();
  CHECK_TRUE(this->end == TcpCloseReason::kReset);
  CHECK_EQUAL(std::string("part"), this->received);
}

TEST(TcpConnections, AreResetIfABufferedWriteFails) {
  this->connection->Write(std::string(kUploadBytes, 'u'));
  CHECK_TRUE(this->connection->unsent_bytes() > 0);
  this->SendAndClose("part", false);
  this->RunToEnd();
  CHECK_TRUE(this->end == TcpCloseReason::kReset);
  CHECK_EQUAL(std::string("part"), this->received);
}

// The reset comes after the peer's FIN, so that its bytes are whole.
TEST(TcpConnections, EndInOrderIfAWriteFailsAfterAFin) {
  this->connection->Write("request");
  this->SendAndClose("whole", true);
  this->connection->Write("more");
  this->RunToEnd();
  CHECK_TRUE(this->end == TcpCloseReason::kClosedByPeer);
  CHECK_EQUAL(std::string("whole"), this->received);
}

TEST(TcpConnections, EndInOrderIfABufferedWriteFailsAfterAFin) {
  this->connection->Write(std::string(kUploadBytes, 'u'));
  CHECK_TRUE(this->connection->unsent_bytes() > 0);
  this->SendAndClose("whole", true);
  this->RunToEnd();
  CHECK_TRUE(this->end == TcpCloseReason::kClosedByPeer);
  CHECK_EQUAL(std::string("whole"), this->received);
}

// An input that takes several turns of the loop, behind a failed write.
TEST(TcpConnections, DeliverAllThatHasArrivedBeforeAFailedWrite) {
  const std::string whole(kSeveralTurns, 'w');
  this->connection->Write(std::string(kUploadBytes, 'u'));
  this->SendAndClose(whole, true);
  this->RunToEnd();
  CHECK_TRUE(this->end == TcpCloseReason::kClosedByPeer);
  CHECK_EQUAL(whole.size(), this->received.size());
}

// An owner that takes no more input would not learn of the end.
TEST(TcpConnections, EndIfAWriteFailsWhileReadingIsPaused) {
  this->connection->SetReadingPaused(true);
  this->connection->Write(std::string(kUploadBytes, 'u'));
  this->SendAndClose("part", true);
  this->RunToEnd();
  CHECK_TRUE(this->end == TcpCloseReason::kReset);
  CHECK_TRUE(this->received.empty());
}
