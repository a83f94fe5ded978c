#include "fakes/EngineTokens.h"

#include "fakes/FakeServer.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Hash.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::uint64_t DefaultMaxTokens = 16;

std::uint64_t answerHash(const VersionDigest &Version,
                         std::string_view Prompt) {
  Fnv1a Hash;
  Hash.update(Version.str());
  Hash.update(std::string_view("\0", 1));
  Hash.update(Prompt);
  return Hash.value();
}

std::string hex(std::uint64_t Value) {
  std::array<char, 17> Text;
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Value));
  return Text.data();
}

std::string textAt(const json::object &From, json::string_view Key) {
  const json::value *Found = From.if_contains(Key);
  if (Found == nullptr || !Found->is_string())
    return {};
  return std::string(Found->get_string());
}

std::string promptOfChat(const json::object &Body) {
  const json::value *Messages = Body.if_contains("messages");
  if (Messages == nullptr || !Messages->is_array())
    throw Error(Step::Receive, "", "expected a list of messages");
  std::string Prompt;
  for (const json::value &Each : Messages->get_array()) {
    if (!Each.is_object())
      throw Error(Step::Receive, "", "a message is no object");
    const json::object &Message = Each.get_object();
    Prompt +=
        textAt(Message, "role") + ": " + textAt(Message, "content") + "\n";
  }
  return Prompt;
}

std::uint64_t maxTokensOf(const json::object &Body) {
  const json::value *Found = Body.if_contains("max_tokens");
  if (Found == nullptr || Found->is_null())
    return DefaultMaxTokens;
  json::error_code Code;
  auto Count = Found->to_number<std::uint64_t>(Code);
  if (Code || Count == 0 || Count > MaxTokens)
    throw Error(Step::Receive, "", "max_tokens is out of range");
  return Count;
}

// The members common to all events and answers. The id identifies the answer,
// not the attempt.
json::object answerHead(const VersionDigest &Version, const Completion &C,
                        bool Part) {
  std::string Kind = C.Chat_ ? "chat.completion" : "text_completion";
  if (C.Chat_ && Part)
    Kind += ".chunk";
  return {{"id", "cmpl-" + hex(answerHash(Version, C.Prompt_))},
          {"object", Kind},
          {"created", 0},
          {"model", C.Model_}};
}

json::value finishReason(bool Last) {
  return Last ? json::value("length") : json::value(nullptr);
}
} // namespace

bool isCompletionPath(std::string_view Path) {
  return Path == CompletionPath || Path == ChatPath;
}

Completion parseCompletion(const HttpRequest &R) {
  json::object Body = parseObject(R.Body_);
  Completion C;
  C.Chat_ = targetPath(R.Target_) == ChatPath;
  C.Prompt_ = C.Chat_ ? promptOfChat(Body) : textAt(Body, "prompt");
  C.Model_ = textAt(Body, "model");
  C.MaxTokens_ = maxTokensOf(Body);
  const json::value *Stream = Body.if_contains("stream");
  C.Stream_ = Stream != nullptr && Stream->is_bool() && Stream->get_bool();
  return C;
}

std::string tokenText(const VersionDigest &Version, std::string_view Prompt,
                      std::uint64_t Index) {
  std::uint64_t TokenHash =
      rendezvousScore(hex(answerHash(Version, Prompt)), std::to_string(Index));
  return " " + hex(TokenHash).substr(8);
}

std::string tokenEvent(const VersionDigest &Version, const Completion &C,
                       std::uint64_t Index) {
  std::string Text = tokenText(Version, C.Prompt_, Index);
  json::object Choice = {{"index", 0}};
  if (C.Chat_) {
    json::object Delta;
    if (Index == 0)
      Delta["role"] = "assistant";
    Delta["content"] = Text;
    Choice["delta"] = std::move(Delta);
  } else {
    Choice["text"] = Text;
  }
  Choice["finish_reason"] = finishReason(Index + 1 == C.MaxTokens_);
  json::object Event = answerHead(Version, C, true);
  Event["choices"] = json::array{std::move(Choice)};
  return "data: " + json::serialize(Event) + "\n\n";
}

std::string doneEvent() { return "data: [DONE]\n\n"; }

std::string wholeAnswer(const VersionDigest &Version, const Completion &C) {
  std::string Text;
  for (std::uint64_t I = 0; I < C.MaxTokens_; ++I)
    Text += tokenText(Version, C.Prompt_, I);
  json::object Choice = {{"index", 0}};
  if (C.Chat_)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = finishReason(true);
  json::object Answer = answerHead(Version, C, false);
  Answer["choices"] = json::array{std::move(Choice)};
  Answer["usage"] = {{"completion_tokens", C.MaxTokens_}};
  return json::serialize(Answer);
}

} // namespace hawthornroad
