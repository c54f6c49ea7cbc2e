#ifndef AL_PLATFORM_VMS_VM_LIST_CLIENT_H_
#define AL_PLATFORM_VMS_VM_LIST_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "al_fleet/membership/vm_list.h"
#include "al_http1/http_client.h"

namespace auburnloft {

/** A client of the platform's VM list over HTTP.

    Thread safety: none; used on the loop's thread.
*/
class VmListClient {
 public:
  /** Receives the list; empty if the request failed or the list is malformed.
   */
  using OnList = std::function<void(std::optional<VmList> list)>;

  /** @param address      of the platform, `ip:port`.
      @param client_name  sent with each request, in the header `x-client`. */
  VmListClient(HttpClient& http, std::string address, std::string client_name);

  /** Requests the list. `on_list` is called once, from the loop. */
  auto Fetch(const OnList& on_list) -> void;

  /** Parses the list's JSON. @return empty if it is malformed. */
  [[nodiscard]] static auto Parse(std::string_view body)
      -> std::optional<VmList>;

 private:
  HttpClient& http;
  std::string address;
  std::string client_name;
};

}  // namespace auburnloft

#endif  // AL_PLATFORM_VMS_VM_LIST_CLIENT_H_
