#include "platform/platform_server.h"

#include "al_core/text/base64.h"
#include "common/json_http.h"

namespace auburnloft::standins {

namespace {

using nlohmann::json;

constexpr std::string_view kStreams = "/streams/";
constexpr std::string_view kRecords = "/records";
constexpr std::string_view kVms = "/vms";
constexpr std::string_view kWeights = "/weights/";
constexpr std::uint64_t kMaxRecordsPerRead = 1000;
constexpr std::size_t kMaxRecordBytes = 16'777'216;
constexpr Duration kExpiryInterval = std::chrono::milliseconds(500);

}  // namespace

PlatformServer::PlatformServer(EventLoop& loop, Options options)
    : loop(loop),
      options(std::move(options)),
      server(loop,
             {this->options.address, {"x-client"}, kMaxRecordBytes},
             [this](const Exchange& exchange) { this->OnRequest(exchange); }),
      log(this->options.retention),
      append_limit(this->options.appends_per_second),
      weight_limit(this->options.weight_bytes_per_second),
      random(this->options.seed) {}

auto PlatformServer::Listen() -> bool {
  this->loop.ScheduleEvery(kExpiryInterval,
                           [this] { this->log.DropExpired(this->loop.Now()); });
  return this->server.Listen();
}

auto PlatformServer::OnRequest(const Exchange& exchange) -> void {
  if (exchange->request().path == "/faults") {
    this->SetFaults(exchange);
    return;
  }
  const std::string client =
      HeaderValue(exchange->request().headers, "x-client");
  const bool blocked = this->faults.block_clients.contains(client);
  if ((this->faults.outage || blocked) && client != "operator-setup") {
    exchange->Abort();
    return;
  }
  if (this->faults.slow > Duration{0}) {
    this->loop.ScheduleAfter(this->faults.slow,
                             [this, exchange] { this->Handle(exchange); });
    return;
  }
  this->Handle(exchange);
}

auto PlatformServer::Handle(const Exchange& exchange) -> void {
  const std::string& path = exchange->request().path;
  if (path.starts_with(kStreams) && path.ends_with(kRecords)) {
    this->HandleStream(exchange);
  } else if (path.starts_with(kVms)) {
    this->HandleVms(exchange);
  } else if (path.starts_with(kWeights)) {
    this->HandleWeights(exchange);
  } else if (path == "/stats") {
    RespondJson(*exchange, 200,
                {{"appends", this->log.appends()},
                 {"append_bytes", this->log.bytes()},
                 {"refused_appends", this->refused_appends}});
  } else {
    RespondJson(*exchange, 404, {{"error", "no such path"}});
  }
}

auto PlatformServer::HandleStream(const Exchange& exchange) -> void {
  const HttpRequest& request = exchange->request();
  const std::string stream = request.path.substr(
      kStreams.size(), request.path.size() - kStreams.size() - kRecords.size());
  if (request.method == "POST") {
    this->Append(exchange, stream);
    return;
  }
  const LogOffset from = QueryNumber(request.query, "from", 0);
  const std::uint64_t max_records =
      QueryNumber(request.query, "max", kMaxRecordsPerRead);
  const LogStore::Slice slice =
      this->log.Read(stream, from, std::min(max_records, kMaxRecordsPerRead));
  json records = json::array();
  for (const std::string& record : slice.records) {
    records.push_back(ToBase64(record));
  }
  RespondJson(*exchange, 200,
              {{"first", slice.first},
               {"next", slice.next},
               {"oldest", slice.oldest},
               {"records", std::move(records)}});
}

auto PlatformServer::Append(const Exchange& exchange, const std::string& stream)
    -> void {
  if (!this->append_limit.TryTake(this->loop.Now(), 1.0)) {
    ++this->refused_appends;
    RespondJson(*exchange, 429, {{"error", "append rate exceeded"}});
    return;
  }
  if (this->faults.late_appends > Duration{0}) {
    // Drops the reply now and appends the record later.
    this->loop.ScheduleAfter(this->faults.late_appends,
                             [this, stream, record = exchange->request().body] {
                               this->log.Append(this->loop.Now(), stream,
                                                record);
                             });
    exchange->Abort();
    return;
  }
  const LogOffset offset =
      this->log.Append(this->loop.Now(), stream, exchange->request().body);
  if (this->random.Bernoulli(this->faults.lose_replies)) {
    exchange->Abort();
    return;
  }
  RespondJson(*exchange, 200, {{"offset", offset}});
}

auto PlatformServer::HandleVms(const Exchange& exchange) -> void {
  const HttpRequest& request = exchange->request();
  const Instant now = this->loop.Now();
  if (request.method == "GET") {
    // Serves the newest version that is at least `vm_lag` old.
    while (this->vm_versions.size() > 1 &&
           this->vm_versions[1].at + this->options.vm_lag <= now) {
      this->vm_versions.pop_front();
    }
    json rows = json::array();
    if (!this->vm_versions.empty()) {
      for (const auto& [name, row] : this->vm_versions.front().rows) {
        rows.push_back(row);
      }
    }
    RespondJson(*exchange, 200, {{"vms", std::move(rows)}});
    return;
  }
  const std::string name = request.path.size() > kVms.size()
                               ? request.path.substr(kVms.size() + 1)
                               : std::string();
  VmVersion version;
  if (!this->vm_versions.empty()) {
    version = this->vm_versions.back();
  }
  version.at = now;
  if (request.method == "DELETE") {
    version.rows.erase(name);
  } else {
    json row = ParseJsonBody(*exchange);
    row["name"] = name;
    version.rows[name] = std::move(row);
  }
  this->vm_versions.push_back(std::move(version));
  RespondJson(*exchange, 200, json::object());
}

auto PlatformServer::HandleWeights(const Exchange& exchange) -> void {
  const auto bytes =
      static_cast<double>(QueryNumber(exchange->request().query, "bytes", 1));
  const bool taken = this->weight_limit.TryTake(this->loop.Now(), bytes);
  RespondJson(*exchange, taken ? 200 : 429, json::object());
}

auto PlatformServer::SetFaults(const Exchange& exchange) -> void {
  const json body = ParseJsonBody(*exchange);
  this->faults.outage = body.value("outage", false);
  this->faults.slow = std::chrono::milliseconds(body.value("slow_ms", 0));
  this->faults.lose_replies = body.value("lose_replies", 0.0);
  this->faults.late_appends =
      std::chrono::milliseconds(body.value("late_appends_ms", 0));
  this->faults.block_clients =
      body.value("block_clients", std::set<std::string>());
  RespondJson(*exchange, 200, json::object());
}

}  // namespace auburnloft::standins
