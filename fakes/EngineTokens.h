// What the model engine says: OpenAI-style requests in, events and answers out.
//
// Every byte of an answer depends only on (version, prompt, token number), and
// not on the attempt, the engine or the time. So an answer resumed elsewhere
// can be compared byte for byte with one that was never cut.

#ifndef HAWTHORNROAD_FAKES_ENGINETOKENS_H
#define HAWTHORNROAD_FAKES_ENGINETOKENS_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/runtime/Http.h"

#include <string>

namespace hawthornroad {

constexpr std::uint64_t MaxTokens = 1'000'000;

// One request as the engine understands it.
struct Completion {
  bool Chat_ = false;
  bool Stream_ = false;
  std::string Model_;
  // A chat's messages stand in it one after the other, with their roles.
  std::string Prompt_;
  std::uint64_t MaxTokens_ = 16;
  bool operator==(const Completion &) const = default;
};

bool isCompletionPath(std::string_view Path);
// Throws Error(Step::Receive) on a body the engine does not take.
Completion parseCompletion(const HttpRequest &R);

// Token number Index, counted from 0, with its leading space.
std::string tokenText(const VersionDigest &Version, std::string_view Prompt,
                      std::uint64_t Index);
// The SSE event of one token, and the one that ends a stream.
std::string tokenEvent(const VersionDigest &Version, const Completion &C,
                       std::uint64_t Index);
std::string doneEvent();
// The JSON body of an answer that is not streamed.
std::string wholeAnswer(const VersionDigest &Version, const Completion &C);

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ENGINETOKENS_H
