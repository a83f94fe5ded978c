#include "hawthornroad/entry/DirectEntryState.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace hawthornroad {

namespace {
constexpr std::size_t MaxLoggedUnreadable = 1000;
// Of a health answer, in bytes: its head states all that is used.
constexpr std::size_t MaxHealthBody = 16 * 1024;

std::string secondsText(Duration D) {
  std::array<char, 32> Text;
  double Value = std::chrono::duration<double>(D).count();
  int Length = std::snprintf(Text.data(), Text.size(), "%.2f", Value);
  return {Text.data(), static_cast<std::size_t>(Length)};
}

// As in the request's header, without the tokens.
std::string partsText(const std::vector<PromptPart> &Parts) {
  std::string Out;
  for (PromptPart Each : Parts) {
    std::array<char, 24> Text;
    int Length = std::snprintf(Text.data(), Text.size(), "%s%08llx",
                               Out.empty() ? "" : ",",
                               static_cast<unsigned long long>(Each));
    Out.append(Text.data(), static_cast<std::size_t>(Length));
  }
  return Out;
}

// Whether a request ended in a way that on-call looks for by its id: its answer
// was cut, it failed here other than by a refusal, or its caller left midway.
bool isAbnormal(const CallReport &R) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned ServerError = 500;
  constexpr unsigned Unavailable = 503;
  if (R.CallerGone_)
    return R.Attempts_ > 0;
  if (R.Cause_ == Cause::None || R.Status_ == Unavailable)
    return false;
  return R.Status_ < BadRequest || R.Status_ >= ServerError;
}

// How a request ended for its caller.
std::string_view outcomeOf(const CallReport &R) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned Unavailable = 503;
  if (R.CallerGone_)
    return "caller_gone";
  if (R.Status_ == Unavailable)
    return "refused";
  return R.Cause_ == Cause::None && R.Status_ < BadRequest ? "served"
                                                           : "failed";
}

// Runs of a request, compared with what its route allows.
std::string runsText(const CallReport &R) {
  if (R.Runs_ == R.MaxRuns_)
    return "last_allowed";
  return R.Runs_ < R.MaxRuns_ ? "fewer" : "more";
}

bool isAbnormal(const AttemptReport &R) {
  return R.Event_ == "failed" || R.Event_ == "cancelled";
}
} // namespace

void DirectEntry::State::onRequest(const std::shared_ptr<ServerSession> &S,
                                   InboundRequest R) {
  if (platform::isReadinessProbe(R))
    return answerReady(*S);
  CallNumber N = NextCall_++;
  S->setTag(N);
  Sessions_[N] = S;
  Call C = platform::decodeCall(std::move(R));
  S->setRequestId(C.Id_);
  if (C.HasUnreadableParts_)
    Metrics_.count("hawthornroad_prompt_parts_unreadable_total");
  Core_.arrive(N, std::move(C), bootNow());
}

void DirectEntry::State::onCallerDisconnected(ServerSession &S) {
  CallNumber N = S.tag();
  Sessions_.erase(N);
  Core_.callerGone(N, bootNow());
}

// Idle connections are only counted.
void DirectEntry::State::onEnd(ServerSession &S, const SessionEndReport &R) {
  Metrics_.count("hawthornroad_caller_connections_ended_total",
                 {{"why", std::string(toString(R.Why_))}});
  if (!R.IsAnswering_ && !R.IsReceiving_)
    return;
  const std::string *Received = platform::requestIdOf(R.Headers_);
  std::string Id = Received != nullptr ? *Received : std::string();
  LogLine L("connection_ended");
  L.text("request", R.IsAnswering_ ? S.requestId() : Id)
      .text("why", toString(R.Why_))
      .text("detail", R.Detail_)
      .flag("answering", R.IsAnswering_)
      .millis("age_ms", R.Age_)
      .count("unsent_bytes", R.UnsentBytes_)
      .millis("paused_ms", LongestPause_);
  Log_.write(L, !isCallersEnd(R.Why_));
}

