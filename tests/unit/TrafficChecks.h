// A TrafficPort that checks every action of a TrafficCore against what its
// requests, attempts and endpoints permit, and throws when one breaks it. A
// test derives from it and plays callers, endpoints, agents and operators.
//
//   struct Player : TrafficChecks {...};
//   Requests_[N] = ...; Core_.arrive(N, ...);       // then events of Runs_
//   checkAll(); checkEnd();

#ifndef HAWTHORNROAD_TESTS_UNIT_TRAFFICCHECKS_H
#define HAWTHORNROAD_TESTS_UNIT_TRAFFICCHECKS_H

#include "tests/unit/TrafficFixture.h"

#include <algorithm>
#include <stdexcept>

namespace hawthornroad::traffic_test {

inline constexpr unsigned LastPiece = 8;
inline constexpr double RepeatRatio = 0.2;
inline constexpr double RepeatShare = 0.85;
// As TrafficCore has them.
inline constexpr Duration EventSilence = Milliseconds(900);
inline constexpr double SilenceShare = 0.35;

inline void check(bool Holds, const char *What) {
  if (!Holds)
    throw std::runtime_error(What);
}

// Events of a stream.
inline std::string pieces(std::uint64_t From, std::uint64_t To) {
  std::string Out;
  for (std::uint64_t I = From; I <= To; ++I)
    Out += "id: " + std::to_string(I) + "\ndata: piece " + std::to_string(I) +
           "\n\n";
  return Out;
}

// One attempt, as its endpoint knows it.
struct Run {
  CallNumber Call_ = 0;
  EndpointId Endpoint_;
  std::uint64_t Born_ = 0;
  bool IsOver_ = false;
  // Stated by the endpoint, or nothing was sent.
  bool NotRun_ = false;
  bool HasHead_ = false;
  bool HasBadHead_ = false;
  bool HasEnded_ = false;
  // Its endpoint was listed with a later start meanwhile and does not count any
  // more. One that leaves the list counts: it works on.
  bool HasRestarted_ = false;
  unsigned Status_ = 200;
  std::string Body_;
  std::size_t Sent_ = 0;
  TimePoint StalledUntil_;
};

// One request, as its caller knows it.
struct Request {
  ServiceName Service_;
  Repeat Repeat_ = Repeat::Never;
  bool IsStream_ = false;
  unsigned MaxAttempts_ = 0;
  std::uint64_t LastEvent_ = 0;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;
  TimePoint LastByteAt_;
  std::vector<AttemptNumber> Runs_;
  std::set<unsigned> OpenReports_;
  bool IsStreaming_ = false;
  std::string Received_;
  unsigned Answers_ = 0;
  unsigned Reports_ = 0;
  unsigned Cuts_ = 0;
  bool HasLeft_ = false;

  // After how long another endpoint is looked for.
  Duration silence() const {
    return IsStream_ ? EventSilence
                     : std::chrono::duration_cast<Duration>(
                           (Deadline_ - ArrivedAt_) * SilenceShare);
  }
};

class TrafficChecks : public TrafficPort {
public:
  explicit TrafficChecks(std::uint64_t Seed,
                         std::map<AvailabilityZone, Region> Regions = {})
      : Random_(Seed), AlwaysAllowed_(1 + Random_.below(20)),
        Core_(options(AlwaysAllowed_, std::move(Regions)), *this,
              Random(Seed + 1)) {}

  void beginAttempt(AttemptNumber A, const Call &,
                    const AttemptParams &O) override {
    Request &R = Requests_.at(O.Call_);
    check(Runs_.count(A) == 0, "attempt numbers are unique");
    check(R.Answers_ == 0 && !R.HasLeft_, "nothing begins after the answer");
    const Endpoint *E = Core_.endpoints().find(O.Endpoint_);
    check(E != nullptr && !E->IsDraining_,
          "attempts begin at listed endpoints");
    unsigned Running = 0;
    std::set<EndpointId> RanAt{O.Endpoint_};
    for (AttemptNumber Each : R.Runs_) {
      const Run &T = Runs_.at(Each);
      Running += T.IsOver_ ? 0 : 1;
      check(T.IsOver_ || Now_ - R.LastByteAt_ >= R.silence(),
            "a second attempt begins beside a silent one only");
      check(T.IsOver_ || T.Endpoint_ != O.Endpoint_,
            "attempts side by side are at different endpoints");
      check(R.Repeat_ != Repeat::Never || (T.IsOver_ && T.NotRun_),
            "what may run once is repeated only if it did not run");
      if (!T.NotRun_ && !T.HasRestarted_)
        RanAt.insert(T.Endpoint_);
    }
    check(Running < 2, "at most two attempts run side by side");
    check(RanAt.size() <= R.MaxAttempts_, "max_attempts bounds the endpoints");
    Run T;
    T.Call_ = O.Call_;
    T.Endpoint_ = O.Endpoint_;
    T.Born_ = E->Born_;
    prepareAnswer(T, R, A, O);
    Runs_[A] = T;
    R.Runs_.push_back(A);
    Running_.push_back(A);
    checkBudget(R.Service_);
    // A kept connection may turn out to be reset by the first write.
    if (chance(1))
      fail(A, false);
  }

