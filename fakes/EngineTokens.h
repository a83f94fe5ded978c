// Parses OpenAI-style requests and generates the events and answers of the fake
// model engine.
//
// Every byte of an answer depends only on (version, prompt, token number), and
// not on the attempt, the engine or the time. An answer resumed on another
// engine can therefore be compared byte for byte with an uninterrupted one.

#ifndef HAWTHORNROAD_FAKES_ENGINETOKENS_H
#define HAWTHORNROAD_FAKES_ENGINETOKENS_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/runtime/Http.h"

#include <string>

namespace hawthornroad {

constexpr std::uint64_t MaxTokens = 1'000'000;

// A parsed completion request.
struct Completion {
  bool Chat_ = false;
  bool Stream_ = false;
  std::string Model_;
  // For a chat, the concatenated messages with their roles.
  std::string Prompt_;
  std::uint64_t MaxTokens_ = 16;
  bool operator==(const Completion &) const = default;
};

bool isCompletionPath(std::string_view Path);
// Throws Error(Step::Receive) when the body is not a valid request.
Completion parseCompletion(const HttpRequest &R);

// Text of token number Index, counted from 0, with its leading space.
std::string tokenText(const VersionDigest &Version, std::string_view Prompt,
                      std::uint64_t Index);
// The SSE event of one token, and the event that ends a stream.
std::string tokenEvent(const VersionDigest &Version, const Completion &C,
                       std::uint64_t Index);
std::string doneEvent();
// The JSON body of a non-streamed answer.
std::string wholeAnswer(const VersionDigest &Version, const Completion &C);

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ENGINETOKENS_H
