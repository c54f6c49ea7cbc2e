#ifndef AL_HTTP1_HTTP1_MESSAGE_H_
#define AL_HTTP1_HTTP1_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft {

/** One header field as received. */
struct Http1Field {
  std::string name;
  std::string value;
};

/** The header fields of a message in their original order, including repeated
   names. Names are case-insensitive.
*/
class Http1Fields {
 public:
  auto Add(std::string_view name, std::string_view value) -> void;

  /** Removes all fields named `name`. */
  auto Remove(std::string_view name) -> void;

  /** Replaces all fields named `name` by one. */
  auto Set(std::string_view name, std::string_view value) -> void;

  /** Removes the hop-by-hop fields (RFC 9110, section 7.6.1): Connection and
     the fields that it names, Keep-Alive, Proxy-Authenticate, Proxy-Connection,
     TE, Trailer, Transfer-Encoding and Upgrade. Also removes Content-Length,
     which the serialization adds again. */
  auto RemoveHopByHopFields() -> void;

  /** The value of the first field named `name`. */
  [[nodiscard]] auto Find(std::string_view name) const
      -> std::optional<std::string_view>;

  [[nodiscard]] auto all() const -> const std::vector<Http1Field>& {
    return this->items;
  }

 private:
  std::vector<Http1Field> items;
};

/** A request with its complete body. */
struct Http1Request {
  std::string method;
  std::string target;
  Http1Fields fields;
  std::string body;
  bool keeps_alive = true;  ///< Whether the client reuses the connection.
};

/** Status line and header fields of a response. */
struct Http1ResponseHead {
  int status = 0;
  std::string reason;
  Http1Fields fields;
  bool keeps_alive = true;  ///< Whether the server keeps the connection open.
  bool ends_with_connection = false;  ///< The body has no length of its own.
};

/** Compares two field names, ignoring ASCII case. */
[[nodiscard]] auto EqualFieldNames(std::string_view first,
                                   std::string_view second) -> bool;

/** Serializes a request. Adds Content-Length unless the body is empty and the
   method is GET or HEAD. */
[[nodiscard]] auto SerializeRequest(const Http1Request& request) -> std::string;

/** How the end of a response body is marked: by Content-Length or by chunked
   transfer encoding. */
enum class Http1Framing { kLength, kChunked };

/** What a response says about the connection after it. */
struct Http1Persistence {
  bool closes = false;  ///< Otherwise it may carry further requests,
  std::chrono::seconds reuse_time{0};  ///< within this time; 0: not stated.
};

/** Returns for how long the sender of a response keeps the connection open, as
    its field Keep-Alive states; none if it does not. May be below 0. */
[[nodiscard]] auto FindReuseTime(const Http1Fields& fields)
    -> std::optional<Duration>;

/** Serializes the status line and header fields.
    @param length  of the body in bytes; ignored with kChunked. */
[[nodiscard]] auto SerializeResponseHead(const Http1ResponseHead& head,
                                         Http1Framing framing,
                                         std::size_t length,
                                         const Http1Persistence& persistence)
    -> std::string;

/** Encodes `bytes` as one chunk. @pre `bytes` is not empty, as an empty chunk
   ends the body. */
[[nodiscard]] auto EncodeChunk(std::string_view bytes) -> std::string;

/** The chunk that ends a chunked body. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_MESSAGE_H_