ServerSession *DirectEntry::State::session(CallNumber N) const {
  auto Found = Sessions_.find(N);
  return Found == Sessions_.end() ? nullptr : Found->second.get();
}

std::shared_ptr<ServerSession> DirectEntry::State::takeSession(CallNumber N) {
  auto Found = Sessions_.find(N);
  if (Found == Sessions_.end())
    return nullptr;
  auto S = std::move(Found->second);
  Sessions_.erase(Found);
  return S;
}

void DirectEntry::State::respond(CallNumber N, unsigned Status,
                                 const HeaderFields &Fields, std::string Body) {
  if (auto S = takeSession(N))
    S->respond(Status, Fields, std::move(Body));
}

void DirectEntry::State::refuse(CallNumber N, const Call &C, unsigned Status,
                                Cause Why, Duration RetryAfter) {
  auto S = takeSession(N);
  if (!S)
    return;
  HeaderFields Fields = platform::refusalHeaders(C);
  Fields.push_back({"Content-Type", "application/problem+json"});
  if (RetryAfter > Duration::zero())
    Fields.push_back({"Retry-After", secondsText(RetryAfter)});
  S->respond(Status, Fields,
             "{\"cause\":\"" + std::string(toString(Why)) + "\"}");
}

void DirectEntry::State::beginStream(CallNumber N, unsigned Status,
                                     const HeaderFields &Fields) {
  if (ServerSession *S = session(N))
    S->begin(Status, Fields);
}

void DirectEntry::State::writeStream(CallNumber N, std::string_view Bytes) {
  if (ServerSession *S = session(N))
    S->write(Bytes);
}

void DirectEntry::State::finishStream(CallNumber N) {
  if (auto S = takeSession(N))
    S->finish();
}

void DirectEntry::State::abortStream(CallNumber N) {
  if (auto S = takeSession(N))
    S->abort();
}

// ---- Endpoints --------------------------------------------------------------

void DirectEntry::State::beginAttempt(AttemptNumber A, const Call &C,
                                      const AttemptParams &O) {
  LinkPool::Numbers &Used = UsedLinks_[O.Call_];
  // The answer to a request without an id names none either.
  auto Link = C.Id_.empty() ? Links_.open(O.Address_)
                            : Links_.take(O.Endpoint_.str(), O.Address_, Used);
  Used.insert(Link->number());
  Attempts_[A] = {Link, O.Endpoint_.str(), O.Call_};
  ClientLink::Events E;
  E.OnHead_ = [this, A](unsigned Status, HeaderFields Fields) {
    EndpointHead H = platform::decodeAnswer(Status, std::move(Fields));
    if (auto Found = Attempts_.find(A); Found != Attempts_.end()) {
      H.MayBeCopy_ = Found->second.Link_->isReused();
      Found->second.IsUnnamed_ = H.RequestId_.empty();
      noteUnreadable(Found->second.Endpoint_, H);
    }
    Core_.onHead(A, std::move(H), bootNow());
  };
  E.OnBody_ = [this, A](std::string Bytes) {
    std::size_t Count = Bytes.size();
    Core_.onBody(A, std::move(Bytes), bootNow());
    followCaller(A);
    noteReceived(Count);
  };
  E.OnEnd_ = [this, A](bool IsFramed) {
    auto Found = Attempts_.find(A);
    if (Found != Attempts_.end()) {
      // A late copy of an answer without an id could not be recognized.
      if (Found->second.IsUnnamed_)
        Found->second.Link_->abandon();
      else
        Links_.putBack(Found->second.Endpoint_, Found->second.Link_);
      Attempts_.erase(Found);
    }
    Core_.onEnd(A, bootNow(), IsFramed);
  };
  E.OnFail_ = [this, A, Id = O.Endpoint_](const LinkFailure &F) {
    Attempts_.erase(A);
    if (F.IsRefused_)
      Core_.endpointRefused(Id, bootNow());
    Core_.onFail(A, F.NeverSent_,
                 std::string(toString(F.Step_)) + ": " + F.Message_, bootNow());
  };
  // Connecting takes some of the time that is left.
  auto Make = [&C, Params = O, Until = bootNow() + O.TimeLeft_] {
    AttemptParams Current = Params;
    Current.TimeLeft_ = std::max<Duration>(Until - bootNow(), Duration::zero());
    return requestText(platform::encodeAttempt(C, Current), Current.Address_);
  };
  Link->sendOnceConnected(std::move(Make), std::move(E));
}

