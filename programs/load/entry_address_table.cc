#include "load/entry_address_table.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_json/json_reading.h"

namespace auburnloft::load {

namespace {

constexpr int kMaxListRequests = 8;
constexpr Duration kListRetryDelay = std::chrono::milliseconds(100);

}  // namespace

EntryAddressTable::EntryAddressTable(EventLoop& loop,
                                     HttpClient& http,
                                     RandomSource& random,
                                     std::vector<std::string> bootstrap,
                                     bool uses_entry_lists)
    : loop(loop),
      http(http),
      random(random),
      bootstrap(std::move(bootstrap)),
      uses_entry_lists(uses_entry_lists) {}

auto EntryAddressTable::PickAddress(const TeamId& team,
                                    const std::string& key,
                                    const std::string& avoid,
                                    OnAddress on_address) -> void {
  List& list = this->lists[team];
  if (!this->uses_entry_lists) {
    list.addresses = this->bootstrap;
    this->DeliverAddress(list, avoid, on_address);
    return;
  }
  if (this->loop.Now() < list.until) {
    this->DeliverAddress(list, avoid, on_address);
    return;
  }
  list.waiting.emplace_back(avoid, std::move(on_address));
  if (!std::exchange(list.is_requesting, true)) {
    this->RequestList(team, key, 0);
  }
}

auto EntryAddressTable::Expire(const TeamId& team) -> void {
  this->lists[team].until = Instant{};
}

auto EntryAddressTable::DeliverAddress(List& list,
                                       const std::string& avoid,
                                       const OnAddress& on_address) -> void {
  std::vector<std::string> choices = list.addresses;
  if (choices.size() > 1) {
    std::erase(choices, avoid);
  }
  on_address(choices.empty()
                 ? std::string()
                 : choices[this->random.UniformBelow(choices.size())]);
}

auto EntryAddressTable::RequestList(const TeamId& team,
                                    const std::string& key,
                                    int attempt) -> void {
  auto body = std::make_shared<std::string>();
  const auto finish = [this, team, key, attempt, body] {
    List& list = this->lists[team];
    const nlohmann::json reply = ParseStrictJson(*body);
    std::vector<std::string> addresses;
    if (reply.is_object()) {
      for (const nlohmann::json& entry : FindArray(reply, "entries")) {
        if (auto address =
                entry.is_object() ? FindText(entry, "address") : std::nullopt) {
          addresses.push_back(std::move(*address));
        }
      }
    }
    if (!addresses.empty()) {
      constexpr std::int64_t kMaxHoldSeconds = 3'600;
      list.addresses = std::move(addresses);
      list.until =
          this->loop.Now() +
          std::chrono::seconds(
              FindWhole(reply, "hold_seconds", 0, kMaxHoldSeconds).value_or(1));
    } else if (attempt + 1 < kMaxListRequests) {
      this->loop.ScheduleAfter(kListRetryDelay, [this, team, key, attempt] {
        this->RequestList(team, key, attempt + 1);
      });
      return;
    }
    list.is_requesting = false;
    for (const auto& [avoid, on_address] : std::exchange(list.waiting, {})) {
      this->DeliverAddress(list, avoid, on_address);
    }
  };
  HttpCall call;
  call.address =
      this->bootstrap[this->random.UniformBelow(this->bootstrap.size())];
  call.path = "/v1/entries";
  call.headers.push_back({"authorization", "Bearer " + key});
  call.on_data = [body](std::string_view data) { *body += data; };
  call.on_end = finish;
  call.on_error = [finish](bool, std::string_view) { finish(); };
  this->http.Send(std::move(call));
}

}  // namespace auburnloft::load
