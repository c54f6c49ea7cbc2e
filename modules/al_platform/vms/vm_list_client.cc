#include "al_platform/vms/vm_list_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_json/json_reading.h"

namespace auburnloft {

VmListClient::VmListClient(HttpClient& http,
                           std::string address,
                           std::string client_name)
    : http(http),
      address(std::move(address)),
      client_name(std::move(client_name)) {}

auto VmListClient::Fetch(const OnList& on_list) -> void {
  auto body = std::make_shared<std::string>();
  HttpCall call;
  call.address = this->address;
  call.path = "/vms";
  call.headers.push_back({"x-client", this->client_name});
  call.on_data = [body](std::string_view data) { *body += data; };
  call.on_end = [body, on_list] { on_list(Parse(*body)); };
  call.on_error = [on_list](bool, std::string_view) { on_list(std::nullopt); };
  this->http.Send(std::move(call));
}

auto VmListClient::Parse(std::string_view body) -> std::optional<VmList> {
  const nlohmann::json json = ParseStrictJson(body);
  if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
    return std::nullopt;
  }
  VmList list;
  for (const nlohmann::json& row : json["vms"]) {
    if (!row.is_object()) {
      return std::nullopt;
    }
    Vm vm;
    const auto text = [&row](const char* name) {
      return FindText(row, name).value_or("");
    };
    vm.name = text("name");
    vm.role = FindText(row, "role").value_or("router");
    vm.domain = DomainId(text("domain"));
    vm.http_address = text("http_address");
    vm.peer_address = PeerAddress(text("peer_address"));
    vm.state =
        text("state") == "leaving" ? VmState::kLeaving : VmState::kActive;
    list.push_back(std::move(vm));
  }
  return list;
}

}  // namespace auburnloft