bool DirectEntry::State::checkHealth(AttemptNumber A, const Endpoint &E,
                                     const std::string &Path) {
  std::string Id = E.Id_.str();
  // A health answer names no request, so it can be matched to its check only on
  // a connection that has carried nothing else.
  auto Link = Links_.open(E.Address_);
  Attempts_[A] = {Link, Id, 0};
  auto Head = std::make_shared<EndpointHead>();
  ClientLink::Events On;
  On.OnHead_ = [Head](unsigned Status, HeaderFields Fields) {
    *Head = platform::decodeAnswer(Status, std::move(Fields));
  };
  On.OnBody_ = [](const std::string &) {};
  On.OnEnd_ = [this, A, Head](bool) {
    if (auto Found = Attempts_.extract(A))
      Found.mapped().Link_->abandon();
    countHealthCheck("answered");
    Core_.onHealth(A, *Head, bootNow());
  };
  On.OnFail_ = [this, A](const LinkFailure &) {
    Attempts_.erase(A);
    countHealthCheck("failed");
    Core_.onHealthFailed(A, bootNow());
  };
  Link->send(requestText(platform::encodeHealthCheck(Path), E.Address_),
             std::move(On), MaxHealthBody);
  return true;
}

void DirectEntry::State::countHealthCheck(std::string_view End) {
  Metrics_.count("hawthornroad_health_checks_total",
                 {{"end", std::string(End)}});
}

void DirectEntry::State::cancelAttempt(AttemptNumber A) {
  auto Found = Attempts_.find(A);
  if (Found == Attempts_.end())
    return;
  auto Link = std::move(Found->second.Link_);
  Attempts_.erase(Found);
  Link->abandon();
}

void DirectEntry::State::skipAnswer(AttemptNumber A) {
  auto Found = Attempts_.find(A);
  if (Found == Attempts_.end())
    return;
  Found->second.Link_->skipAnswer();
  Metrics_.count("hawthornroad_answers_skipped_total");
  Log_.write(LogLine("answer_skipped")
                 .text("endpoint", Found->second.Endpoint_)
                 .text("why", "a late copy of another answer"));
}

void DirectEntry::State::noteUnreadable(const std::string &Endpoint,
                                        const EndpointHead &H) {
  std::vector<std::string_view> Fields = H.Unreadable_;
  if (H.IsSlowdownUnreadable_)
    Fields.emplace_back("slowdown");
  for (std::string_view Field : Fields) {
    Metrics_.count("hawthornroad_endpoint_statements_unreadable_total",
                   {{"field", std::string(Field)}});
    if (LoggedUnreadable_.size() < MaxLoggedUnreadable &&
        LoggedUnreadable_.emplace(Endpoint, Field).second)
      Log_.write(LogLine("statement_unreadable")
                     .text("endpoint", Endpoint)
                     .text("field", Field));
  }
}

// ---- Log --------------------------------------------------------------------