  void cancelAttempt(AttemptNumber A) override {
    Run &T = Runs_.at(A);
    check(!T.IsOver_, "an attempt ends once");
    check(mayCancel(A, T), "a running attempt is not given up without proof");
    end(A);
  }

  AskResult askPlace(AttemptNumber A, const std::string &,
                     const PlaceDemand &) override {
    return ask(A);
  }
  AskResult askLimit(AttemptNumber A, const std::string &,
                     const PlaceDemand &) override {
    return ask(A);
  }

  void respond(CallNumber N, unsigned Status, const HeaderFields &,
               std::string Body) override {
    Request &R = answered(N);
    check(!R.IsStreaming_, "a started stream gets no other answer");
    check(std::any_of(R.Runs_.begin(), R.Runs_.end(),
                      [&](AttemptNumber A) {
                        const Run &T = Runs_.at(A);
                        return T.HasEnded_ && T.Status_ == Status &&
                               T.Body_ == Body;
                      }),
          "an answer is the whole answer of one attempt");
    mayFindGone(N);
  }

  void refuse(CallNumber N, const Call &, unsigned Status, Cause,
              Duration) override {
    Request &R = answered(N);
    check(!R.IsStreaming_, "a started stream is not refused");
    for (AttemptNumber A : R.Runs_)
      check(Status != 503 || Runs_.at(A).NotRun_,
            "a 503 states that the request did not run");
    mayFindGone(N);
  }

  void beginStream(CallNumber N, unsigned Status,
                   const HeaderFields &) override {
    Request &R = Requests_.at(N);
    check(!R.IsStreaming_ && R.Answers_ == 0, "a stream begins once");
    check(Status == 200, "a stream begins with its endpoint's status");
    R.IsStreaming_ = true;
    mayFindGone(N);
  }

  void writeStream(CallNumber N, std::string_view Bytes) override {
    Request &R = Requests_.at(N);
    check(R.IsStreaming_ && R.Answers_ == 0 && !R.HasLeft_,
          "events are written while the stream is open");
    R.Received_ += Bytes;
    R.LastByteAt_ = Now_;
    check(pieces(R.LastEvent_ + 1, LastPiece).starts_with(R.Received_) &&
              R.Received_.ends_with("\n\n"),
          "events are whole, once and in order");
    mayFindGone(N);
  }

  void finishStream(CallNumber N) override {
    Request &R = answered(N);
    check(R.IsStreaming_ && R.Received_ == pieces(R.LastEvent_ + 1, LastPiece),
          "a finished stream is complete");
    mayFindGone(N);
  }

  void abortStream(CallNumber N) override {
    Request &R = answered(N);
    check(R.IsStreaming_ && R.Cuts_ == 1, "a cut stream is reported");
  }

  void report(const CallReport &R) override {
    Request &Of = Requests_.at(R.Number_);
    check(++Of.Reports_ == 1, "a request is reported once");
    check(Of.OpenReports_.empty(), "all attempts have ended before the report");
  }

  void report(const AttemptReport &R) override {
    Request &Of = Requests_.at(R.Number_);
    if (R.Event_ == "begun") {
      check(Of.OpenReports_.insert(R.Ordinal_).second, "ordinals are unique");
      return;
    }
    check(Of.OpenReports_.erase(R.Ordinal_) == 1, "an attempt ends once");
    check(R.Took_ >= Duration::zero(), "attempts take time");
    check(R.SilentFor_ >= Duration::zero(),
          "nothing is received in the future");
  }

  void report(const CutReport &R) override {
    ++Requests_.at(R.Number_).Cuts_;
    check(R.SilentFor_ >= Duration::zero(),
          "nothing is received in the future");
  }

protected:
  static TrafficCore::Options
  options(unsigned AlwaysAllowed, std::map<AvailabilityZone, Region> Regions) {
    TrafficCore::Options O;
    O.Placement_.Zone_ = AvailabilityZone("z");
    O.Placement_.Regions_ = std::move(Regions);
    // Long enough for much to happen while a query is pending.
    O.AskTimeout_ = Milliseconds(150);
    O.Budget_.Ratio_ = RepeatRatio;
    O.Budget_.Share_ = RepeatShare;
    O.Budget_.AlwaysAllowed_ = AlwaysAllowed;
    // All of a run lies within one window.
    O.Budget_.Window_ = Seconds(100000);
    return O;
  }

