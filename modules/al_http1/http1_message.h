#ifndef AL_HTTP1_HTTP1_MESSAGE_H_
#define AL_HTTP1_HTTP1_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnloft {

/** One header field as it came. */
struct Http1Field {
  std::string name;
  std::string value;
};

/** The header fields of a message, in their order, with repeats.

    Names compare without regard to case.
*/
class Http1Fields {
 public:
  auto Add(std::string_view name, std::string_view value) -> void;

  /** Removes all fields of that name. */
  auto Remove(std::string_view name) -> void;

  /** Removes all fields of that name and adds one. */
  auto Set(std::string_view name, std::string_view value) -> void;

  /** Removes what concerns one connection only: Connection and the fields that
     it names, Keep-Alive, Proxy-Connection, TE, Trailer, Transfer-Encoding,
     Upgrade, and Content-Length, which is written anew. Source: RFC 9110,
     section 7.6.1. */
  auto RemoveHopByHopFields() -> void;

  /** The first value of that name. */
  [[nodiscard]] auto Find(std::string_view name) const
      -> std::optional<std::string_view>;

  [[nodiscard]] auto all() const -> const std::vector<Http1Field>& {
    return this->items;
  }

 private:
  std::vector<Http1Field> items;
};

/** A request with its whole body. */
struct Http1Request {
  std::string method;
  std::string target;
  Http1Fields fields;
  std::string body;
  bool keeps_alive = true;  ///< Whether the caller goes on with the connection.
};

/** Status line and header of an answer. */
struct Http1ResponseHead {
  int status = 0;
  std::string reason;
  Http1Fields fields;
  bool keeps_alive = true;  ///< Whether the server goes on with the connection.
};

/** True where the two names are equal without regard to ASCII case. */
[[nodiscard]] auto EqualFieldNames(std::string_view first,
                                   std::string_view second) -> bool;

/** The request as bytes, with a Content-Length where it has a body or its
   method usually has one. */
[[nodiscard]] auto SerializeRequest(const Http1Request& request) -> std::string;

/** How the body of an answer is framed. */
enum class Http1Framing { kLength, kChunked };

/** Status line and header as bytes. `length` counts with kLength only.
    @param closes  whether to announce that the connection ends. */
[[nodiscard]] auto SerializeResponseHead(const Http1ResponseHead& head,
                                         Http1Framing framing,
                                         std::size_t length,
                                         bool closes) -> std::string;

/** `bytes` as one chunk. @pre bytes is not empty: an empty chunk is the end. */
[[nodiscard]] auto EncodeChunk(std::string_view bytes) -> std::string;

/** The chunk that ends a chunked body. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_MESSAGE_H_