void DirectEntry::State::report(const AttemptReport &R) {
  LogLine L("attempt");
  L.text("request", R.Id_)
      .text("what", R.Event_)
      .text("endpoint", R.Endpoint_.str())
      .text("address", R.Address_)
      .count("ordinal", R.Ordinal_);
  if (R.Event_ == "begun") {
    L.number("load", R.EndpointView_.Load_)
        .number("unread", R.EndpointView_.Unread_)
        .count("own", R.EndpointView_.Own_)
        .count("places", R.EndpointView_.Places_)
        .count("version", R.EndpointView_.Version_)
        .flag("repeat", R.IsRepeat_);
    if (R.EndpointView_.ReportAge_)
      L.millis("load_age_ms", *R.EndpointView_.ReportAge_);
    if (R.EndpointView_.Slowdown_)
      L.number("slowdown", *R.EndpointView_.Slowdown_);
  } else {
    L.text("why", R.Reason_).flag("may_have_run", R.MayHaveRun_);
    L.millis("took_ms", R.Took_).millis("silent_ms", R.SilentFor_);
    if (R.Event_ == "failed" && !R.Parts_.empty())
      L.text("parts", partsText(R.Parts_));
    Metrics_.count("hawthornroad_attempts_total",
                   {{"end", std::string(R.Event_)}});
  }
  Log_.write(L, isAbnormal(R));
}

void DirectEntry::State::report(const CutReport &R) {
  LogLine L("answer_cut");
  L.text("request", R.Id_)
      .text("why", R.Reason_)
      .text("cause", toString(R.Cause_))
      .text("endpoint", R.LastEndpoint_.str())
      .millis("silent_ms", R.SilentFor_)
      .count("events", R.Events_)
      .count("attempts", R.Attempts_)
      .millis("whole_ms", R.Total_)
      .millis("left_ms", R.TimeLeft_)
      .millis("paused_ms", LongestPause_);
  if (R.EndpointView_) {
    L.number("load", R.EndpointView_->Load_)
        .count("version", R.EndpointView_->Version_)
        .flag("away", R.EndpointView_->IsAway_)
        .flag("ejected", R.EndpointView_->IsEjected_);
    if (R.EndpointView_->ReportAge_)
      L.millis("load_age_ms", *R.EndpointView_->ReportAge_);
  }
  Log_.write(L, true);
  Metrics_.count("hawthornroad_answers_cut_total",
                 {{"why", std::string(R.Reason_)}});
}

void DirectEntry::State::report(const LimitReport &R) {
  LogLine L("endpoint_limit");
  L.text("endpoint", R.Endpoint_.str())
      .flag("limited", R.PerSecond_.has_value())
      .text("source", R.Source_)
      .millis("age_ms", R.Age_);
  if (R.PerSecond_)
    L.number("per_second", *R.PerSecond_);
  if (R.Previous_)
    L.number("previous", *R.Previous_);
  Log_.write(L, true);
  Metrics_.set("hawthornroad_endpoints_limited",
               static_cast<double>(Core_.limits().inForce()));
}

void DirectEntry::State::report(const HoldReport &R) {
  constexpr std::array<const char *, 3> Names = {
      "endpoint_rests", "endpoint_rest_ended", "endpoint_leaves"};
  const char *Name = Names.at(static_cast<std::size_t>(R.Kind_));
  LogLine L(Name);
  L.text("endpoint", R.Endpoint_.str()).text("source", AnswerSource);
  if (R.Kind_ == HoldReport::Kind::Rests)
    L.millis("rest_ms", R.Rest_);
  Log_.write(L, true);
  Metrics_.count("hawthornroad_endpoint_holds_total", {{"event", Name}});
}

void DirectEntry::State::report(const ColdReport &R) {
  LogLine L(R.IsCold_ ? "endpoint_cold" : "endpoint_warm");
  L.text("endpoint", R.Endpoint_.str())
      .text("source", R.Source_)
      .millis(R.IsCold_ ? "left_ms" : "cold_ms", R.For_);
  Log_.write(L);
  Metrics_.set("hawthornroad_endpoints_cold",
               static_cast<double>(Core_.coldEndpoints().cold(bootNow())));
}

