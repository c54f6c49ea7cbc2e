#include "platform/log_store.h"

#include <algorithm>

namespace auburnloft::standins {

auto LogStore::Append(Instant now, std::string_view stream, std::string record)
    -> LogOffset {
  Stream& target = this->streams.try_emplace(std::string(stream)).first->second;
  ++this->append_count;
  this->byte_count += record.size();
  target.records.push_back({now, std::move(record)});
  return target.oldest + target.records.size() - 1;
}

auto LogStore::DropExpired(Instant now) -> void {
  for (auto& [name, stream] : this->streams) {
    while (!stream.records.empty() &&
           (stream.records.size() > this->retention.records ||
            stream.records.front().appended_at + this->retention.age < now)) {
      stream.records.pop_front();
      ++stream.oldest;
    }
  }
}

auto LogStore::Read(std::string_view stream,
                    LogOffset from,
                    std::size_t max_records) const -> Slice {
  const auto found = this->streams.find(stream);
  if (found == this->streams.end()) {
    return {};
  }
  const Stream& source = found->second;
  Slice slice;
  slice.oldest = source.oldest;
  slice.next = source.oldest + source.records.size();
  slice.first = std::clamp(from, slice.oldest, slice.next);
  const std::size_t begin = slice.first - slice.oldest;
  const std::size_t end = std::min(begin + max_records, source.records.size());
  for (std::size_t i = begin; i < end; ++i) {
    slice.records.push_back(source.records[i].bytes);
  }
  return slice;
}

}  // namespace auburnloft::standins
