#include "tests/integration/HttpHelpers.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <mutex>
#include <stdexcept>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view EventEnd = "\n\n";

void sendJson(const std::string &Method, const std::string &Address,
              const std::string &Target, const json::object &Body) {
  HttpResponse R = fetch(
      Address,
      {.Method_ = Method, .Target_ = Target, .Body_ = json::serialize(Body)});
  if (R.Status_ < 200 || R.Status_ > 299)
    throw std::runtime_error(Method + " " + Target + " at " + Address + ": " +
                             std::to_string(R.Status_) + " " + R.Body_);
}

// The data of each complete event in Body; an incomplete one is omitted.
std::vector<std::string> eventsOf(std::string_view Body) {
  std::vector<std::string> Events;
  for (;;) {
    std::size_t End = Body.find(EventEnd);
    if (End == std::string_view::npos)
      return Events;
    std::string_view Event = Body.substr(0, End);
    // Other fields, such as an id, may precede it.
    std::size_t Line = Event.starts_with(DataPrefix)
                           ? 0
                           : Event.find("\n" + std::string(DataPrefix));
    if (Line != std::string_view::npos) {
      Event.remove_prefix(Line == 0 ? 0 : Line + 1);
      Events.emplace_back(Event.substr(DataPrefix.size()));
    }
    Body.remove_prefix(End + EventEnd.size());
  }
}
} // namespace

HttpResponse fetch(const std::string &Address, HttpRequest R,
                   Duration Timeout) {
  return httpFetch(Address, R, Timeout);
}

HttpResponse get(const std::string &Address, const std::string &Target) {
  return fetch(Address, {.Target_ = Target});
}

json::object getJson(const std::string &Address, const std::string &Target) {
  HttpResponse R = get(Address, Target);
  if (R.Status_ != 200)
    throw std::runtime_error("GET " + Target + " at " + Address + ": " +
                             std::to_string(R.Status_) + " " + R.Body_);
  return json::parse(R.Body_).as_object();
}

void postJson(const std::string &Address, const std::string &Target,
              const json::object &Body) {
  sendJson("POST", Address, Target, Body);
}

void putJson(const std::string &Address, const std::string &Target,
             const json::object &Body) {
  sendJson("PUT", Address, Target, Body);
}

std::int64_t numberAt(const json::object &From, std::string_view Key) {
  const json::value *Found = From.if_contains(json::string_view(Key));
  return Found == nullptr ? 0 : Found->to_number<std::int64_t>();
}

std::string textAt(const json::object &From, std::string_view Key) {
  const json::value *Found = From.if_contains(json::string_view(Key));
  return Found == nullptr ? std::string() : std::string(Found->as_string());
}

struct StreamCall::State {
  IoThread Io_{"test-stream", 16};
  HttpClient Client_{Io_};
  std::shared_ptr<HttpCall> Call_;
  mutable std::mutex Lock_;
  StreamResult Result_;
  bool Done_ = false;

  void head(const HttpResponse &Head) {
    std::lock_guard Guard(Lock_);
    Result_.Status_ = Head.Status_;
    Result_.Headers_ = Head.Headers_;
  }
  void data(std::string_view Bytes) {
    std::lock_guard Guard(Lock_);
    Result_.Body_ += Bytes;
  }
  void end(const HttpResult &End) {
    std::lock_guard Guard(Lock_);
    Result_.Whole_ = End.Response_.has_value();
    if (End.Error_)
      Result_.Error_ = End.Error_->what();
    Done_ = true;
  }
};

StreamCall::StreamCall(const std::string &Address, HttpRequest R)
    : State_(std::make_shared<State>()) {
  State *S = State_.get(); // its IoThread stops before it is destroyed
  HttpClient::Callbacks C;
  C.OnHead_ = [S](const HttpResponse &Head) { S->head(Head); };
  C.OnData_ = [S](std::string_view Bytes) { S->data(Bytes); };
  C.OnDone_ = [S](const HttpResult &End) { S->end(End); };
  HttpClient::Options Options;
  Options.IdleTimeout_ = Seconds(120);
  State_->Call_ =
      State_->Client_.call(Address, std::move(R), Options, std::move(C));
}

StreamCall::~StreamCall() {
  disconnect();
  State_->Io_.stop();
}

StreamResult StreamCall::resultSoFar() const {
  std::lock_guard Guard(State_->Lock_);
  StreamResult Result = State_->Result_;
  Result.Events_ = eventsOf(Result.Body_);
  return Result;
}

bool StreamCall::done() const {
  std::lock_guard Guard(State_->Lock_);
  return State_->Done_;
}

StreamResult StreamCall::wait(Duration Bound) {
  eventually([this] { return done(); }, "the stream has ended", Bound);
  return resultSoFar();
}

void StreamCall::disconnect() { State_->Call_->cancel(); }

StreamResult fetchStream(const std::string &Address, HttpRequest R) {
  return StreamCall(Address, std::move(R)).wait();
}

HttpRequest completionRequest(const std::string &Path,
                              const std::string &Prompt, int MaxTokens,
                              bool Stream) {
  json::object Body = {
      {"prompt", Prompt}, {"max_tokens", MaxTokens}, {"stream", Stream}};
  return {.Method_ = "POST",
          .Target_ = Path,
          .Headers_ = {{"Content-Type", "application/json"}},
          .Body_ = json::serialize(Body)};
}

} // namespace hawthornroad
