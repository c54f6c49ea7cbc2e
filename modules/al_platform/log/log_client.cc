#include "al_platform/log/log_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_core/text/base64.h"
#include "al_json/json_reading.h"

namespace auburnloft {

namespace {

constexpr int kHttpOk = 200;

auto RecordsPath(const StreamId& stream) -> std::string {
  return "/streams/" + stream.value() + "/records";
}

auto FindOffset(const nlohmann::json& object, const char* name)
    -> std::optional<LogOffset> {
  const auto found = FindWhole(object, name, 0, kMaxWholeNumber);
  return found ? std::optional(static_cast<LogOffset>(*found)) : std::nullopt;
}

auto ParseRecords(std::string_view body) -> std::optional<LogRecords> {
  const nlohmann::json json = ParseStrictJson(body);
  if (!json.is_object() || !json.contains("records")) {
    return std::nullopt;
  }
  LogRecords records;
  records.first = FindOffset(json, "first").value_or(0);
  records.next = FindOffset(json, "next").value_or(0);
  records.oldest = FindOffset(json, "oldest").value_or(0);
  for (const nlohmann::json& item : FindArray(json, "records")) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    std::optional<std::string> bytes = FromBase64(item.get<std::string>());
    if (!bytes) {
      return std::nullopt;
    }
    records.records.push_back(std::move(*bytes));
  }
  return records;
}

auto ParseOffset(std::string_view body) -> std::optional<LogOffset> {
  const nlohmann::json json = ParseStrictJson(body);
  return json.is_object() ? FindOffset(json, "offset") : std::nullopt;
}

}  // namespace

LogClient::LogClient(HttpClient& http,
                     std::string address,
                     std::string client_name)
    : http(http),
      address(std::move(address)),
      client_name(std::move(client_name)) {}

auto LogClient::Append(const StreamId& stream,
                       std::string bytes,
                       OnAppended on_appended) -> void {
  HttpCall call;
  call.method = "POST";
  call.path = RecordsPath(stream);
  call.body = std::move(bytes);
  this->Send(std::move(call), [on_appended = std::move(on_appended)](
                                  const std::optional<std::string>& body) {
    on_appended(body ? ParseOffset(*body) : std::nullopt);
  });
}

auto LogClient::Read(const StreamId& stream,
                     LogOffset from,
                     OnRecords on_records) -> void {
  HttpCall call;
  call.path = RecordsPath(stream) + "?from=" + std::to_string(from);
  this->Send(std::move(call), [on_records = std::move(on_records)](
                                  const std::optional<std::string>& body) {
    on_records(body ? ParseRecords(*body) : std::nullopt);
  });
}

auto LogClient::Send(
    HttpCall call,
    const std::function<void(std::optional<std::string>)>& on_body) -> void {
  struct Response {
    int status = 0;
    std::string body;
  };
  auto response = std::make_shared<Response>();
  call.address = this->address;
  call.headers.push_back({"x-client", this->client_name});
  call.on_head = [response](int status, const HttpHeaders&) {
    response->status = status;
  };
  call.on_data = [response](std::string_view data) { response->body += data; };
  call.on_end = [response, on_body] {
    on_body(response->status == kHttpOk ? std::optional(response->body)
                                        : std::nullopt);
  };
  call.on_error = [on_body](bool, std::string_view) { on_body(std::nullopt); };
  this->http.Send(std::move(call));
}

}  // namespace auburnloft
