#include "load/report.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <vector>

namespace auburnloft::load {

namespace {

using nlohmann::json;

constexpr int kNameWidth = 28;

struct KindLatencies {
  std::vector<double> first_ms;
  std::vector<double> total_ms;
};

/** Sorts `values` and returns the nearest-rank quantile, rounded to 0.001. */
auto Quantile(std::vector<double>& values, double fraction) -> double {
  if (values.empty()) {
    return 0.0;
  }
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(
      std::lround(fraction * static_cast<double>(values.size() - 1)));
  constexpr double kRound = 1000.0;
  return std::round(values[index] * kRound) / kRound;
}

auto Millis(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto LatenciesByKind(std::span<const RequestResult> results) -> json {
  std::map<std::string, KindLatencies> by_kind;
  for (const RequestResult& result : results) {
    if (result.kind == ResultKind::kComplete) {
      by_kind[result.kind_name].first_ms.push_back(Millis(result.first_piece));
      by_kind[result.kind_name].total_ms.push_back(Millis(result.total));
    }
  }
  json out = json::object();
  for (auto& [kind, times] : by_kind) {
    out[kind] = {{"answered", times.first_ms.size()},
                 {"first_ms_p50", Quantile(times.first_ms, 0.5)},
                 {"first_ms_p95", Quantile(times.first_ms, 0.95)},
                 {"first_ms_p99", Quantile(times.first_ms, 0.99)},
                 {"total_ms_p50", Quantile(times.total_ms, 0.5)},
                 {"total_ms_p99", Quantile(times.total_ms, 0.99)}};
  }
  return out;
}

auto CountOf(std::span<const RequestResult> results, ResultKind kind)
    -> std::int64_t {
  return std::ranges::count(results, kind, &RequestResult::kind);
}

}  // namespace

auto MakeReport(std::string_view name,
                const LoadGenerator& run,
                const AuditReport* audit) -> json {
  const std::span<const RequestResult> results = run.results();
  json codes = json::object();
  std::uint64_t broken_connections = 0;
  std::uint64_t false_refusals = 0;
  std::uint64_t pieces = 0;
  for (const RequestResult& result : results) {
    broken_connections += static_cast<std::uint64_t>(result.broken_connections);
    false_refusals += result.false_refusal ? 1 : 0;
    pieces += result.pieces;
    if (!result.code.empty()) {
      codes[result.code] = codes.value(result.code, 0) + 1;
    }
  }
  json report;
  report["name"] = name;
  report["requests"] = run.sent();
  report["answered_whole"] = CountOf(results, ResultKind::kComplete);
  report["answered_wrong"] = CountOf(results, ResultKind::kWrongContent);
  report["refused_not_run"] = CountOf(results, ResultKind::kRefused);
  report["false_refusals"] = false_refusals;
  report["unknown_outcome"] = CountOf(results, ResultKind::kUnknown);
  report["failed"] = CountOf(results, ResultKind::kFailed);
  report["unfinished"] = run.sent() - results.size();
  report["cut_off"] = broken_connections;
  report["pieces"] = pieces;
  report["codes"] = codes;
  report["seconds"] = run.seconds();
  report["times"] = LatenciesByKind(results);
  if (audit != nullptr) {
    report["audit_complete"] = audit->is_complete;
    report["overspend_tokens"] = audit->overspend;
    report["double_billed"] = audit->double_billed;
    report["unbilled"] = audit->unbilled;
    report["billed_wrong_amount"] = audit->wrong_amounts;
    report["double_run"] = audit->double_executions;
    report["stranded_tokens"] = audit->stranded;
    report["adds_up"] = audit->is_balanced;
  }
  return report;
}

auto FormatTable(const json& report) -> std::string {
  std::ostringstream out;
  for (const auto& [name, value] : report.items()) {
    if (!value.is_object()) {
      out << std::left << std::setw(kNameWidth) << name << " " << value.dump()
          << "\n";
    }
  }
  const json codes = report.value("codes", json::object());
  for (const auto& [code, count] : codes.items()) {
    out << std::left << std::setw(kNameWidth) << ("  error " + code) << " "
        << count.dump() << "\n";
  }
  const json all_times = report.value("times", json::object());
  for (const auto& [kind, times] : all_times.items()) {
    out << kind << ": " << times["answered"].dump()
        << " complete; first piece p50/p95/p99 " << times["first_ms_p50"].dump()
        << "/" << times["first_ms_p95"].dump() << "/"
        << times["first_ms_p99"].dump() << " ms; total p50/p99 "
        << times["total_ms_p50"].dump() << "/" << times["total_ms_p99"].dump()
        << " ms\n";
  }
  return out.str();
}

}  // namespace auburnloft::load
