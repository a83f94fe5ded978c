// Every state of an agent, its engine and the pieces staged there, played
// without network until the engine serves the wanted version.

#include "hawthornroad/staging/EngineUpdater.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr Duration Tick = Milliseconds(20);
constexpr Duration FetchTime = Milliseconds(300);
constexpr Duration LoadTime = Milliseconds(300);
// The wanted version is loaded by then.
constexpr Duration Bound = Seconds(6);
constexpr std::size_t Pieces = 4;
constexpr WeightVersion Old = 1;
constexpr WeightVersion New = 2;

enum class Staged { Whole, OneSpoilt, PartLost, AllLost, OfOldVersion };
enum class Engine { ServesOld, RestartedEmpty, Loading, LostOrder };

struct State {
  // What the agent has: it has just started, or believes that all is staged,
  // with its copies or after they were freed.
  enum class Agent { JustStarted, HoldsCopy, FreedCopy } Agent_;
  Staged Staged_;
  Engine Engine_;
  // Pieces turn bad once more after they were staged again.
  bool SpoilsAgain_;
};

std::vector<State> allStates() {
  std::vector<State> Out;
  for (auto A : {State::Agent::JustStarted, State::Agent::HoldsCopy,
                 State::Agent::FreedCopy})
    for (auto P : {Staged::Whole, Staged::OneSpoilt, Staged::PartLost,
                   Staged::AllLost, Staged::OfOldVersion})
      for (auto E : {Engine::ServesOld, Engine::RestartedEmpty, Engine::Loading,
                     Engine::LostOrder})
        for (bool S : {false, true})
          Out.push_back({A, P, E, S});
  return Out;
}

// An agent that follows EngineUpdater, and its engine. A piece is known by the
// version it is of; 0 is spoilt or lost.
class StagedStatesFixture {
protected:
  void begin(const State &S) {
    Updater_ = EngineUpdater();
    Now_ = Start;
    HoldsCopy_ = S.Agent_ == State::Agent::HoldsCopy;
    SpoilsAgain_ = S.SpoilsAgain_;
    Staged_.assign(Pieces, S.Staged_ == Staged::OfOldVersion ? Old : New);
    if (S.Staged_ == Staged::OneSpoilt)
      Staged_[1] = 0;
    if (S.Staged_ == Staged::PartLost)
      Staged_[2] = Staged_[3] = 0;
    if (S.Staged_ == Staged::AllLost)
      std::fill(Staged_.begin(), Staged_.end(), 0);
    Report_ = EngineReport();
    if (S.Engine_ == Engine::ServesOld)
      Report_.Loaded_ = {"m", Old};
    FetchedAt_.reset();
    LoadedAt_.reset();
    if (S.Engine_ == Engine::Loading)
      startLoad();
    Steps_.clear();
    IsWrongLoaded_ = false;
    Updater_.setWanted({"m", New});
    Updater_.setStaged(S.Agent_ != State::Agent::JustStarted);
    Updater_.onReport(Report_, Now_);
    // The engine has forgotten an order that it had accepted.
    if (S.Engine_ == Engine::LostOrder) {
      Updater_.onOrderAnswered(EngineUpdater::OrderResult::Begun, Now_);
      Report_.Born_ = 1;
    }
  }

  void play() {
    while (!Updater_.isDone() && Now_ < Start + Bound) {
      advance();
      EngineStep S = Updater_.next(Start, TimePoint::max(), Now_);
      if (S != EngineStep::Nothing && S != EngineStep::Report)
        Steps_.push_back({S, Now_});
      perform(S);
      Now_ += Tick;
    }
  }

  struct Taken {
    EngineStep Step_;
    TimePoint At_;
  };
  // How often a step follows the same one within a second.
  std::size_t longestRepetition() const {
    std::size_t Longest = 0;
    std::size_t Run = 0;
    for (std::size_t I = 0; I < Steps_.size(); ++I) {
      bool IsSame = I > 0 && Steps_[I].Step_ == Steps_[I - 1].Step_ &&
                    Steps_[I].At_ - Steps_[I - 1].At_ < Seconds(1);
      Run = IsSame ? Run + 1 : 1;
      Longest = std::max(Longest, Run);
    }
    return Longest;
  }

