#include "hawthornroad/transfer/OriginClient.h"

namespace hawthornroad {

namespace {
constexpr unsigned Ok = 200;
constexpr unsigned PartialContent = 206;
constexpr unsigned PreconditionFailed = 412;
// A call to an origin or table that sends nothing for this long has stalled.
constexpr auto IdleTimeout = Seconds(5);
// Bytes of answers.
constexpr std::size_t MaxFailureText = 64 * 1024;
constexpr std::size_t MaxTableAnswer = 64 * 1024;
constexpr std::size_t MaxManifest = 32 * 1024 * 1024;

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
            .Reason_ = Error(Step::Fetch, Origin,
                             "answers with status " +
                                 std::to_string(R.Response_->Status_))
                           .what()};
  // Once the request was sent, the origin may have sent bytes that were lost.
  return {.End_ =
              R.Sent_ ? OriginReadResult::Wasted : OriginReadResult::Nothing,
          .Reason_ = R.Error_->what()};
}
} // namespace

void OriginClient::call(const std::string &Address, HttpRequest R,
                        std::size_t MaxBody, Owner O, OnResult OnDone) {
  Client_.call(
      Address, std::move(R), {.IdleTimeout_ = IdleTimeout, .MaxBody_ = MaxBody},
      {.OnDone_ = [&Loop = Loop_, O = std::move(O),
                   OnDone = std::move(OnDone)](HttpResult Result) {
        if (O.expired())
          return;
        Loop.post([O, OnDone, Result = std::move(Result)](TimePoint Now) {
          if (auto Alive = O.lock())
            OnDone(Result, Now);
        });
      }});
}

void OriginClient::readFile(const std::string &Path, Owner O, OnAnswer OnDone) {
  call(Origin_, {.Target_ = Path}, MaxManifest, std::move(O),
       [Origin = Origin_, OnDone = std::move(OnDone)](const HttpResult &R,
                                                      TimePoint Now) {
         OnDone(toAnswer(R, Origin, Ok), Now);
       });
}

void OriginClient::readChunk(const std::string &Blob, ChunkSpan Span, Owner O,
                             OnAnswer OnDone) {
  call(Origin_, {.Target_ = Blob, .Headers_ = {{"Range", rangeOf(Span)}}},
       Span.Length_ + MaxFailureText, std::move(O),
       [Origin = Origin_, OnDone = std::move(OnDone)](const HttpResult &R,
                                                      TimePoint Now) {
         OnDone(toAnswer(R, Origin, PartialContent), Now);
       });
}

void OriginClient::claim(const std::string &Key, const std::string &Token,
                         Owner O, OnClaim OnDone) {
  std::string Target = "/table/" + Key;
  auto ReadBack = [this, Target, Token, O, OnDone](const HttpResult &R,
                                                   TimePoint Now) {
    if (R.Response_ && R.Response_->Status_ == Ok)
      return OnDone(ClaimResult::Won, Now);
    if (!R.Response_ || R.Response_->Status_ != PreconditionFailed)
      return OnDone(ClaimResult::Unknown, Now);
    call(Table_, {.Target_ = Target}, MaxTableAnswer, O,
         [Token, OnDone](const HttpResult &Held, TimePoint Later) {
           if (!Held.Response_ || Held.Response_->Status_ != Ok)
             return OnDone(ClaimResult::Unknown, Later);
           bool Own = Held.Response_->Body_ == Token;
           OnDone(Own ? ClaimResult::Won : ClaimResult::Lost, Later);
         });
  };
  call(Table_,
       {.Method_ = "PUT",
        .Target_ = Target,
        .Headers_ = {{"If-None-Match", "*"}},
        .Body_ = Token},
       MaxTableAnswer, O, std::move(ReadBack));
}

} // namespace hawthornroad
