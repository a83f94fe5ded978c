#include "hawthornroad/runtime/EndpointClient.h"

#include "hawthornroad/peers/ReadWindow.h"
#include "hawthornroad/runtime/Log.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cctype>
#include <deque>

namespace hawthornroad {

namespace {

constexpr Duration CancelTimeout = Seconds(2);
// Bytes of an answer to a caller, which is passed on as it arrives.
constexpr std::size_t MaxAnswer = 256 * 1024 * 1024;
constexpr Duration PostRetryDelay = Milliseconds(2);

// Hop-by-hop header fields (RFC 9110, 7.6.1) and framing fields.
constexpr std::array<std::string_view, 11> HopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "proxy-authorization",
    "content-length"};

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

bool isHopHeader(const std::string &Lower) {
  return std::find(HopByHopHeaders.begin(), HopByHopHeaders.end(), Lower) !=
         HopByHopHeaders.end();
}

// Engine-* headers are set by this system only; those from callers are dropped.
bool isOurs(const std::string &Lower) {
  return Lower.starts_with("engine-") || Lower == "idempotency-key";
}

} // namespace

HttpRequest endpointRequest(const EndpointCall &Call) {
  HttpRequest Made{
      Call.Request_.Method_, Call.Request_.Target_, {}, Call.Request_.Body_};
  for (const HttpHeader &Each : Call.Request_.Headers_) {
    std::string Lower = lowerCase(Each.Name_);
    if (!isHopHeader(Lower) && !isOurs(Lower))
      Made.Headers_.push_back(Each);
  }
  if (!Call.IdempotencyKey_.empty())
    Made.Headers_.push_back({"Idempotency-Key", Call.IdempotencyKey_});
  if (!Call.IsModel_)
    return Made;
  Made.Headers_.push_back({"Engine-Request", Call.Attempt_.str()});
  Made.Headers_.push_back(
      {"Engine-Priority", std::to_string(static_cast<int>(Call.Priority_))});
  if (Call.ResumeEvents_ > 0)
    Made.Headers_.push_back(
        {"Engine-Resume-Events", std::to_string(Call.ResumeEvents_)});
  return Made;
}

std::vector<AnswerHeader> answerHeaders(const HttpHeaders &Headers) {
  std::vector<AnswerHeader> Kept;
  for (const HttpHeader &Each : Headers)
    if (!isHopHeader(lowerCase(Each.Name_)))
      Kept.push_back({Each.Name_, Each.Value_});
  return Kept;
}

