#include "hawthornroad/runtime/TableClient.h"
#include "hawthornroad/base/Error.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <future>
#include <limits>
#include <thread>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr int MaxReadAttempts = 3;
constexpr Duration ReadRetryDelay = Milliseconds(200);
// Bytes of an answer to the command line, which lists the whole fleet.
constexpr std::size_t MaxAnswer = 256 * 1024 * 1024;
constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned PreconditionFailed = 412;

std::vector<std::string> valuesOf(const std::string &Body) {
  json::error_code Code;
  json::value Root = json::parse(Body, Code);
  const json::object *Top = Code ? nullptr : Root.if_object();
  const json::value *Items =
      Top == nullptr ? nullptr : Top->if_contains("items");
  if (Items == nullptr || !Items->is_array())
    throw Error(Step::Table, "", "table listing has no \"items\"");
  std::vector<std::string> Out;
  for (const json::value &Each : Items->get_array()) {
    const json::object *Item = Each.if_object();
    const json::value *Value =
        Item == nullptr ? nullptr : Item->if_contains("value");
    if (Value == nullptr || !Value->is_string())
      throw Error(Step::Table, "",
                  "an item of the table listing has no \"value\"");
    Out.emplace_back(Value->get_string());
  }
  return Out;
}

std::string targetOf(const TableCall &Call) {
  if (Call.Kind_ != TableCall::Kind::List)
    return "/table/" + Call.Key_;
  return "/table?prefix=" + RevisionKeyPrefix + "&after=" + Call.Key_ +
         "&limit=" + std::to_string(TableCall::PageSize);
}
} // namespace

TableClient::TableClient(std::string Address, Duration Timeout)
    : Address_(std::move(Address)), Timeout_(Timeout) {}

HttpResult TableClient::send(HttpRequest R) {
  std::promise<HttpResult> Promise;
  auto Future = Promise.get_future();
  HttpClient::Options Options;
  Options.ConnectTimeout_ = Timeout_;
  Options.IdleTimeout_ = Timeout_;
  Options.Timeout_ = Timeout_;
  Options.MaxBody_ = MaxAnswer;
  HttpClient::Callbacks Callbacks;
  Callbacks.OnDone_ = [&](HttpResult Result) {
    Promise.set_value(std::move(Result));
  };
  auto Call =
      Client_.call(Address_, std::move(R), Options, std::move(Callbacks));
  HttpResult Result = Future.get();
  if (Result.Error_)
    LastFailure_ = Result.Error_->message();
  else
    LastFailure_ =
        "answered with status " + std::to_string(Result.Response_->Status_);
  return Result;
}

TableAnswer TableClient::perform(const TableCall &Call) {
  std::this_thread::sleep_for(Call.Delay_);
  bool IsRead =
      Call.Kind_ == TableCall::Kind::Get || Call.Kind_ == TableCall::Kind::List;
  return IsRead ? read(Call) : write(Call);
}

TableAnswer TableClient::read(const TableCall &Call) {
  HttpResult Result = send({.Method_ = "GET", .Target_ = targetOf(Call)});
  TableAnswer A{.Kind_ = TableAnswer::Kind::Lost};
  if (!Result.Response_)
    return A;
  HttpResponse &Response = *Result.Response_;
  if (Response.Status_ == NotFound)
    A.Kind_ = TableAnswer::Kind::Absent;
  if (Response.Status_ != Ok)
    return A;
  A.Kind_ = TableAnswer::Kind::Done;
  A.Etag_ = findHeader(Response.Headers_, "ETag").value_or("");
  if (Call.Kind_ == TableCall::Kind::List)
    A.Values_ = valuesOf(Response.Body_);
  else
    A.Value_ = std::move(Response.Body_);
  return A;
}

// Only 200 and 412 are certain to come from the table itself. Any other status
// may come from a proxy in front of it, after the write took effect.
TableAnswer TableClient::write(const TableCall &Call) {
  HttpRequest R{.Method_ = "PUT", .Target_ = targetOf(Call)};
  if (Call.Kind_ == TableCall::Kind::Create)
    R.Headers_.push_back({"If-None-Match", "*"});
  else
    R.Headers_.push_back({"If-Match", Call.Etag_});
  R.Headers_.push_back({"Content-Type", "application/json"});
  R.Body_ = Call.Value_;
  HttpResult Result = send(std::move(R));
  TableAnswer A{.Kind_ = TableAnswer::Kind::Lost};
  if (!Result.Sent_)
    A.Kind_ = TableAnswer::Kind::NotSent;
  if (!Result.Response_)
    return A;
  if (Result.Response_->Status_ == Ok)
    A.Kind_ = TableAnswer::Kind::Done;
  if (Result.Response_->Status_ == PreconditionFailed)
    A.Kind_ = TableAnswer::Kind::Refused;
  return A;
}

TableAnswer TableClient::readWithRetries(const TableCall &Call) {
  for (int Attempt = 0; Attempt < MaxReadAttempts; ++Attempt) {
    if (Attempt > 0)
      std::this_thread::sleep_for(ReadRetryDelay);
    TableAnswer A = read(Call);
    if (A.Kind_ == TableAnswer::Kind::Done ||
        A.Kind_ == TableAnswer::Kind::Absent)
      return A;
  }
  throw Error(Step::Table, Address_, LastFailure_);
}

RevisionFold TableClient::snapshotUpTo(Revision N) {
  RevisionFold Fold;
  TableAnswer A = readWithRetries({.Key_ = SnapshotKey});
  if (A.Kind_ == TableAnswer::Kind::Absent)
    return Fold;
  try {
    TextSnapshot S = parseSnapshot(A.Value_);
    if (S.Revision_ <= N)
      Fold.start(std::move(S));
  } catch (const Error &) {
    // The snapshot is optional: without it more revisions are read.
  }
  return Fold;
}

RevisionFold TableClient::latest() {
  return textAt(std::numeric_limits<Revision>::max());
}

RevisionFold TableClient::textAt(Revision N) {
  RevisionFold Fold = snapshotUpTo(N);
  for (const RevisionRecord &Each : recordsAfter(Fold.revision()))
    if (Each.Revision_ <= N)
      Fold.add(Each);
  return Fold;
}

std::vector<RevisionRecord> TableClient::recordsAfter(Revision After) {
  std::vector<RevisionRecord> All;
  while (true) {
    Revision Last = All.empty() ? After : All.back().Revision_;
    TableAnswer Page = readWithRetries(
        {.Kind_ = TableCall::Kind::List, .Key_ = revisionKey(Last)});
    if (Page.Values_.empty())
      return All;
    for (const std::string &Value : Page.Values_)
      All.push_back(parseRevisionRecord(Value));
  }
}

} // namespace hawthornroad
