#include "load/entry_book.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace auburnloft::load {

namespace {

constexpr int kMostAsks = 8;
constexpr Duration kAskAgain = std::chrono::milliseconds(100);

}  // namespace

EntryBook::EntryBook(EventLoop& loop,
                     HttpClient& http,
                     RandomSource& random,
                     std::vector<std::string> bootstrap,
                     bool follows_lists)
    : loop(loop),
      http(http),
      random(random),
      bootstrap(std::move(bootstrap)),
      follows_lists(follows_lists) {}

auto EntryBook::Pick(const TeamId& team,
                     const std::string& key,
                     const std::string& avoid,
                     OnAddress on_address) -> void {
  List& list = this->lists[team];
  if (!this->follows_lists) {
    list.addresses = this->bootstrap;
    this->Answer(list, avoid, on_address);
    return;
  }
  if (this->loop.Now() < list.until) {
    this->Answer(list, avoid, on_address);
    return;
  }
  list.waiting.emplace_back(avoid, std::move(on_address));
  if (!std::exchange(list.asking, true)) {
    this->Ask(team, key, 0);
  }
}

auto EntryBook::Expire(const TeamId& team) -> void {
  this->lists[team].until = Instant{};
}

auto EntryBook::Answer(List& list,
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

auto EntryBook::Ask(const TeamId& team, const std::string& key, int attempt)
    -> void {
  auto body = std::make_shared<std::string>();
  const auto finish = [this, team, key, attempt, body] {
    List& list = this->lists[team];
    const nlohmann::json answer = nlohmann::json::parse(*body, nullptr, false);
    const bool good = answer.is_object() && answer.contains("entries") &&
                      !answer["entries"].empty();
    if (good) {
      list.addresses.clear();
      for (const nlohmann::json& entry : answer["entries"]) {
        list.addresses.push_back(entry.value("address", ""));
      }
      list.until = this->loop.Now() +
                   std::chrono::seconds(answer.value("hold_seconds", 1));
    } else if (attempt + 1 < kMostAsks) {
      this->loop.RunAfter(kAskAgain, [this, team, key, attempt] {
        this->Ask(team, key, attempt + 1);
      });
      return;
    }
    list.asking = false;
    for (const auto& [avoid, on_address] : std::exchange(list.waiting, {})) {
      this->Answer(list, avoid, on_address);
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
