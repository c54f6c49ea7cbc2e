#include "gateway/evacuation_handler.h"

#include <utility>

#include "al_core/text/printable.h"
#include "al_edge/loop/event_loop.h"
#include "al_gateway/upstreams/cold_upstreams.h"
#include "al_gateway/upstreams/upstream_directory.h"
#include "fleet.pb.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/upstream_connection_pool.h"
#include "platform/operator_codec.h"

namespace auburnloft::gateway {

namespace {

/** Maximum age of this router's own reading of the operator's topic while it
   serves others. A read is a long poll of 1 s with a timeout of 2 s; with the
   0.4 s between two requests of another router, news are at most 4 s old,
   within the 5 s in which an evacuation must be in force. */
constexpr Duration kMaxReadAge = std::chrono::milliseconds(3'000);

}  // namespace

EvacuationHandler::EvacuationHandler(EventLoop& loop,
                                     UpstreamDirectory& upstreams,
                                     UpstreamConnectionPool& connections,
                                     ColdUpstreams& cold_upstreams,
                                     DecisionLog& log,
                                     GatewayMetrics& metrics)
    : loop(loop),
      upstreams(upstreams),
      connections(connections),
      cold_upstreams(cold_upstreams),
      log(log),
      metrics(metrics),
      evacuations([this](const EvacuationTable::Change& change) {
        this->OnChange(change);
      }) {}

//==============================================================================
// Commands

auto EvacuationHandler::StartReading() -> void {
  this->has_listed = false;
  this->RestartListing();
}

auto EvacuationHandler::RestartListing() -> void {
  this->is_listing = true;
  this->listed.clear();
}

auto EvacuationHandler::OnRecord(const KeyedRecord& record) -> void {
  const auto domain = platform::ReadEvacuatedDomain(record.key);
  if (!domain) {
    return;
  }
  if (record.value) {
    this->listed.insert(*domain);
    this->evacuations.Put(*domain);
  } else if (this->is_listing) {
    this->listed.erase(*domain);
  } else {
    this->evacuations.Remove(*domain, this->loop.Now());
  }
}

auto EvacuationHandler::OnListed() -> void {
  this->has_listed = true;
  this->is_listing = false;
  this->evacuations.SetListed(std::exchange(this->listed, {}),
                              this->loop.Now());
}

auto EvacuationHandler::RecordContact(bool answered) -> void {
  if (answered) {
    this->read_at = this->loop.Now();
  }
}

auto EvacuationHandler::RecordLogRecovery() -> void {
  this->read_at = this->loop.Now();
  this->evacuations.RecordLogRecovery(this->read_at);
}

auto EvacuationHandler::Apply(const wire::UpstreamFeedNews& news) -> bool {
  if (!news.tells_evacuations()) {
    return false;
  }
  std::set<std::string> domains;
  for (const std::string& domain : news.evacuated_domains()) {
    if (IsPrintable(domain)) {
      domains.insert(domain);
    }
  }
  this->evacuations.ApplyFromReader(domains, this->loop.Now());
  return true;
}

auto EvacuationHandler::Update() -> void {
  this->evacuations.Expire(this->loop.Now());
}

auto EvacuationHandler::OnChange(const EvacuationTable::Change& change)
    -> void {
  const auto concerned =
      this->upstreams.SetEvacuated(change.domain, change.has_begun);
  if (change.has_begun) {
    for (const UpstreamDirectory::State& upstream : concerned) {
      this->connections.CloseIdle(upstream->record().id);
    }
  } else {
    this->cold_upstreams.RecordEvacuationEnd(concerned, this->loop.Now());
  }
  const std::string_view name = change.has_begun ? "begun" : "ended";
  this->metrics.CountEvacuation(name);
  this->log.WriteLine(
      DecisionLog::Severity::kNotable, "evacuation",
      {{"domain", change.domain},
       {"change", name},
       {"source",
        change.source == EvacuationTable::Source::kLog ? "log" : "reader"},
       {"upstreams", concerned.size()}},
      this->loop.Now());
}

//==============================================================================
// Queries

auto EvacuationHandler::Fill(wire::UpstreamFeedNews& news) const -> void {
  news.set_tells_evacuations(true);
  for (const std::string& domain : this->evacuations.Domains()) {
    news.add_evacuated_domains(domain);
  }
}

auto EvacuationHandler::IsCurrent(bool is_log_reachable) const -> bool {
  return this->has_listed &&
         (!is_log_reachable || this->loop.Now() - this->read_at < kMaxReadAge);
}

}  // namespace auburnloft::gateway
