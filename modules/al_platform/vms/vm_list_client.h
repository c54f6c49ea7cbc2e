#ifndef AL_PLATFORM_VMS_VM_LIST_CLIENT_H_
#define AL_PLATFORM_VMS_VM_LIST_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "al_edge/http/http_client.h"
#include "al_fleet/membership/vm_list.h"

namespace auburnloft {

/** The platform's VM list over HTTP.

    Thread safety: none; used on the loop's thread.
*/
class VmListClient {
 public:
  /** Empty where the list could not be had. */
  using OnList = std::function<void(std::optional<VmList> list)>;

  VmListClient(HttpClient& http, std::string address, std::string client_name);

  auto Fetch(const OnList& on_list) -> void;

  /** Parses the list's JSON; empty where it is malformed. */
  [[nodiscard]] static auto Parse(std::string_view body)
      -> std::optional<VmList>;

 private:
  HttpClient& http;
  std::string address;
  std::string client_name;
};

}  // namespace auburnloft

#endif  // AL_PLATFORM_VMS_VM_LIST_CLIENT_H_
