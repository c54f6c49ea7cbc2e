#include "al_router/validation/request_validator.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_core/text/digest.h"
#include "al_json/json_reading.h"
#include "al_router/validation/request_identity.h"

namespace auburnloft {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kBearer = "Bearer ";

/** Maximum number of tokens that a chat template adds to each message and to
 * the prompt.
 */
constexpr Tokens kTemplatePerMessage = 8;
constexpr Tokens kTemplatePerPrompt = 16;

/** Average characters per token, to estimate the tokens of a prompt that no
 * upstream has counted. */
constexpr Tokens kCharactersPerToken = 4;

constexpr std::int64_t kMaxOutputTokens = 1'000'000;

/** Maximum time by which a caller's clock may be ahead. */
constexpr std::int64_t kMaxClockSkewMs = 300'000;

/** The content of a chat request whose JSON was checked. */
struct ChatBody {
  nlohmann::json json;
  std::string model;
  std::string prompt;  ///< The contents of all messages, joined.
  std::size_t messages = 0;
  std::int64_t max_tokens = 0;
  bool wants_stream = false;
  bool wants_usage = false;
};

/** Reads a chat request's JSON and keeps the first fault as a sentence for the
 * caller. */
class ChatBodyReader {
 public:
  [[nodiscard]] auto last_reason() const -> const std::string& {
    return this->reason;
  }

  auto Read(std::string_view text, std::int64_t default_max_tokens)
      -> std::optional<ChatBody> {
    ChatBody body;
    body.json = ParseStrictJson(text);
    if (!body.json.is_object()) {
      return this->Fail("the body is not a JSON object, or is nested deeply");
    }
    const nlohmann::json& json = body.json;
    if (!json.contains("model") || !json["model"].is_string()) {
      return this->Fail("\"model\" is missing or not a string");
    }
    body.model = json["model"].get<std::string>();
    if (!this->ReadMessages(json, body)) {
      return std::nullopt;
    }
    body.max_tokens = default_max_tokens;
    for (const char* const name : {"max_tokens", "max_completion_tokens"}) {
      if (!json.contains(name) || json[name].is_null()) {
        continue;
      }
      if (!json[name].is_number_integer() ||
          json[name].get<std::int64_t>() < 1 ||
          json[name].get<std::int64_t>() > kMaxOutputTokens) {
        return this->Fail("\"" + std::string(name) +
                          "\" is not a whole number from 1 to 1000000");
      }
      body.max_tokens = json[name].get<std::int64_t>();
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
      return this->Fail("\"stream\" is neither true nor false");
    }
    if (json.contains("n") && json["n"] != 1) {
      return this->Fail("\"n\" other than 1 is not supported");
    }
    body.wants_stream = json.value("stream", false);
    if (!this->ReadStreamOptions(json, body)) {
      return std::nullopt;
    }
    return body;
  }

 private:
  auto ReadStreamOptions(const nlohmann::json& json, ChatBody& body) -> bool {
    if (!HasMember(json, "stream_options")) {
      return true;
    }
    const nlohmann::json& options = json["stream_options"];
    if (!options.is_object()) {
      this->Fail("\"stream_options\" is not an object");
      return false;
    }
    const auto wanted = FindBoolean(options, "include_usage");
    if (HasMember(options, "include_usage") && !wanted) {
      this->Fail("\"include_usage\" is neither true nor false");
      return false;
    }
    body.wants_usage = wanted.value_or(false);
    return true;
  }

  auto ReadMessages(const nlohmann::json& json, ChatBody& body) -> bool {
    if (!json.contains("messages") || !json["messages"].is_array() ||
        json["messages"].empty()) {
      this->Fail("\"messages\" is missing, empty or not an array");
      return false;
    }
    for (const nlohmann::json& message : json["messages"]) {
      if (!message.is_object() || !message.contains("content")) {
        this->Fail("a message has no \"content\"");
        return false;
      }
      const nlohmann::json& content = message["content"];
      body.prompt +=
          content.is_string() ? content.get<std::string>() : content.dump();
      body.prompt += '\n';
      ++body.messages;
    }
    return true;
  }

  auto Fail(std::string text) -> std::nullopt_t {
    this->reason = std::move(text);
    return std::nullopt;
  }

