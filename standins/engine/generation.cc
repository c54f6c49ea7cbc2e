#include "engine/generation.h"

#include <algorithm>
#include <utility>

namespace auburnloft::standins {

Generation::Generation(std::string name,
                       ResponseScript script,
                       std::size_t prompt_tokens,
                       int priority)
    : stream_name(std::move(name)),
      script(script),
      prompt_tokens(prompt_tokens),
      priority_level(priority) {}

auto Generation::Start(Instant first, Duration piece_interval) -> void {
  this->started = true;
  this->first_piece_at = first;
  this->interval = piece_interval;
}

auto Generation::SetReader(std::shared_ptr<HttpExchange> exchange,
                           std::uint64_t after) -> void {
  this->reader = std::move(exchange);
  this->reader->BeginStream(200, "text/event-stream");
  this->sent = std::min<std::uint64_t>(after, this->generated);
  this->disconnected_at = Instant{};
}

auto Generation::Advance(Instant now) -> void {
  if (!this->started || now < this->first_piece_at) {
    return;
  }
  const std::uint64_t due =
      this->interval == Duration{0}
          ? this->script.size()
          : 1 + static_cast<std::uint64_t>((now - this->first_piece_at) /
                                           this->interval);
  this->generated = std::min<std::uint64_t>(due, this->script.size());
  if (!this->HasReader()) {
    if (this->disconnected_at == Instant{}) {
      this->disconnected_at = now;
    }
    return;
  }
  this->SendUpTo(this->generated);
}

auto Generation::SendUpTo(std::uint64_t count) -> void {
  std::string text;
  while (this->sent < count) {
    const std::string piece = this->script.PieceAt(this->sent);
    ++this->sent;
    text += "id: " + this->stream_name + "/" + std::to_string(this->sent) +
            "\ndata: {\"id\":\"" + this->stream_name +
            "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":"
            "0,\"delta\":{\"content\":\"" +
            piece + "\"}}]}\n\n";
    if (this->cut_after > 0 && this->sent >= this->cut_after) {
      this->cut_after = 0;
      this->reader->Write(text);
      this->reader->Abort();
      return;
    }
  }
  if (this->sent == this->script.size() && !this->ended) {
    const std::size_t total = this->prompt_tokens + this->script.size();
    text += R"(data: {"id":")" + this->stream_name +
            R"(","object":"chat.completion.chunk","choices":[],"usage":)"
            R"({"prompt_tokens":)" +
            std::to_string(this->prompt_tokens) + R"(,"completion_tokens":)" +
            std::to_string(this->script.size()) + R"(,"total_tokens":)" +
            std::to_string(total) + "}}\n\ndata: [DONE]\n\n";
    this->reader->Write(text);
    this->reader->End();
    this->ended = true;
    return;
  }
  this->reader->Write(text);
}

auto Generation::IsFinished() const -> bool {
  return this->cancelled || this->ended;
}

}  // namespace auburnloft::standins
