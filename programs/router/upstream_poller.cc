#include "router/upstream_poller.h"

#include <charconv>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_json/json_reading.h"

namespace auburnloft {

namespace {

using nlohmann::json;

auto ParseLoad(std::string_view body) -> std::optional<LoadReport> {
  const json report = ParseStrictJson(body);
  if (!report.is_object()) {
    return std::nullopt;
  }
  const auto count = [&report](const char* name) {
    return static_cast<std::uint32_t>(
        FindWhole(report, name, 0, std::numeric_limits<std::uint32_t>::max())
            .value_or(0));
  };
  return LoadReport{count("running"), count("patient_running"),
                    count("waiting"),
                    FindBoolean(report, "leaving").value_or(false)};
}

auto ParseDigest(const json& event) -> PrefixDigest {
  const std::string text = FindText(event, "digest").value_or("");
  PrefixDigest digest = 0;
  std::from_chars(text.data(), text.data() + text.size(), digest);
  return digest;
}

}  // namespace

UpstreamPoller::UpstreamPoller(HttpClient& http,
                               OnLoad on_load,
                               OnCache on_cache)
    : http(http), on_load(std::move(on_load)), on_cache(std::move(on_cache)) {}

auto UpstreamPoller::Poll(const Configuration& configuration) -> void {
  for (const Upstream& upstream : configuration.upstreams) {
    const UpstreamId id = upstream.id;
    this->Get(upstream, "/load", [this, id](std::string_view body) {
      if (const std::optional<LoadReport> report = ParseLoad(body)) {
        this->on_load(id, *report);
      }
    });
    if (upstream.kind != UpstreamKind::kEngine) {
      continue;
    }
    const std::string after = std::to_string(this->cache_cursors[id]);
    this->Get(
        upstream, "/cache-events?after=" + after,
        [this, id](std::string_view body) {
          const json response = ParseStrictJson(body);
          if (!response.is_object()) {
            return;
          }
          CacheChange change;
          change.upstream = id;
          for (const json& event : FindArray(response, "events")) {
            if (event.is_object()) {
              (FindBoolean(event, "stored").value_or(true) ? change.cached
                                                           : change.evicted)
                  .push_back(ParseDigest(event));
            }
          }
          this->cache_cursors[id] = static_cast<std::uint64_t>(
              FindWhole(response, "next", 0, kMaxWholeNumber).value_or(0));
          this->on_cache(change);
        });
  }
}

auto UpstreamPoller::Get(const Upstream& upstream,
                         std::string path,
                         std::function<void(std::string_view body)> on_body)
    -> void {
  auto body = std::make_shared<std::string>();
  HttpCall call;
  call.address = upstream.address;
  call.path = std::move(path);
  call.on_data = [body](std::string_view data) { *body += data; };
  call.on_end = [body, on_body = std::move(on_body)] { on_body(*body); };
  this->http.Send(std::move(call));
}

}  // namespace auburnloft