// One call. All methods but the constructor run on the IoThread.
class EndpointClient::Run
    : public std::enable_shared_from_this<EndpointClient::Run> {
public:
  Run(EndpointClient &Owner, EndpointCall Call)
      : Owner_(Owner), Attempt_(Call.Attempt_), IsModel_(Call.IsModel_),
        Request_(endpointRequest(Call)), Window_(Owner.Setup_.Window_) {}

  void begin() {
    HttpClient::Options Options;
    Options.IdleTimeout_ = Owner_.Setup_.IdleTimeout_;
    Options.MaxBody_ = MaxAnswer;
    HttpClient::Callbacks C;
    C.OnHead_ = [Self = shared_from_this()](const HttpResponse &R) {
      Self->onHead(R);
    };
    C.OnData_ = [Self = shared_from_this()](std::string_view Bytes) {
      Self->onData(std::string(Bytes));
    };
    C.OnDone_ = [Self = shared_from_this()](HttpResult R) {
      Self->onDone(std::move(R));
    };
    Call_ = Owner_.Client_.call(Owner_.Setup_.Address_, std::move(Request_),
                                Options, std::move(C));
  }

  void stop() {
    if (Call_)
      Call_->cancel();
    Backlog_.clear();
    Stopped_ = true;
    cancelAtEngine();
  }

  void pause(bool Paused) {
    Paused_ = Paused;
    applyPause();
  }

  void release(std::uint64_t Offset) {
    Window_.release(Offset);
    applyPause();
  }

private:
  void onHead(const HttpResponse &R) {
    HeadReceived E{
        Attempt_,
        {R.Status_, answerHeaders(R.Headers_),
         VersionDigest(findHeader(R.Headers_, "Engine-Version").value_or(""))}};
    postOrQueue([Owner = &Owner_, E = std::move(E)](TimePoint Now) {
      Owner->Callbacks_.OnHead_(E, Now);
    });
  }

  void onData(std::string Bytes) {
    Window_.take(Bytes.size());
    postOrQueue([Owner = &Owner_, E = DataReceived{Attempt_, std::move(Bytes)}](
                    TimePoint Now) mutable {
      Owner->Callbacks_.OnData_(std::move(E), Now);
    });
  }

  void onDone(HttpResult R) {
    if (R.Error_ && R.Sent_)
      cancelAtEngine();
    RunEnded E{Attempt_, std::move(R.Error_), R.Sent_};
    postOrQueue([Owner = &Owner_, E = std::move(E)](TimePoint Now) {
      Owner->ended(E, Now);
    });
  }

  void postOrQueue(DecisionLoop::Work Work) {
    if (Stopped_)
      return;
    Backlog_.push_back(std::move(Work));
    flush();
  }

  void flush() {
    while (!Backlog_.empty()) {
      if (!Owner_.Loop_.post(Backlog_.front()))
        break;
      Backlog_.pop_front();
    }
    applyPause();
    if (Backlog_.empty() || FlushDue_)
      return;
    FlushDue_ = true;
    Owner_.Io_.after(PostRetryDelay, [Self = shared_from_this()] {
      Self->FlushDue_ = false;
      Self->flush();
    });
  }

  void applyPause() {
    if (!Call_)
      return;
    if (Paused_ || !Backlog_.empty() || !Window_.isOpen())
      Call_->pause();
    else
      Call_->resume();
  }

  void cancelAtEngine() {
    if (!IsModel_)
      return;
    HttpRequest R{"POST",
                  "/admin/cancel",
                  {{"Content-Type", "application/json"}},
                  "{\"request\":\"" + Attempt_.str() + "\"}"};
    HttpClient::Options Options;
    Options.Timeout_ = CancelTimeout;
    Owner_.Client_.call(Owner_.Setup_.Address_, std::move(R), Options,
                        {.OnDone_ = [&M = Owner_.Metrics_](HttpResult Result) {
                          M.count("hawthornroad_engine_cancels_total",
                                  {{"result", Result.Error_ ? "error" : "ok"}});
                        }});
  }

  EndpointClient &Owner_;
  AttemptId Attempt_;
  bool IsModel_;
  HttpRequest Request_;
  ReadWindow Window_;
  std::shared_ptr<HttpCall> Call_;
  // Events not yet posted because the loop's ring was full, in order.
  std::deque<DecisionLoop::Work> Backlog_;
  bool FlushDue_ = false;
  bool Paused_ = false;
  bool Stopped_ = false;
};

EndpointClient::EndpointClient(Setup S, IoThread &Io, HttpClient &Client,
                               DecisionLoop &Loop, Metrics &M, Callbacks C)
    : Setup_(std::move(S)), Io_(Io), Client_(Client), Loop_(Loop), Metrics_(M),
      Callbacks_(std::move(C)) {}

EndpointClient::~EndpointClient() = default;

std::shared_ptr<EndpointClient::Run>
EndpointClient::find(const AttemptId &Attempt) const {
  auto Found = Runs_.find(Attempt);
  return Found == Runs_.end() ? nullptr : Found->second;
}

// start(), stop() and the like are called a few times per running attempt, and
// AttemptTable limits the attempts. So they post directly to the I/O context
// instead of a bounded ring, which could refuse a stop when full.
void EndpointClient::start(EndpointCall Call) {
  AttemptId Attempt = Call.Attempt_;
  auto Made = std::make_shared<Run>(*this, std::move(Call));
  Runs_[Attempt] = Made;
  boost::asio::post(Io_.context(), [Made] { Made->begin(); });
}

void EndpointClient::stop(const AttemptId &Attempt) {
  if (auto Found = find(Attempt))
    boost::asio::post(Io_.context(), [Found] { Found->stop(); });
  Runs_.erase(Attempt);
}

void EndpointClient::pause(const AttemptId &Attempt) {
  if (auto Found = find(Attempt))
    boost::asio::post(Io_.context(), [Found] { Found->pause(true); });
}

void EndpointClient::resume(const AttemptId &Attempt) {
  if (auto Found = find(Attempt))
    boost::asio::post(Io_.context(), [Found] { Found->pause(false); });
}

void EndpointClient::release(const AttemptId &Attempt, std::uint64_t Offset) {
  if (auto Found = find(Attempt))
    boost::asio::post(Io_.context(),
                      [Found, Offset] { Found->release(Offset); });
}

void EndpointClient::ended(RunEnded E, TimePoint Now) {
  Runs_.erase(E.Attempt_);
  Callbacks_.OnEnded_(std::move(E), Now);
}

} // namespace hawthornroad