  std::string reason;
};

/** Upper bound of the tokens that a chat request can cost: each token of the
 * prompt covers at least one byte. */
auto UpperBoundOf(const ChatBody& body) -> Tokens {
  return static_cast<Tokens>(body.prompt.size()) +
         kTemplatePerMessage * static_cast<Tokens>(body.messages) +
         kTemplatePerPrompt + body.max_tokens;
}

}  // namespace

auto RequestValidator::Refuse(RefusalCode code, std::string text) -> Result {
  this->refusal = {code, ExecutionState::kNotExecuted, std::move(text),
                   Duration{0}};
  return std::nullopt;
}

auto RequestValidator::Validate(Instant now,
                                const Configuration& configuration,
                                const CallerRequest& request)
    -> std::optional<ValidatedRequest> {
  if (!request.authorization.starts_with(kBearer)) {
    return this->Refuse(RefusalCode::kUnauthorized,
                        "the Authorization header carries no bearer key");
  }
  const std::string key = request.authorization.substr(kBearer.size());
  const Team* const team = configuration.FindTeamByKey(Sha256Hex(key));
  if (team == nullptr) {
    return this->Refuse(RefusalCode::kUnauthorized,
                        "the bearer key belongs to no team");
  }
  ValidatedRequest validated;
  validated.incoming.team = team->id;
  validated.upstream_method = request.method;
  validated.upstream_body = request.body;
  validated.content_type = request.content_type;
  Result result;
  if (request.path == kChatPath && request.method == "POST") {
    result = this->ValidateChat(configuration, request, std::move(validated));
  } else if (request.path.starts_with(kServicesPath)) {
    result =
        this->ValidateServiceCall(configuration, request, std::move(validated));
  } else {
    return this->Refuse(RefusalCode::kNotFound,
                        "there is no " + request.method + " " + request.path);
  }
  if (result && (!this->SetIdentity(now, request, result->incoming) ||
                 !this->SetResume(configuration, request, result->incoming))) {
    return std::nullopt;
  }
  return result;
}

auto RequestValidator::ValidateChat(const Configuration& configuration,
                                    const CallerRequest& request,
                                    ValidatedRequest validated) -> Result {
  const Defaults& defaults = configuration.defaults;
  const TeamOverrides* const overrides =
      configuration.FindOverrides(validated.incoming.team);
  const std::uint32_t max_output =
      overrides != nullptr
          ? overrides->max_output_tokens.value_or(defaults.max_output_tokens)
          : defaults.max_output_tokens;
  ChatBodyReader reader;
  std::optional<ChatBody> body = reader.Read(request.body, max_output);
  if (!body) {
    return this->Refuse(RefusalCode::kBadRequest, reader.last_reason());
  }
  if (!configuration.HasModel(body->model)) {
    return this->Refuse(RefusalCode::kNotFound,
                        "model \"" + body->model + "\" does not exist");
  }
  std::string class_name = request.request_class;
  if (class_name.empty() && overrides != nullptr) {
    class_name = overrides->chat_class.value_or("");
  }
  class_name = class_name.empty() ? defaults.chat_class : class_name;
  const RequestClass* const request_class = configuration.FindClass(class_name);
  if (request_class == nullptr) {
    return this->Refuse(RefusalCode::kBadRequest,
                        "class \"" + class_name + "\" does not exist");
  }
  validated.incoming.request_class = *request_class;
  validated.incoming.model = body->model;
  validated.incoming.upper = UpperBoundOf(*body);
  validated.incoming.prefix = PrefixDigestsOf(body->prompt);
  validated.prompt_estimate =
      static_cast<Tokens>(body->prompt.size()) / kCharactersPerToken;
  validated.is_chat = true;
  validated.wants_stream = body->wants_stream;
  validated.wants_usage = body->wants_usage;
  validated.upstream_path = request.path;
  validated.content_type = "application/json";
  body->json["stream"] = true;
  body->json["stream_options"] = {{"include_usage", true}};
  body->json["max_tokens"] = body->max_tokens;
  body->json.erase("max_completion_tokens");
  body->json["priority"] = request_class->priority;
  validated.upstream_body =
      body->json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return validated;
}

