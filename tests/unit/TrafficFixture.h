// TrafficCore with a simulated environment: FakePort records what it would send
// and answer, and two endpoints of each of two services are known.
//
//   CoreFixture F;
//   CallNumber N = F.send("/stream/1");
//   F.Core_.onHead(F.Port_.last().Attempt_, F.head(N, 200, true), Start);

#ifndef HAWTHORNROAD_TESTS_UNIT_TRAFFICFIXTURE_H
#define HAWTHORNROAD_TESTS_UNIT_TRAFFICFIXTURE_H

#include "hawthornroad/traffic/TrafficCore.h"
#include <catch2/catch.hpp>
#include <functional>

namespace hawthornroad::traffic_test {

inline constexpr TimePoint Start{Seconds(1000)};
inline const ServiceName Api("api");
inline const ServiceName Model("lm");

struct FakePort final : TrafficPort {
  struct Begun {
    AttemptNumber Attempt_;
    AttemptParams Params_;
  };
  struct Answer {
    unsigned Status_ = 0;
    std::string Body_;
    Cause Cause_ = Cause::None;
    Duration RetryAfter_ = Duration::zero();
    bool Streamed_ = false;
    bool Finished_ = false;
    bool Aborted_ = false;
  };
  std::vector<Begun> Begun_;
  std::vector<AttemptNumber> Cancelled_;
  std::map<CallNumber, Answer> Answers_;
  std::vector<CallReport> Reports_;
  // Called within each part of an answer: a caller that left may be noticed
  // there.
  std::function<void(CallNumber)> OnAnswer_;
  // Called within the begin of each attempt: it may fail there.
  std::function<void(AttemptNumber)> OnBegin_;

  void answering(CallNumber N) {
    if (OnAnswer_)
      OnAnswer_(N);
  }
  void beginAttempt(AttemptNumber A, const Call &,
                    const AttemptParams &O) override {
    Begun_.push_back({A, O});
    if (OnBegin_)
      OnBegin_(A);
  }
  void cancelAttempt(AttemptNumber A) override { Cancelled_.push_back(A); }
  std::vector<AttemptNumber> Skipped_;
  void skipAnswer(AttemptNumber A) override { Skipped_.push_back(A); }
  // Health checks in the order in which they were sent.
  struct HealthChecked {
    AttemptNumber Attempt_ = 0;
    EndpointId Endpoint_;
  };
  std::vector<HealthChecked> HealthChecks_;
  bool checkHealth(AttemptNumber A, const Endpoint &E,
                   const std::string &) override {
    HealthChecks_.push_back({A, E.Id_});
    return true;
  }
  struct PlaceAsked {
    AttemptNumber Attempt_ = 0;
    std::string Address_;
    PlaceKind Kind_ = PlaceKind::First;
    PlaceDemand Demand_;
  };
  // Whether engines have agents that can be asked for places.
  bool HasAgents_ = false;
  std::vector<PlaceAsked> Asked_;
  // Whether this process still waits for the agents' first reports.
  bool IsConnecting_ = false;
  AskResult askPlace(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    if (IsConnecting_)
      return AskResult::Connecting;
    if (!HasAgents_)
      return AskResult::NoAgent;
    Asked_.push_back({A, Address, D.Kind_, D});
    return AskResult::Sent;
  }
  // Whether an agent grants under the limits of plain endpoints.
  bool HasGranters_ = false;
  AskResult askLimit(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    if (!HasGranters_)
      return AskResult::NoAgent;
    Asked_.push_back({A, Address, D.Kind_, D});
    return AskResult::Sent;
  }
  void respond(CallNumber N, unsigned Status, const HeaderFields &,
               std::string Body) override {
    REQUIRE(Answers_.count(N) == 0);
    Answers_[N] = {.Status_ = Status, .Body_ = std::move(Body)};
    answering(N);
  }
  void refuse(CallNumber N, const Call &, unsigned Status, Cause Why,
              Duration RetryAfter) override {
    REQUIRE(Answers_.count(N) == 0);
    Answers_[N] = {.Status_ = Status, .Cause_ = Why, .RetryAfter_ = RetryAfter};
    answering(N);
  }
  void beginStream(CallNumber N, unsigned Status,
                   const HeaderFields &) override {
    REQUIRE(Answers_.count(N) == 0);
    Answers_[N] = {.Status_ = Status, .Streamed_ = true};
    answering(N);
  }
  void writeStream(CallNumber N, std::string_view Bytes) override {
    Answers_.at(N).Body_ += Bytes;
    answering(N);
  }
  void finishStream(CallNumber N) override {
    Answers_.at(N).Finished_ = true;
    answering(N);
  }
  void abortStream(CallNumber N) override { Answers_.at(N).Aborted_ = true; }
  void report(const CallReport &R) override { Reports_.push_back(R); }
  void report(const AttemptReport &) override {}

