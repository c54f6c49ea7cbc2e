#include "store/keyed_log.h"

#include <utility>

namespace auburnloft::standins {

auto KeyedLog::Append(const std::string& topic,
                      const Producer& producer,
                      std::vector<Record> records) -> AppendResult {
  Topic& state = this->topics[topic];
  if (!producer.name.empty()) {
    Producer& next = state.next_appends[producer.name];
    if (producer.epoch < next.epoch) {
      return {false, true, 0, this->EndOffset(topic)};
    }
    if (producer.epoch > next.epoch) {
      next = producer;
    }
    if (next.sequence == producer.sequence + 1) {
      return {true, false, 0, this->EndOffset(topic)};  // Duplicate.
    }
    if (next.sequence != producer.sequence) {
      return {false, false, next.sequence, this->EndOffset(topic)};
    }
    next.sequence = producer.sequence + 1;
  }
  for (Record& record : records) {
    state.newest[record.key] = record;
    state.records.push_back(std::move(record));
  }
  return {true, false, 0, this->EndOffset(topic)};
}

auto KeyedLog::Compact(const std::string& topic) -> void {
  Topic& state = this->topics[topic];
  state.first += state.records.size();
  state.records.clear();
}

auto KeyedLog::EndOffset(const std::string& topic) const -> std::uint64_t {
  const auto found = this->topics.find(topic);
  return found == this->topics.end()
             ? 0
             : found->second.first + found->second.records.size();
}

auto KeyedLog::FirstOffset(const std::string& topic) const -> std::uint64_t {
  const auto found = this->topics.find(topic);
  return found == this->topics.end() ? 0 : found->second.first;
}

auto KeyedLog::ReadFrom(const std::string& topic, std::uint64_t offset) const
    -> std::vector<Record> {
  const auto found = this->topics.find(topic);
  if (found == this->topics.end()) {
    return {};
  }
  const std::vector<Record>& records = found->second.records;
  const auto from = static_cast<std::ptrdiff_t>(offset - found->second.first);
  return {records.begin() + from, records.end()};
}

auto KeyedLog::Newest(const std::string& topic) const -> std::vector<Record> {
  std::vector<Record> result;
  const auto found = this->topics.find(topic);
  if (found == this->topics.end()) {
    return result;
  }
  for (const auto& [key, record] : found->second.newest) {
    if (record.value) {
      result.push_back(record);
    }
  }
  return result;
}

}  // namespace auburnloft::standins
