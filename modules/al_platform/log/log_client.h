#ifndef AL_PLATFORM_LOG_LOG_CLIENT_H_
#define AL_PLATFORM_LOG_LOG_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "al_actions/log_events.h"
#include "al_http1/http_client.h"

namespace auburnloft {

/** A client of the platform's log service ("the log") over HTTP.

    A call without a valid reply reports empty. Such an append may still have
    taken effect.

    Thread safety: none; used on the loop's thread.
*/
class LogClient {
 public:
  using OnAppended = std::function<void(std::optional<LogOffset> offset)>;
  using OnRecords = std::function<void(std::optional<LogRecords> records)>;

  /** @param address      of the platform, `ip:port`.
      @param client_name  sent with each call, in the header `x-client`. */
  LogClient(HttpClient& http, std::string address, std::string client_name);

  /** Appends one record. `on_appended` receives its offset, from the loop. */
  auto Append(const StreamId& stream, std::string bytes, OnAppended on_appended)
      -> void;

  /** Reads the records that start at offset `from`, as many as the log returns
     in one reply. `on_records` receives them, from the loop. */
  auto Read(const StreamId& stream, LogOffset from, OnRecords on_records)
      -> void;

 private:
  /** Sends a call. `on_body` receives the body of a response with status 200,
      otherwise empty. */
  auto Send(HttpCall call,
            const std::function<void(std::optional<std::string>)>& on_body)
      -> void;

  HttpClient& http;
  std::string address;
  std::string client_name;
};

}  // namespace auburnloft

#endif  // AL_PLATFORM_LOG_LOG_CLIENT_H_
