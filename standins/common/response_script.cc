#include "common/response_script.h"

#include <algorithm>
#include <cassert>
#include <charconv>

#include "al_core/text/digest.h"

namespace auburnloft::standins {

namespace {

constexpr std::string_view kLengthMarker = "[pieces=";
constexpr std::size_t kDefaultPieces = 16;
constexpr std::size_t kCharactersPerToken = 4;
constexpr std::uint64_t kVocabularySize = 9973;

}  // namespace

ResponseScript::ResponseScript(std::string_view prompt, std::size_t max_tokens)
    : digest(StableHash(prompt)), pieces(kDefaultPieces) {
  const std::size_t marker = prompt.find(kLengthMarker);
  if (marker != std::string_view::npos) {
    const char* const begin = prompt.data() + marker + kLengthMarker.size();
    std::from_chars(begin, prompt.data() + prompt.size(), this->pieces);
  }
  this->pieces = std::clamp<std::size_t>(this->pieces, 1, max_tokens);
}

auto ResponseScript::PieceAt(std::size_t index) const -> std::string {
  assert(index < this->pieces);
  const std::uint64_t word =
      StableHash(std::to_string(this->digest), std::to_string(index)) %
      kVocabularySize;
  return " w" + std::to_string(word);
}

auto ResponseScript::FullText() const -> std::string {
  std::string text;
  for (std::size_t i = 0; i < this->pieces; ++i) {
    text += this->PieceAt(i);
  }
  return text;
}

auto ResponseScript::PromptTokens(std::string_view prompt) -> std::size_t {
  return (prompt.size() + kCharactersPerToken - 1) / kCharactersPerToken;
}

}  // namespace auburnloft::standins