void DirectEntry::State::report(const PartEvent &E) {
  constexpr std::array<const char *, 4> Names = {
      "prompt_part_suspected", "prompt_part_blocked", "prompt_part_cleared",
      "prompt_part_lifted"};
  const char *Name = Names.at(static_cast<std::size_t>(E.Kind_));
  std::string Endpoints;
  for (const PartEvidence::Crash &Each : E.Evidence_.Crashes_)
    Endpoints += (Endpoints.empty() ? "" : ",") + Each.Endpoint_.Id_.str();
  LogLine L(Name);
  L.text("part", partsText({E.Evidence_.Part_}))
      .count("crashes", E.Evidence_.Crashes_.size())
      .text("endpoints", Endpoints)
      .count("blocks", E.Evidence_.Blocks_);
  Log_.write(L, true);
  Metrics_.count("hawthornroad_prompt_parts_total", {{"event", Name}});
  Metrics_.set("hawthornroad_prompt_parts_blocked",
               static_cast<double>(Core_.parts().blocked()));
}

void DirectEntry::State::report(const ZoneReport &R) {
  LogLine L(R.IsEvacuated_ ? "zone_evacuated" : "zone_restored");
  L.text("zone", R.Zone_.str()).count("endpoints", R.Endpoints_);
  if (R.IsEvacuated_)
    L.count("since_wall_ms", EventLog::wallMilliseconds());
  else
    L.millis("evacuated_ms", R.Lasted_);
  Log_.write(L, true);
  Metrics_.set("hawthornroad_zones_evacuated", R.IsEvacuated_ ? 1 : 0,
               {{"zone", R.Zone_.str()}});
}

void DirectEntry::State::report(const CallReport &R) {
  UsedLinks_.erase(R.Number_);
  LogLine L("request");
  L.text("request", R.Id_)
      .text("route", R.Route_)
      .text("customer", R.Customer_.str())
      .count("status", R.Status_)
      .text("cause", toString(R.Cause_))
      .flag("may_have_run", R.MayHaveRun_)
      .flag("caller_gone", R.CallerGone_)
      .count("attempts", R.Attempts_)
      .count("runs", R.Runs_)
      .text("endpoint", R.LastEndpoint_.str())
      .count("config", R.ConfigVersion_)
      .count("events", R.Events_)
      .millis("gone_ms", R.ElapsedBefore_)
      .millis("waited_ms", R.Waited_)
      .millis("whole_ms", R.Total_);
  if (R.Rank_)
    L.text("priority", std::to_string(*R.Rank_)).flag("owed", R.IsOwed_);
  if (R.ConfigAge_)
    L.millis("config_age_ms", *R.ConfigAge_);
  if (R.FirstByte_)
    L.millis("first_ms", *R.FirstByte_).millis("gap_ms", R.LongestGap_);
  Log_.write(L, isAbnormal(R));
  Metrics_.count("hawthornroad_requests_total",
                 {{"status", std::to_string(R.Status_)},
                  {"cause", std::string(toString(R.Cause_))}});
  if (R.Runs_ > 1)
    Metrics_.count("hawthornroad_requests_run_again_total",
                   {{"route", R.Route_}, {"runs", runsText(R)}});
  if (R.Cause_ == Cause::NoAllowedRegion)
    Metrics_.count("hawthornroad_requests_refused_for_regions_total",
                   {{"route", R.Route_}, {"customer", R.Customer_.str()}});
  if (R.Rank_)
    Metrics_.count("hawthornroad_requests_by_priority_total",
                   {{"priority", std::to_string(*R.Rank_)},
                    {"outcome", std::string(outcomeOf(R))}});
  if (R.ConfigAge_)
    Metrics_.observe("hawthornroad_config_age_seconds",
                     std::chrono::duration<double>(*R.ConfigAge_).count());
  if (R.FirstByte_)
    Metrics_.observe("hawthornroad_first_byte_seconds",
                     std::chrono::duration<double>(*R.FirstByte_).count(),
                     {{"route", R.Route_}, {"customer", R.Customer_.str()}});
}

} // namespace hawthornroad
