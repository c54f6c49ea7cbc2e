// Crowds of callers that misbehave, before the real gateway. Checked is only
// what does not depend on the machine's speed: the process lives, its memory
// and descriptors stay under a bound, and an ordinary request is answered
// afterwards. To be run apart from other load.
#include <string>
#include <string_view>

#include "crowds/crowd.h"
#include "crowds/crowd_kinds.h"
#include "crowds/crowd_target.h"
#include "support/test_harness.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

/** Connections of a crowd. */
constexpr std::size_t kCrowd = 600;

/** The gateway's peak of resident memory; it has about 11 MB at rest. */
constexpr std::size_t kMaxResidentKb = 28'000;

/** Bytes that the kernel keeps for the gateway, unread. */
constexpr std::size_t kMaxUnreadKb = 8'000;

/** The gateway's descriptors: the crowd, as many to upstreams, and its own. */
constexpr std::size_t kMaxDescriptors = 2 * kCrowd + 100;

/** The setting of the gateway's memory in these tests. */
constexpr const char* kMemoryMb = "32";

/** A crowd that makes no progress for this time has done what it can. */
constexpr milliseconds kSettle{1'000};

/** Longest time of one crowd. */
constexpr milliseconds kMaxPlay{20'000};

auto Describe(const CrowdAddress& address, const CrowdTarget::Usage& usage)
    -> std::string {
  return std::string(address.name) +
         ": alive=" + std::to_string(static_cast<int>(usage.is_alive)) +
         " peak_kb=" + std::to_string(usage.peak_resident_kb) +
         " unread_kb=" + std::to_string(usage.unread_kb) +
         " descriptors=" + std::to_string(usage.descriptors);
}

/** Plays a kind at each address, before a gateway started anew, and checks. */
auto PlayAtEachAddress(std::string_view name) -> void {
  bool is_known = false;
  for (const CrowdKind& kind : CrowdKinds()) {
    if (kind.name != name) {
      continue;
    }
    is_known = true;
    std::string faults;
    for (const CrowdAddress& address : CrowdAddresses()) {
      if (kind.needs_route && !address.has_key) {
        continue;
      }
      const CrowdTarget target(
          {.environment = {{"AUBURNLOFT_MEMORY_MB", kMemoryMb}}});
      CrowdTarget::Usage usage;
      {
        Crowd crowd(CrowdTarget::AddressOf(std::string(address.listener)),
                    kCrowd, kind.script(address));
        crowd.Play(kSettle, kMaxPlay);
        usage = target.MeasureUsage();
      }
      const bool is_within = usage.is_alive &&
                             usage.peak_resident_kb <= kMaxResidentKb &&
                             usage.unread_kb <= kMaxUnreadKb &&
                             usage.descriptors <= kMaxDescriptors;
      if (!is_within) {
        faults += Describe(address, usage) + "; ";
      }
      if (!CrowdTarget::ServesEventually() || !target.MeasureUsage().is_alive) {
        faults += std::string(address.name) + ": no answer afterwards; ";
      }
    }
    CHECK_TRUE_TEXT(faults.empty(), faults.c_str());
  }
  CHECK_TRUE(is_known);
}

}  // namespace

TEST_GROUP(Crowds){};

// Guards against bodies of a legal size that together fill the memory.
TEST(Crowds, WithBodiesOneByteShort) {
  PlayAtEachAddress("body one byte short, in one piece");
}

// Guards against input buffers that grow with the number of pieces.
TEST(Crowds, WithBodiesInSmallPieces) {
  PlayAtEachAddress("body one byte short, in small pieces");
}

// Guards against bodies without a declared length that are not counted.
TEST(Crowds, WithBodiesInAChunk) {
  PlayAtEachAddress("body one byte short, in a chunk");
}

// Guards against the framing of chunks that takes more than their content.
TEST(Crowds, WithChunksOfOneByte) {
  PlayAtEachAddress("chunks of one byte");
}

// Guards against buffers that are kept while a refused body is discarded.
TEST(Crowds, WithDeclaredBodiesOverTheLimit) {
  PlayAtEachAddress("body far over the limit, declared");
}

// Guards against bodies without a length that are read beyond the limit.
TEST(Crowds, WithChunkedBodiesOverTheLimit) {
  PlayAtEachAddress("body far over the limit, in chunks");
}

// Guards against heads that are held without being complete.
TEST(Crowds, WithManyShortFieldsOneByteShort) {
  PlayAtEachAddress("many short fields, one byte short");
}

// Guards against fields that take many times their bytes when parsed.
TEST(Crowds, WithManyShortFields) {
  PlayAtEachAddress("many short fields, complete");
}

// Guards against pipelined requests that are kept as input.
TEST(Crowds, WithPipelinedRequests) {
  PlayAtEachAddress("many pipelined requests, no response read");
}

// Guards against bodies that arrive slowly and are kept meanwhile.
TEST(Crowds, WhoSendSlowly) {
  PlayAtEachAddress("slow senders of a body");
}

// Guards against responses that are taken slowly and kept meanwhile.
TEST(Crowds, WhoReadSlowly) {
  PlayAtEachAddress("slow readers of pipelined responses");
}

// Guards against heads that stop halfway.
TEST(Crowds, WhoStopInTheHead) {
  PlayAtEachAddress("stop in the head");
}

// Guards against bodies that stop halfway.
TEST(Crowds, WhoStopInTheBody) {
  PlayAtEachAddress("stop in the body");
}

// Guards against streams whose events are kept as the caller reads nothing.
TEST(Crowds, WhoStopReadingAStream) {
  PlayAtEachAddress("stop reading a stream");
}

// Guards against streams whose events are kept as the caller reads slowly.
TEST(Crowds, WhoReadAStreamSlowly) {
  PlayAtEachAddress("slow readers of a stream");
}

// Guards against connections at one address that take all descriptors: further
// connections, to upstreams and at the other addresses, would fail.
TEST(Crowds, LeaveDescriptors) {
  constexpr std::size_t kLimit = 200;
  for (const CrowdAddress& address : CrowdAddresses()) {
    const CrowdTarget target(
        {.environment = {
             {"AUBURNLOFT_MEMORY_MB", kMemoryMb},
             {"AUBURNLOFT_MAX_DESCRIPTORS", std::to_string(kLimit)}}});
    Crowd crowd(CrowdTarget::AddressOf(std::string(address.listener)), kCrowd,
                {.first = "G"});
    crowd.Play(kSettle, kMaxPlay);
    const CrowdTarget::Usage usage = target.MeasureUsage();
    const std::string seen = Describe(address, usage);
    CHECK_TRUE_TEXT(usage.is_alive && usage.descriptors <= kLimit,
                    seen.c_str());
    // An address other than the crowd's answers while the crowd stands.
    const bool is_at_readiness = address.listener == "readiness";
    const std::string ready = ExchangeBytes(
        CrowdTarget::AddressOf(is_at_readiness ? "entry" : "readiness"),
        is_at_readiness ? "GET /resolve HTTP/1.1\r\nHost: h\r\n"
                          "Connection: close\r\n\r\n"
                        : "GET /readyz HTTP/1.1\r\nHost: h\r\n"
                          "Connection: close\r\n\r\n",
        milliseconds(10'000));
    CHECK_TRUE_TEXT(ready.starts_with("HTTP/1.1 "), seen.c_str());
  }
}

auto main(int argc, char** argv) -> int {
  // See tests/unit/main.cc.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return RUN_ALL_TESTS(argc, argv);
}
