#include "support/session_recorder.h"

#include "support/golden_file.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace auburnloft::testing {

namespace {

/** Returns the text of an action, or an empty text if it is omitted. */
class ActionText {
 public:
  auto operator()(const SendPeerMessage& action) const -> std::string {
    wire::PeerMessage body = action.message;
    if (body.has_heartbeat() || body.has_config_pull() ||
        body.has_config_push()) {
      return {};
    }
    body.clear_from();
    body.clear_from_address();
    return "to " + action.to.value() + ": " + body.ShortDebugString();
  }
  auto operator()(const AppendRecord& action) const -> std::string {
    wire::LedgerBatch batch;
    batch.ParseFromString(action.bytes);
    batch.clear_written_at_ms();
    return "append to " + action.stream.value() + ": " +
           batch.ShortDebugString();
  }
  auto operator()(const ReadRecords& /*action*/) const -> std::string {
    return {};
  }
  auto operator()(const SendUpstreamRequest& action) const -> std::string {
    return "request " + std::to_string(action.handle) + ": send to upstream " +
           action.upstream.value();
  }
  auto operator()(const ResumeUpstreamStream& action) const -> std::string {
    return "request " + std::to_string(action.handle) + ": take up at " +
           action.upstream.value();
  }
  auto operator()(const CancelUpstreamRequest& action) const -> std::string {
    return "request " + std::to_string(action.handle) + ": cancel";
  }
  auto operator()(const RefuseRequest& action) const -> std::string {
    return "request " + std::to_string(action.handle) + ": refuse, " +
           std::string(ToText(action.refusal.code)) + ", run " +
           std::string(ToText(action.refusal.execution));
  }
  auto operator()(const ReplayResponse& action) const -> std::string {
    return "request " + std::to_string(action.handle) + ": replay " +
           action.body;
  }
  auto operator()(const ReleaseResponse& action) const -> std::string {
    return "request " + std::to_string(action.handle) + ": answer";
  }
};

}  // namespace

SessionRecorder::SessionRecorder(VirtualFleet& fleet)
    : fleet(fleet), start(fleet.queue.Now()) {
  fleet.on_action = [this](std::size_t node, const Action& action) {
    const std::string text = std::visit(ActionText{}, action);
    if (!text.empty()) {
      this->recorded_lines.push_back(this->TimePrefix() +
                                     this->fleet.nodes[node].name.value() +
                                     " " + text);
    }
  };
}

auto SessionRecorder::TimePrefix() const -> std::string {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%9.4f ",
                ToSeconds(this->fleet.queue.Now() - this->start));
  return text.data();
}

auto SessionRecorder::AddLine(std::string_view text) -> void {
  this->recorded_lines.push_back(this->TimePrefix() +
                                 "== " + std::string(text));
}

auto SessionRecorder::CompareWith(const std::string& path) const
    -> std::string {
  return CompareWithGolden(this->recorded_lines, path);
}

}  // namespace auburnloft::testing