  EngineUpdater Updater_;
  TimePoint Now_ = Start;
  std::vector<Taken> Steps_;
  bool IsWrongLoaded_ = false;

private:
  void startLoad() {
    LoadedAt_ = Now_ + LoadTime;
    Report_.IsBusy_ = true;
    ++Report_.Orders_;
  }
  void advance() {
    if (LoadedAt_ && Now_ >= *LoadedAt_) {
      LoadedAt_.reset();
      Report_.IsBusy_ = false;
      bool IsWhole = std::count(Staged_.begin(), Staged_.end(), New) == Pieces;
      Report_.Loaded_ = {"m", IsWhole ? New : 0};
    }
    if (FetchedAt_ && Now_ >= *FetchedAt_) {
      FetchedAt_.reset();
      HoldsCopy_ = true;
      Updater_.setStaged(true);
    }
  }
  void perform(EngineStep S) {
    if (S == EngineStep::Report)
      Updater_.onReport(Report_, Now_);
    if (S == EngineStep::Close)
      Updater_.onClosed(Now_);
    if (S == EngineStep::Fetch && !FetchedAt_)
      FetchedAt_ = Now_ + FetchTime;
    if (S == EngineStep::Verify)
      verify();
    if (S == EngineStep::Order)
      order();
  }
  void verify() {
    Updater_.onVerifyStarted();
    if (HoldsCopy_) {
      std::fill(Staged_.begin(), Staged_.end(), New);
      if (std::exchange(SpoilsAgain_, false))
        Staged_[0] = 0;
    }
    StagedCheck C{.Pieces_ = Pieces,
                  .Right_ = static_cast<std::size_t>(
                      std::count(Staged_.begin(), Staged_.end(), New)),
                  .HoldsCopy_ = HoldsCopy_};
    Updater_.onVerified(C, Now_);
  }
  void order() {
    IsWrongLoaded_ |= std::count(Staged_.begin(), Staged_.end(), New) != Pieces;
    Updater_.onOrderSent();
    startLoad();
    Updater_.onOrderAnswered(EngineUpdater::OrderResult::Begun, Now_);
  }

  bool HoldsCopy_ = false;
  bool SpoilsAgain_ = false;
  std::vector<WeightVersion> Staged_;
  EngineReport Report_;
  std::optional<TimePoint> FetchedAt_;
  std::optional<TimePoint> LoadedAt_;
};
} // namespace

// Guards against an agent that repeats one step for ever in some state, and
// against a load of pieces that were not read back whole.
TEST_CASE_METHOD(StagedStatesFixture,
                 "engine updater, from each state of copies, staged pieces and "
                 "engine, loads the wanted version within a bound of steps",
                 "[staging]") {
  constexpr std::size_t MaxSteps = 30;
  constexpr std::size_t MaxRepetition = 20;
  std::vector<State> All = allStates();
  REQUIRE(All.size() == 120);
  for (const State &S : All) {
    CAPTURE(static_cast<int>(S.Agent_), static_cast<int>(S.Staged_),
            static_cast<int>(S.Engine_), S.SpoilsAgain_);
    begin(S);
    play();
    CHECK(Updater_.isDone());
    CHECK_FALSE(IsWrongLoaded_);
    CHECK(Steps_.size() <= MaxSteps);
    CHECK(longestRepetition() <= MaxRepetition);
  }
}

// Guards against an engine that is read at the agent's full speed while its
// pieces turn bad again and again.
TEST_CASE_METHOD(StagedStatesFixture,
                 "engine updater, whose pieces are never read back whole, "
                 "pauses longer after each verification",
                 "[staging]") {
  EngineUpdater U;
  U.setWanted({"m", New});
  U.setStaged(true);
  std::vector<TimePoint> Verified;
  for (TimePoint Now = Start; Now < Start + Seconds(40); Now += Tick) {
    EngineStep S = U.next(Start, TimePoint::max(), Now);
    if (S == EngineStep::Report)
      U.onReport(EngineReport(), Now);
    if (S != EngineStep::Verify)
      continue;
    Verified.push_back(Now);
    U.onVerifyStarted();
    U.onVerified({.Pieces_ = Pieces, .Right_ = 3, .HoldsCopy_ = true}, Now);
  }
  CHECK(Verified.size() <= 20);
  CHECK(Verified.back() - Verified[Verified.size() - 2] >= Seconds(4));
}
