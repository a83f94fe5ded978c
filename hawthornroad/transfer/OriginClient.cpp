#include "hawthornroad/transfer/OriginClient.h"

namespace hawthornroad {

namespace {
constexpr unsigned Ok = 200;
constexpr unsigned PartialContent = 206;
constexpr unsigned PreconditionFailed = 412;
// A stalled origin or table shows as silence for this long.
constexpr auto IdleTimeout = Seconds(5);

std::string rangeOf(ChunkSpan Span) {
  return "bytes=" + std::to_string(Span.Offset_) + "-" +
         std::to_string(Span.Offset_ + Span.Length_ - 1);
}

OriginAnswer toAnswer(const HttpResult &R, const std::string &Origin,
                      unsigned Wanted) {
  if (R.Response_ && R.Response_->Status_ == Wanted)
    return {.End_ = OriginReadResult::Good, .Bytes_ = R.Response_->Body_};
  if (R.Response_)
    return {.End_ = OriginReadResult::Nothing,
            .Why_ = Error(Step::Fetch, Origin,
                          "answers with status " +
                              std::to_string(R.Response_->Status_))
                        .what()};
  // Once the request has left, bytes may have been sent that did not arrive.
  return {.End_ =
              R.Sent_ ? OriginReadResult::Wasted : OriginReadResult::Nothing,
          .Why_ = R.Error_->what()};
}
} // namespace

void OriginClient::call(const std::string &Address, HttpRequest R, Owner O,
                        OnResult Then) {
  Client_.call(Address, std::move(R), {.IdleTimeout_ = IdleTimeout},
               {.OnDone_ = [&Loop = Loop_, O = std::move(O),
                            Then = std::move(Then)](HttpResult Result) {
                 if (O.expired())
                   return;
                 Loop.post(
                     [O, Then, Result = std::move(Result)](TimePoint Now) {
                       if (auto Alive = O.lock())
                         Then(Result, Now);
                     });
               }});
}

void OriginClient::readFile(const std::string &Path, Owner O, OnAnswer Then) {
  call(Origin_, {.Target_ = Path}, std::move(O),
       [Origin = Origin_, Then = std::move(Then)](const HttpResult &R,
                                                  TimePoint Now) {
         Then(toAnswer(R, Origin, Ok), Now);
       });
}

void OriginClient::readChunk(const std::string &Blob, ChunkSpan Span, Owner O,
                             OnAnswer Then) {
  call(Origin_, {.Target_ = Blob, .Headers_ = {{"Range", rangeOf(Span)}}},
       std::move(O),
       [Origin = Origin_, Then = std::move(Then)](const HttpResult &R,
                                                  TimePoint Now) {
         Then(toAnswer(R, Origin, PartialContent), Now);
       });
}

void OriginClient::claim(const std::string &Key, const std::string &Token,
                         Owner O, OnClaim Then) {
  std::string Target = "/table/" + Key;
  auto ReadBack = [this, Target, Token, O, Then](const HttpResult &R,
                                                 TimePoint Now) {
    if (R.Response_ && R.Response_->Status_ == Ok)
      return Then(ClaimResult::Won, Now);
    if (!R.Response_ || R.Response_->Status_ != PreconditionFailed)
      return Then(ClaimResult::Unknown, Now);
    call(Table_, {.Target_ = Target}, O,
         [Token, Then](const HttpResult &Held, TimePoint Later) {
           if (!Held.Response_ || Held.Response_->Status_ != Ok)
             return Then(ClaimResult::Unknown, Later);
           bool Own = Held.Response_->Body_ == Token;
           Then(Own ? ClaimResult::Won : ClaimResult::Lost, Later);
         });
  };
  call(Table_,
       {.Method_ = "PUT",
        .Target_ = Target,
        .Headers_ = {{"If-None-Match", "*"}},
        .Body_ = Token},
       O, std::move(ReadBack));
}

} // namespace hawthornroad
