#ifndef AL_PLATFORM_LOG_LOG_CLIENT_H_
#define AL_PLATFORM_LOG_LOG_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "al_actions/log_events.h"
#include "al_edge/http/http_client.h"

namespace auburnloft {

/** The platform's log service over HTTP.

    A call without an answer reports empty; an append may have taken effect all
   the same.

    Thread safety: none; used on the loop's thread.
*/
class LogClient {
 public:
  using OnAppended = std::function<void(std::optional<LogOffset> offset)>;
  using OnRecords = std::function<void(std::optional<LogRecords> records)>;

  /** @param address  of the platform, `ip:port`.  @param client_name  sent with
   * each call. */
  LogClient(HttpClient& http, std::string address, std::string client_name);

  /** Appends one record. */
  auto Append(const StreamId& stream, std::string bytes, OnAppended on_appended)
      -> void;

  /** Reads records from an offset on. */
  auto Read(const StreamId& stream, LogOffset from, OnRecords on_records)
      -> void;

 private:
  auto Send(HttpCall call,
            const std::function<void(std::optional<std::string>)>& on_body)
      -> void;

  HttpClient& http;
  std::string address;
  std::string client_name;
};

}  // namespace auburnloft

#endif  // AL_PLATFORM_LOG_LOG_CLIENT_H_