auto RequestValidator::ValidateServiceCall(const Configuration& configuration,
                                           const CallerRequest& request,
                                           ValidatedRequest validated)
    -> Result {
  const std::string_view service_path =
      std::string_view(request.path).substr(kServicesPath.size());
  const std::size_t slash = service_path.find('/');
  const std::string service(service_path.substr(0, slash));
  const std::string path(
      slash == std::string_view::npos ? "/" : service_path.substr(slash));
  if (!configuration.HasService(service)) {
    return this->Refuse(RefusalCode::kNotFound,
                        "service \"" + service + "\" does not exist");
  }
  const ServiceCall* const call =
      configuration.FindCall(service, request.method, path);
  if (call == nullptr) {
    return this->Refuse(RefusalCode::kNotFound,
                        "service \"" + service + "\" has no call " +
                            request.method + " " + path);
  }
  validated.incoming.service = service;
  validated.incoming.at_most_once = call->at_most_once;
  validated.incoming.upper = call->price;
  validated.incoming.request_class =
      *configuration.FindClass(call->request_class);
  validated.upstream_path = path;
  return validated;
}

auto RequestValidator::SetIdentity(Instant now,
                                   const CallerRequest& request,
                                   IncomingRequest& incoming) -> bool {
  if (request.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    this->Refuse(RefusalCode::kBadRequest,
                 "the Idempotency-Key is longer than 128 bytes");
    return false;
  }
  if (incoming.at_most_once && request.idempotency_key.empty()) {
    this->Refuse(RefusalCode::kBadRequest,
                 "this call runs at most once and needs an Idempotency-Key");
    return false;
  }
  std::optional<std::int64_t> issued = IssueTimeOfUuid(request.idempotency_key);
  if (!request.issued_at.empty()) {
    issued = ParseIssueTime(request.issued_at);
    if (!issued) {
      this->Refuse(RefusalCode::kBadRequest,
                   "Idempotency-Issued-At is not a time in milliseconds");
      return false;
    }
  }
  if (incoming.at_most_once && !issued) {
    this->Refuse(RefusalCode::kIssueTimeRequired,
                 "this call runs at most once and must tell when it was "
                 "issued: use a UUID of version 7 as Idempotency-Key, or send "
                 "Idempotency-Issued-At");
    return false;
  }
  const std::int64_t now_ms = ToUnixMillis(now);
  incoming.issued_at_ms = issued.value_or(now_ms);
  if (incoming.issued_at_ms > now_ms + kMaxClockSkewMs) {
    this->Refuse(RefusalCode::kIssueTimeInFuture,
                 "the request's time of issue lies in the future");
    return false;
  }
  const Duration horizon = incoming.at_most_once ? this->rules.claim_horizon
                                                 : this->rules.bill_horizon;
  if (FromUnixMillis(incoming.issued_at_ms) < now - horizon) {
    this->Refuse(RefusalCode::kKeyExpired,
                 "the request was issued before the horizon of remembered "
                 "keys; nothing of it was run now");
    return false;
  }
  incoming.key =
      RequestKey(request.idempotency_key.empty() ? "auto-" + SecureRandomHex(16)
                                                 : request.idempotency_key);
  return true;
}

auto RequestValidator::SetResume(const Configuration& configuration,
                                 const CallerRequest& request,
                                 IncomingRequest& incoming) -> bool {
  if (request.last_event_id.empty()) {
    return true;
  }
  const std::string_view id = request.last_event_id;
  const std::size_t first = id.find('/');
  const std::size_t last = id.rfind('/');
  std::uint64_t sequence = 0;
  const bool has_parts = first != std::string_view::npos && first < last;
  const std::string_view digits = has_parts ? id.substr(last + 1) : "";
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
  const bool is_number =
      has_parts && error == std::errc() && end == digits.data() + digits.size();
  if (!is_number || request.idempotency_key.empty()) {
    this->Refuse(RefusalCode::kBadRequest,
                 "Last-Event-ID is not an id of this interface, or comes "
                 "without the Idempotency-Key of its request");
    return false;
  }
  const UpstreamId upstream(id.substr(0, first));
  if (configuration.FindUpstream(upstream) != nullptr) {
    incoming.resume = ResumePoint{
        upstream, std::string(id.substr(first + 1, last - first - 1)),
        sequence};
  }
  return true;
}

}  // namespace auburnloft
