// HTTP/1.1 framing of the bytes that callers and faulty upstreams send.
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "al_edge/loop/event_loop.h"
#include "al_http1/al_http1.h"
#include "al_net/socket_poller.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

namespace {

auto StatusFor(std::string_view bytes) -> int {
  Http1RequestReader reader{Http1RequestLimits()};
  reader.Feed(bytes);
  return reader.error_status();
}

auto HasFailed(const Http1RequestReader& reader) -> bool {
  return reader.error_status() != 0;
}

auto HasFailed(const Http1ResponseReader& reader) -> bool {
  return reader.has_failed();
}

/** Feeds `bytes` in parts of `size`, as a connection does.
    @return whether the reader refuses them before their end. */
template <typename Reader>
auto Refuses(Reader& reader, const std::string& bytes, std::size_t size)
    -> bool {
  std::string unread;
  for (std::size_t at = 0; at < bytes.size() && !reader.is_done(); at += size) {
    unread += bytes.substr(at, size);
    unread.erase(0, reader.Feed(unread));
    if (HasFailed(reader)) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_GROUP(Http1){};

TEST(Http1, ReadsAChunkedBody) {
  Http1RequestReader reader{Http1RequestLimits()};
  reader.Feed(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK_TRUE(reader.is_done());
  CHECK_EQUAL(std::string("abcde"), reader.TakeRequest().body);
}

TEST(Http1, ReadsARequestThatComesByteByByte) {
  Http1RequestReader reader{Http1RequestLimits()};
  const std::string bytes =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  std::string unread;
  for (const char byte : bytes) {
    unread += byte;
    unread.erase(0, reader.Feed(unread));
  }
  CHECK_TRUE(reader.is_done());
  CHECK_EQUAL(std::string("abc"), reader.TakeRequest().body);
}

TEST(Http1, LeavesAPipelinedRequestUnread) {
  Http1RequestReader reader{Http1RequestLimits()};
  const std::string first = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::size_t used =
      reader.Feed(first + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_TRUE(reader.is_done());
  CHECK_EQUAL(first.size(), used);
}

TEST(Http1, RefusesTwoLengths) {
  CHECK_EQUAL(400, StatusFor("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                             "Content-Length: 4\r\n\r\nabcd"));
}

TEST(Http1, RefusesALengthBesideChunks) {
  CHECK_EQUAL(400, StatusFor("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  CHECK_EQUAL(400, StatusFor("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                             "Content-Length: 3\r\n\r\n0\r\n\r\n"));
}

TEST(Http1, RefusesASpaceBeforeTheColon) {
  CHECK_EQUAL(400, StatusFor("GET / HTTP/1.1\r\nHost : h\r\n\r\n"));
}

TEST(Http1, RefusesHeadersAndBodiesOverTheLimits) {
  Http1RequestLimits limits;
  limits.header_bytes = 64;
  Http1RequestReader header(limits);
  header.Feed("GET / HTTP/1.1\r\nA: " + std::string(200, 'a') + "\r\n\r\n");
  CHECK_EQUAL(431, header.error_status());
  limits = {};
  limits.body_bytes = 4;
  Http1RequestReader body(limits);
  body.Feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde");
  CHECK_EQUAL(413, body.error_status());
}

// Guards against a message whose end is found elsewhere than by the peer or a
// proxy before the router (request smuggling), in both directions.
TEST(Http1, RefusesAmbiguousFraming) {
  for (const char* const fields :
       {"Transfer-Encoding: gzip",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding:",
        "Transfer-Encoding: gzip\r\nContent-Length: 2",
        "Transfer-Encoding: identity\r\nContent-Length: 2",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: -2",
        "Content-Length: +2",
        "Content-Length: 0x2",
        "Content-Length: 2 2",
        "Content-Length: 2, 3",
        "Content-Length:",
        "Content-Length: two",
        "Content-Length: 18446744073709551616",
        "Content-Length: 2\r\nContent-Length: 3",
        "Content-Length : 2",
        "A: b\rContent-Length: 2",
        "A: b\nContent-Length: 2"}) {
    const std::string rest = std::string(fields) + "\r\n\r\nab";
    for (const std::string& line : {std::string("POST / HTTP/1.1\r\n"),
                                    std::string("GET / HTTP/1.1\r\n")}) {
      CHECK_EQUAL_TEXT(400, StatusFor(line + rest), fields);
    }
    Http1ResponseReader response(false);
    CHECK_TRUE_TEXT(
        Refuses(response, "HTTP/1.1 200 OK\r\n" + rest, rest.size()), fields);
  }
  const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  CHECK_EQUAL(400, StatusFor("POST / HTTP/1.0\r\n" + chunks));
  Http1ResponseReader response(false);
  CHECK_TRUE(Refuses(response, "HTTP/1.0 200 OK\r\n" + chunks, chunks.size()));
  CHECK_EQUAL(0, StatusFor("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n"
                           "\r\n0\r\n\r\n"));
}

// Guards against lenient reading of requests by which two readers disagree: the
// forms of docs/HTTP.md that are refused.
TEST(Http1, RefusesMalformedRequests) {
  for (const char* const bytes :
       {"GET / HTTP/1.1\nHost: h\n\n", "\r\nGET / HTTP/1.1\r\n\r\n",
        "GET /\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET / HTTP/0.9\r\n\r\n",
        "GET  / HTTP/1.1\r\n\r\n", "GET /a b HTTP/1.1\r\n\r\n",
        "GET /\x01 HTTP/1.1\r\n\r\n", "G(T / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\n Host: h\r\n\r\n", "GET / HTTP/1.1\r\nA\r\n\r\n",
        "GET / HTTP/1.1\r\n: a\r\n\r\n", "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
        "GET / HTTP/1.1\r\nA: \x01\r\n\r\n"}) {
    CHECK_EQUAL_TEXT(400, StatusFor(bytes), bytes);
  }
  for (const char* const chunks :
       {"2\nab\n0\n\n\r\n\r\n", "+2\r\nab\r\n0\r\n\r\n",
        " 2\r\nab\r\n0\r\n\r\n", "2 \r\nab\r\n0\r\n\r\n",
        "0x2\r\nab\r\n0\r\n\r\n", "2\r\nabc\r\n0\r\n\r\n", "\r\n0\r\n\r\n",
        "10000000000000002\r\nab\r\n0\r\n\r\n"}) {
    const std::string head =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK_EQUAL_TEXT(400, StatusFor(head + chunks), chunks);
  }
}

// Guards against a request that the standard allows, and another reader
// accepts, being read otherwise or refused: the forms of docs/HTTP.md that are
// accepted.
TEST(Http1, ReadsUnusualButValidFraming) {
  for (const char* const rest :
       {"Content-Length:\r\n 2\r\n\r\nab", "Content-Length: 02\r\n\r\nab",
        "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
        "Content-Length: 2, 2\r\n\r\nab",
        "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n\r\n",
        "Transfer-Encoding: Chunked\r\n\r\n02\r\nab\r\n00\r\n\r\n"}) {
    Http1RequestReader request{Http1RequestLimits()};
    const std::string bytes = std::string("POST / HTTP/1.1\r\n") + rest;
    CHECK_EQUAL_TEXT(bytes.size(), request.Feed(bytes), rest);
    CHECK_TRUE_TEXT(request.is_done(), rest);
    CHECK_EQUAL_TEXT(std::string("ab"), request.TakeRequest().body, rest);
    // A folded line of a response may be a field whose name is damaged: the
    // standard lets a gateway refuse it.
    const bool is_folded = bytes.find("\r\n ") != std::string::npos;
    Http1ResponseReader response(false);
    CHECK_EQUAL_TEXT(
        is_folded,
        Refuses(response, std::string("HTTP/1.1 200 OK\r\n") + rest,
                bytes.size()),
        rest);
    CHECK_EQUAL_TEXT(std::string(is_folded ? "" : "ab"), response.TakeBody(),
                     rest);
  }
  Http1RequestReader folded{Http1RequestLimits()};
  folded.Feed("GET / HTTP/1.1\r\nA: b\r\n Content-Length: 2\r\n\r\n");
  CHECK_EQUAL(std::string("b Content-Length: 2"),
              folded.TakeRequest().fields.Find("A").value_or(""));
  Http1ResponseReader response(false);
  CHECK_TRUE(Refuses(
      response, "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\n", 100));
}

// Guards against a body that is expected, or read, after a response that has
// none, whatever its fields say.
TEST(Http1, ReadsNoBodyWhereTheStatusAllowsNone) {
  for (const char* const status : {"100", "101", "204", "304"}) {
    for (const char* const field :
         {"Content-Length: 2", "Transfer-Encoding: chunked", "A: b"}) {
      Http1ResponseReader response(false);
      const std::string head =
          std::string("HTTP/1.1 ") + status + " A\r\n" + field + "\r\n\r\n";
      CHECK_EQUAL_TEXT(head.size(), response.Feed(head + "ab"), head.c_str());
      CHECK_TRUE_TEXT(response.is_done(), head.c_str());
    }
  }
}

// Guards against a response that is taken for malformed because its head comes
// in a packet of its own.
TEST(Http1, ReadsAResponseWhoseHeadComesAlone) {
  Http1ResponseReader reader(false);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
  CHECK_FALSE(reader.has_failed());
  CHECK_TRUE(reader.has_header());
  reader.Feed("ab");
  CHECK_TRUE(reader.is_done());
  CHECK_EQUAL(std::string("ab"), reader.TakeBody());
}

// Guards against a peer that states a length which nobody can reserve: the body
// takes memory as it arrives only, in both directions.
TEST(Http1, ReservesNothingForAStatedLength) {
  for (const std::string_view length :
       {"1000000000000000", "9223372036854775807", "18446744073709551615"}) {
    const std::string rest =
        "Content-Length: " + std::string(length) + "\r\n\r\nab";
    Http1ResponseReader response(false);
    response.Feed("HTTP/1.1 200 OK\r\n" + rest);
    CHECK_FALSE(response.has_failed());
    CHECK_EQUAL(std::string("ab"), response.TakeBody());
    Http1RequestLimits limits;
    limits.body_bytes = std::numeric_limits<std::size_t>::max();
    Http1RequestReader request(limits);
    request.Feed("POST / HTTP/1.1\r\n" + rest);
    CHECK_EQUAL(0, request.error_status());
    CHECK_FALSE(request.is_done());
  }
}

// Guards against a trailer that ends the process: what is no content has a
// limit, whether it comes at once or in parts, in both directions.
TEST(Http1, RefusesLongTrailersAndExtensions) {
  const std::string large(70'000, 'g');
  const std::string last = "2\r\nok\r\n0\r\n";
  const std::vector<std::pair<std::string, std::string>> around_large{
      {last + "X-A: ", "\r\n\r\n"},
      {last, ": a\r\n\r\n"},
      {last, ""},
      {"2;x=", "\r\nok\r\n0\r\n\r\n"},
      {"2;x=", ""},
      {"2\r\nok\r\n0;x=", "\r\n\r\n"}};
  for (const auto& [before, after] : around_large) {
    std::string bytes = "Transfer-Encoding: chunked\r\n\r\n";
    bytes.append(before).append(large).append(after);
    for (const std::size_t part : {bytes.size(), std::size_t{16'384}}) {
      Http1RequestReader request{Http1RequestLimits()};
      Http1ResponseReader response(false);
      CHECK_TRUE(Refuses(request, "POST / HTTP/1.1\r\n" + bytes, part));
      CHECK_EQUAL(431, request.error_status());
      CHECK_TRUE(Refuses(response, "HTTP/1.1 200 OK\r\n" + bytes, part));
    }
  }
}

// Guards against trailer fields that are taken for fields of the header, in
// both directions, whether they come with the header or after it.
TEST(Http1, KeepsTrailerFieldsOutOfTheHeader) {
  const std::string bytes =
      "Transfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\nAuthorization: Token k\r\nX-More: 1\r\n"
      "Connection: close\r\n\r\n";
  for (const std::size_t part : {std::size_t{1}, std::size_t{4'096}}) {
    Http1RequestReader request{Http1RequestLimits()};
    CHECK_FALSE(Refuses(request, "POST / HTTP/1.1\r\n" + bytes, part));
    const Http1Request read = request.TakeRequest();
    CHECK_EQUAL(1, read.fields.all().size());
    CHECK_TRUE(read.keeps_alive);
    CHECK_EQUAL(std::string("ok"), read.body);
    Http1ResponseReader response(false);
    CHECK_FALSE(Refuses(response, "HTTP/1.1 200 OK\r\n" + bytes, part));
    CHECK_EQUAL(1, response.Head().fields.all().size());
    CHECK_TRUE(response.Head().keeps_alive);
    CHECK_EQUAL(std::string("ok"), response.TakeBody());
  }
}

// Guards against a header without end whose fields come one by one, so that no
// part of it is over the limit.
TEST(Http1, RefusesAHeaderThatGrowsLineByLine) {
  std::string lines;
  while (lines.size() < 200'000) {
    lines += "X-More: 1234567890\r\n";
  }
  Http1RequestReader request{Http1RequestLimits()};
  CHECK_TRUE(Refuses(request, "GET / HTTP/1.1\r\n" + lines, 20));
  CHECK_EQUAL(431, request.error_status());
  Http1ResponseReader response(false);
  CHECK_TRUE(Refuses(response, "HTTP/1.1 200 OKAY\r\n" + lines, 20));
}

// Guards against short fields, each of which takes more memory than its bytes.
TEST(Http1, RefusesThousandsOfFields) {
  std::string lines;
  for (int i = 0; i < 3'000; ++i) {
    lines += "a:\r\n";
  }
  Http1RequestReader request{Http1RequestLimits()};
  CHECK_TRUE(Refuses(request, "GET / HTTP/1.1\r\n" + lines + "\r\n", 16'384));
  CHECK_EQUAL(431, request.error_status());
  Http1ResponseReader response(false);
  CHECK_TRUE(Refuses(response, "HTTP/1.1 200 OK\r\n" + lines + "\r\n", 16'384));
}

TEST(Http1, RemovesHopByHopFields) {
  Http1Fields fields;
  fields.Add("Connection", "keep-alive, X-Hop");
  fields.Add("X-Hop", "1");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("X-Kept", "1");
  fields.Add("x-kept", "2");
  fields.RemoveHopByHopFields();
  CHECK_EQUAL(2, fields.all().size());
  CHECK_EQUAL(std::string("2"), fields.all()[1].value);
}

TEST(Http1, TakesTheEndOfTheConnectionForTheEndOfABodyWithoutLength) {
  Http1ResponseReader reader(false);
  reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK_FALSE(reader.is_done());
  reader.FeedEnd();
  CHECK_TRUE(reader.is_done());
  CHECK_FALSE(reader.has_failed());
}

TEST(Http1, FailsABodyThatEndsBeforeItsLength) {
  Http1ResponseReader reader(false);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  reader.FeedEnd();
  CHECK_TRUE(reader.has_failed());
}

TEST(Http1, FailsBytesThatAreNoResponse) {
  Http1ResponseReader reader(false);
  reader.Feed("garbage garbage\r\n\r\n");
  CHECK_TRUE(reader.has_failed());
}

TEST(Http1, ReturnsTheBodyAsItArrives) {
  Http1ResponseReader reader(false);
  std::string unread =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  unread.erase(0, reader.Feed(unread));
  CHECK_EQUAL(std::string("abc"), reader.TakeBody());
  CHECK_EQUAL(std::string(), reader.TakeBody());
  reader.Feed(unread + "2\r\nde\r\n0\r\n\r\n");
  CHECK_EQUAL(std::string("de"), reader.TakeBody());
  CHECK_TRUE(reader.is_done());
}

// Guards against a loop that ends the process, as it still watches the
// descriptor of a poller that is gone, and whose number the next one gets.
TEST(Http1, LoopsOutliveTheirPollers) {
  EventLoop loop;
  for (int number = 0; number < 3; ++number) {
    const SocketPoller poller(loop);
    CHECK_FALSE(loop.RunUntil([] { return false; }, Duration(1'000)));
  }
}