  const Begun &last() const { return Begun_.back(); }
};

inline Route route(const std::string &Prefix, const ServiceName &S, Repeat R,
                   bool IsStream) {
  Route Out;
  Out.Name_ = Prefix;
  Out.Host_ = "h";
  Out.Prefix_ = Prefix;
  Out.Repeat_ = R;
  Out.IsStream_ = IsStream;
  Out.Timeout_ = Milliseconds(1500);
  Out.FirstByteGoal_ = Milliseconds(150);
  Out.EventGapGoal_ = Milliseconds(300);
  Out.MaxAttempts_ = 2;
  Out.Services_ = {{S, 1}};
  return Out;
}

inline RoutingConfig::Parts parts(std::uint64_t Version = 1) {
  RoutingConfig::Parts P;
  P.Version_ = Version;
  P.Routes_ = {route("/safe/", Api, Repeat::Allowed, false),
               route("/once/", Api, Repeat::Never, false),
               route("/stream/", Model, Repeat::FromLastEvent, true)};
  P.Routes_[2].Timeout_ = Seconds(6);
  P.Services_.push_back({.Name_ = Api, .MaxConnections_ = 1000});
  ServiceConfig S{.Name_ = Model, .MaxConnections_ = 1000};
  S.Engine_ = EngineProfile{.Model_ = "m",
                            .Slots_ = 2,
                            .StepMs_ = 6.7,
                            .PrefillTokensPerMs_ = 30,
                            .MeanPromptTokens_ = 900};
  P.Services_.push_back(S);
  P.Customers_.push_back({Customer("zet"), {"key"}, std::nullopt});
  P.Customers_.push_back({Customer("libertas"), {"other-key"}, std::nullopt});
  return P;
}

struct CoreFixture {
  FakePort Port_;
  TrafficCore Core_;
  CallNumber Next_ = 1;

  static TrafficCore::Options options() {
    TrafficCore::Options O;
    O.Placement_.Zone_ = AvailabilityZone("z");
    O.Budget_.AlwaysAllowed_ = 3;
    return O;
  }
  explicit CoreFixture(bool Configured = true)
      : Core_(options(), Port_, Random(3)) {
    if (!Configured)
      return;
    std::vector<Endpoint> All;
    for (int I = 0; I < 2; ++I) {
      Endpoint E;
      E.Id_ = EndpointId("a" + std::to_string(I));
      E.Service_ = Api;
      E.Address_ = "10.0.0." + std::to_string(I) + ":80";
      E.Zone_ = AvailabilityZone("z");
      E.Slots_ = 2;
      All.push_back(E);
      E.Id_ = EndpointId("m" + std::to_string(I));
      E.Service_ = Model;
      E.Address_ = "10.0.1." + std::to_string(I) + ":80";
      E.HasModel_ = true;
      E.Model_ = "m";
      E.Version_ = 1;
      All.push_back(E);
    }
    Core_.endpoints().listed(All, Start);
    Core_.configure(RoutingConfig::build(parts()), Start);
    Core_.prove(Start, Start);
  }

  CallNumber send(const std::string &Target, TimePoint Now = Start,
                  const std::string &Key = "key",
                  std::optional<Duration> TimeLeft = std::nullopt) {
    Call C;
    C.TimeLeft_ = TimeLeft;
    C.Id_ = "r" + std::to_string(Next_);
    C.Method_ = "POST";
    C.Host_ = "h";
    C.Target_ = Target;
    C.Key_ = Key;
    CallNumber N = Next_++;
    Core_.arrive(N, std::move(C), Now);
    return N;
  }
  EndpointHead head(CallNumber N, unsigned Status = 200,
                    bool Events = false) const {
    EndpointHead H;
    H.Status_ = Status;
    H.IsSigned_ = true;
    H.RequestId_ = "r" + std::to_string(N);
    if (Events)
      H.Headers_ = {{"Content-Type", "text/event-stream"}};
    return H;
  }
  EndpointHead notRun(unsigned Status = 503) const {
    EndpointHead H;
    H.Status_ = Status;
    H.NotRun_ = true;
    return H;
  }
  void answer(AttemptNumber A, CallNumber N, const std::string &Body,
              unsigned Status = 200, TimePoint Now = Start) {
    Core_.onHead(A, head(N, Status), Now);
    Core_.onBody(A, Body, Now);
    Core_.onEnd(A, Now);
  }
  const FakePort::Answer &answerOf(CallNumber N) {
    REQUIRE(Port_.Answers_.count(N) == 1);
    return Port_.Answers_.at(N);
  }
};

} // namespace hawthornroad::traffic_test

#endif // HAWTHORNROAD_TESTS_UNIT_TRAFFICFIXTURE_H