  bool chance(unsigned Percent) { return Random_.below(100) < Percent; }

  AskResult ask(AttemptNumber A) {
    if (chance(15))
      return AskResult::NoAgent;
    if (chance(10))
      return AskResult::Connecting;
    Asks_.push_back(A);
    return AskResult::Sent;
  }

  Request &answered(CallNumber N) {
    Request &R = Requests_.at(N);
    check(!R.HasLeft_, "a caller that left gets no answer");
    check(++R.Answers_ == 1, "a request gets one answer");
    return R;
  }

  void prepareAnswer(Run &T, const Request &R, AttemptNumber A,
                     const AttemptParams &O) {
    if (!R.IsStream_ || chance(5)) {
      constexpr unsigned Statuses[] = {200, 200, 200, 404, 500, 503};
      T.Status_ = Statuses[Random_.below(std::size(Statuses))];
      T.Body_ = "the answer of attempt " + std::to_string(A);
      return;
    }
    std::uint64_t From = O.LastEvent_.empty() ? 0 : std::stoull(O.LastEvent_);
    // Some endpoints ignore the position.
    T.Body_ = pieces(chance(10) ? R.LastEvent_ + 1 : From + 1, LastPiece);
  }

  // A session finds out while it writes that its caller has left.
  void mayFindGone(CallNumber N) {
    if (!chance(2))
      return;
    Requests_.at(N).HasLeft_ = true;
    Core_.callerGone(N, Now_);
  }

  void fail(AttemptNumber A, bool NeverSent) {
    Runs_.at(A).NotRun_ = Runs_.at(A).NotRun_ || NeverSent;
    if (NeverSent)
      NeverSent_.insert(A);
    end(A);
    Core_.onFail(A, NeverSent, "reset", Now_);
  }

  void end(AttemptNumber A) {
    Runs_.at(A).IsOver_ = true;
    std::erase(Running_, A);
  }

  // What permits to end an attempt whose endpoint may be sound.
  bool mayCancel(AttemptNumber A, const Run &T) {
    const Request &R = Requests_.at(T.Call_);
    bool IsReplaced =
        Sender_ != 0 && Sender_ != A && Runs_.at(Sender_).Call_ == T.Call_;
    const Endpoint *E = Core_.endpoints().find(T.Endpoint_);
    bool HasRestarted = E != nullptr && E->Born_ > T.Born_;
    bool IsOver = Now_ >= R.Deadline_ ||
                  (R.IsStream_ && Now_ - R.LastByteAt_ > Seconds(2));
    bool IsOld = HardVersionAt_ && Now_ >= *HardVersionAt_ && !T.HasHead_;
    return R.HasLeft_ || IsReplaced || HasRestarted || IsOver || IsOld ||
           (Sender_ == A && T.HasBadHead_);
  }

  void checkBudget(const ServiceName &Service) const {
    std::size_t Noted = 0;
    std::size_t Repeats = 0;
    for (const auto &[N, R] : Requests_) {
      if (R.Service_ != Service)
        continue;
      auto Arrived =
          std::count_if(R.Runs_.begin(), R.Runs_.end(), [&](AttemptNumber A) {
            return !NeverSent_.contains(A);
          });
      Noted += R.Runs_.empty() ? 0 : 1;
      Repeats += static_cast<std::size_t>(std::max<long>(0, Arrived - 1));
    }
    check(static_cast<double>(Repeats) <=
              RepeatRatio * RepeatShare * static_cast<double>(Noted) +
                  AlwaysAllowed_,
          "repeats stay within the budget");
  }

  void checkAll() const {
    for (AttemptNumber A : Running_) {
      const Request &R = Requests_.at(Runs_.at(A).Call_);
      check(R.Answers_ == 0 && !R.HasLeft_,
            "no attempt runs on for an answered request");
    }
  }

  void checkEnd() const {
    check(Core_.open() == 0 && Running_.empty(), "every request ends");
    for (const auto &[N, R] : Requests_) {
      check(R.Answers_ == 1 || R.HasLeft_, "every request is answered");
      check(R.Reports_ == 1, "every request is reported");
    }
  }

  Random Random_;
  unsigned AlwaysAllowed_;
  TimePoint Now_ = Start;
  std::map<CallNumber, Request> Requests_;
  std::map<AttemptNumber, Run> Runs_;
  std::vector<AttemptNumber> Running_;
  std::set<AttemptNumber> NeverSent_;
  std::vector<AttemptNumber> Asks_;
  // Whose bytes are being handled; 0: none.
  AttemptNumber Sender_ = 0;
  std::optional<TimePoint> HardVersionAt_;
  TrafficCore Core_;
};

} // namespace hawthornroad::traffic_test

#endif // HAWTHORNROAD_TESTS_UNIT_TRAFFICCHECKS_H
