#include "hawthornroad/runtime/ClaimTable.h"

#include <cctype>

namespace hawthornroad {

namespace {
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusCreated = 201;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusPreconditionFailed = 412;

// Percent-encodes the key, except for '/': keys contain text from callers, and
// the path must contain no other delimiter.
std::string tablePath(const std::string &Key) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Out = "/table/";
  for (unsigned char C : Key) {
    bool Plain = std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.' ||
                 C == '~' || C == '/';
    if (Plain) {
      Out.push_back(static_cast<char>(C));
      continue;
    }
    Out.push_back('%');
    Out.push_back(Digits[C >> 4]);
    Out.push_back(Digits[C & 15]);
  }
  return Out;
}

using Kind = ClaimCallResult::Kind;

// An undocumented status does not tell whether a write took effect, so it
// counts as unanswered.
Kind answerKind(const HttpRequest &R, unsigned Status) {
  bool IsRead = R.Method_ == "GET";
  if (Status == StatusOk || Status == StatusCreated)
    return IsRead ? Kind::Found : Kind::Written;
  if (Status == StatusNotFound && IsRead)
    return Kind::Missing;
  if (Status == StatusPreconditionFailed && !IsRead)
    return Kind::Conflict;
  return Kind::Unanswered;
}
} // namespace

ClaimTable::ClaimTable(HttpClient &Client, std::string Address,
                       Duration Timeout, OnAnswer Handler)
    : Client_(Client), Address_(std::move(Address)), Timeout_(Timeout),
      Handler_(std::move(Handler)) {}

void ClaimTable::run(const ClaimWrite &W) {
  HttpRequest R;
  R.Method_ = "PUT";
  R.Target_ = tablePath(W.Key_);
  if (W.Etag_.empty())
    R.Headers_.push_back({"If-None-Match", "*"});
  else
    R.Headers_.push_back({"If-Match", W.Etag_});
  R.Body_ = W.Value_;
  call(W.Request_, W.Call_, std::move(R));
}

void ClaimTable::run(const ClaimRead &Read) {
  HttpRequest R;
  R.Target_ = tablePath(Read.Key_);
  call(Read.Request_, Read.Call_, std::move(R));
}

void ClaimTable::call(RequestId Request, std::uint64_t Number, HttpRequest R) {
  ClaimCallResult Answer;
  Answer.Request_ = Request;
  Answer.Call_ = Number;
  if (Address_.empty()) {
    Answer.Kind_ = Kind::Unsent;
    return Handler_(std::move(Answer));
  }
  HttpClient::Options Options;
  Options.Timeout_ = Timeout_;
  Options.IdleTimeout_ = Timeout_;
  HttpClient::Callbacks Callbacks;
  Callbacks.OnDone_ = [Handler = Handler_, Answer,
                       R](HttpResult Result) mutable {
    if (!Result.Response_) {
      Answer.Kind_ = Result.Sent_ ? Kind::Unanswered : Kind::Unsent;
    } else {
      Answer.Kind_ = answerKind(R, Result.Response_->Status_);
      Answer.Etag_ =
          findHeader(Result.Response_->Headers_, "ETag").value_or("");
      Answer.Value_ = std::move(Result.Response_->Body_);
    }
    Handler(std::move(Answer));
  };
  Client_.call(Address_, R, Options, std::move(Callbacks));
}

} // namespace hawthornroad
