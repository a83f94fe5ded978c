#include "hawthornroad/runtime/PlatformTable.h"

#include <boost/json/parse.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxAnswer = 32 * 1024 * 1024;
constexpr unsigned Found = 200;
constexpr unsigned Missing = 404;

std::string targetOf(const ConfigRead &Read) {
  if (Read.Kind_ != ConfigRead::Kind::Page)
    return "/table/" + Read.Key_;
  return "/table?prefix=" + RevisionKeyPrefix + "&after=" + Read.Key_ +
         "&limit=" + std::to_string(Read.Limit_);
}

// The values of a table page; nullopt when Body is not a page.
std::optional<std::vector<std::string>> parsePage(const std::string &Body) {
  json::error_code Code;
  json::value Page = json::parse(Body, Code);
  if (Code || !Page.is_object())
    return std::nullopt;
  const json::value *Items = Page.get_object().if_contains("items");
  if (Items == nullptr || !Items->is_array())
    return std::nullopt;
  std::vector<std::string> Values;
  for (const json::value &Each : Items->get_array()) {
    const json::value *Value =
        Each.is_object() ? Each.get_object().if_contains("value") : nullptr;
    if (Value == nullptr || !Value->is_string())
      return std::nullopt;
    Values.emplace_back(Value->get_string());
  }
  return Values;
}

ConfigAnswer answerOf(const ConfigRead &Read, const HttpResult &Result) {
  ConfigAnswer Answer;
  Answer.Id_ = Read.Id_;
  if (!Result.Response_)
    return Answer;
  const HttpResponse &Response = *Result.Response_;
  if (Read.Kind_ == ConfigRead::Kind::Page) {
    auto Values =
        Response.Status_ == Found ? parsePage(Response.Body_) : std::nullopt;
    Answer.Answered_ = Values.has_value();
    if (Values)
      Answer.Values_ = std::move(*Values);
    return Answer;
  }
  Answer.Answered_ = Response.Status_ == Found || Response.Status_ == Missing;
  if (Response.Status_ == Found)
    Answer.Values_.push_back(Response.Body_);
  return Answer;
}

std::string textOf(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->get_string())
             : std::string();
}

std::optional<std::vector<ListedVm>> parseMembers(const HttpResult &Result) {
  if (!Result.Response_ || Result.Response_->Status_ != Found)
    return std::nullopt;
  json::error_code Code;
  json::value Body = json::parse(Result.Response_->Body_, Code);
  if (Code || !Body.is_object())
    return std::nullopt;
  const json::value *Vms = Body.get_object().if_contains("vms");
  if (Vms == nullptr || !Vms->is_array())
    return std::nullopt;
  std::vector<ListedVm> Out;
  for (const json::value &Each : Vms->get_array()) {
    if (!Each.is_object())
      continue;
    const json::object &Object = Each.get_object();
    Out.push_back({Vm(textOf(Object, "vm")),
                   PeerAddress(textOf(Object, "peer")),
                   textOf(Object, "state") == "leaving"});
  }
  return Out;
}

} // namespace

PlatformTable::PlatformTable(DecisionLoop &Loop, HttpClient &Client,
                             PlatformSettings S)
    : Loop_(Loop), Client_(Client), Settings_(std::move(S)) {}

void PlatformTable::read(const ConfigRead &Read, ReadDone Done) {
  fetch(Settings_.Table_, targetOf(Read),
        [Read, Done = std::move(Done)](HttpResult Result, TimePoint Now) {
          Done(answerOf(Read, Result), Now);
        });
}

void PlatformTable::members(MembersDone Done) {
  fetch(Settings_.Members_, "/members",
        [Done = std::move(Done)](HttpResult Result, TimePoint Now) {
          Done(parseMembers(Result), Now);
        });
}

void PlatformTable::fetch(const std::string &Address, const std::string &Target,
                          std::function<void(HttpResult, TimePoint)> Done) {
  HttpClient::Options Options;
  Options.Timeout_ = Settings_.Timeout_;
  Options.MaxBody_ = MaxAnswer;
  // When the loop's ring is full the answer is dropped; the caller's deadline
  // handles that.
  auto OnDone = [&Loop = Loop_, Done = std::move(Done)](HttpResult Result) {
    Loop.post([Done, Result = std::move(Result)](TimePoint Now) {
      Done(Result, Now);
    });
  };
  Client_.call(Address, {.Method_ = "GET", .Target_ = Target}, Options,
               {.OnDone_ = std::move(OnDone)});
}

} // namespace hawthornroad
