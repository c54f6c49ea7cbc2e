#include "common/answer_script.h"

#include <algorithm>
#include <cassert>
#include <charconv>

#include "al_core/text/digest.h"

namespace auburnloft::standins {

namespace {

constexpr std::string_view kLengthMark = "[pieces=";
constexpr std::size_t kDefaultPieces = 16;
constexpr std::size_t kCharactersPerToken = 4;
constexpr std::uint64_t kWords = 9973;

}  // namespace

AnswerScript::AnswerScript(std::string_view prompt, std::size_t most)
    : digest(StableHash(prompt)), pieces(kDefaultPieces) {
  const std::size_t mark = prompt.find(kLengthMark);
  if (mark != std::string_view::npos) {
    const char* const begin = prompt.data() + mark + kLengthMark.size();
    std::from_chars(begin, prompt.data() + prompt.size(), this->pieces);
  }
  this->pieces = std::clamp<std::size_t>(this->pieces, 1, most);
}

auto AnswerScript::PieceAt(std::size_t index) const -> std::string {
  assert(index < this->pieces);
  const std::uint64_t word =
      StableHash(std::to_string(this->digest), std::to_string(index)) % kWords;
  return " w" + std::to_string(word);
}

auto AnswerScript::Whole() const -> std::string {
  std::string whole;
  for (std::size_t i = 0; i < this->pieces; ++i) {
    whole += this->PieceAt(i);
  }
  return whole;
}

auto AnswerScript::PromptTokens(std::string_view prompt) -> std::size_t {
  return (prompt.size() + kCharactersPerToken - 1) / kCharactersPerToken;
}

}  // namespace auburnloft::standins
