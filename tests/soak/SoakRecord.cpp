#include "tests/soak/SoakRecord.h"

#include <algorithm>

namespace hawthornroad {

void SoakRecord::beginDisruption(const std::string &Target, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  auto &Spans = Disruptions_[Target];
  if (Spans.empty() || Spans.back().To_ != TimePoint::max())
    Spans.push_back({At});
}

void SoakRecord::endDisruption(const std::string &Target, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  auto &Spans = Disruptions_[Target];
  if (!Spans.empty() && Spans.back().To_ == TimePoint::max())
    Spans.back().To_ = At;
}

bool SoakRecord::isDisrupted(const std::string &Target, TimePoint From,
                             TimePoint To) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Disruptions_.find(Target);
  return Found != Disruptions_.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const SoakSpan &Each) {
                       return Each.From_ <= To && Each.To_ >= From;
                     });
}

std::vector<SoakSpan> SoakRecord::disruptions(const std::string &Target) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Disruptions_.find(Target);
  return Found == Disruptions_.end() ? std::vector<SoakSpan>() : Found->second;
}

bool SoakRecord::hadContact(const std::string &Entry, Duration For,
                            TimePoint From, TimePoint To) const {
  std::vector<SoakSpan> All;
  for (const std::string &Target :
       {Entry, std::string(Store), storePath(Entry)})
    for (const SoakSpan &Each : disruptions(Target))
      All.push_back(Each);
  std::sort(All.begin(), All.end(), [](const SoakSpan &A, const SoakSpan &B) {
    return A.From_ < B.From_;
  });
  TimePoint Since = From;
  for (const SoakSpan &Each : All) {
    if (std::min(Each.From_, To) >= Since + For)
      return true;
    Since = std::max(Since, Each.To_);
  }
  return Since <= To && To - Since >= For;
}

void SoakRecord::engineCrashes(const std::string &Endpoint, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  Crashes_[Endpoint].push_back(At);
}

std::vector<TimePoint> SoakRecord::engineCrashes() const {
  std::lock_guard Lock(Mutex_);
  std::vector<TimePoint> Out;
  for (const auto &[Endpoint, Times] : Crashes_)
    Out.insert(Out.end(), Times.begin(), Times.end());
  std::sort(Out.begin(), Out.end());
  return Out;
}

void SoakRecord::crashingPartBegins(TimePoint At) {
  std::lock_guard Lock(Mutex_);
  CrashingPartBegins_.push_back(At);
}

std::vector<TimePoint> SoakRecord::crashingPartBegins() const {
  std::lock_guard Lock(Mutex_);
  return CrashingPartBegins_;
}

void SoakRecord::becomesCold(const std::string &Endpoint,
                             const SoakColdSpan &S) {
  std::lock_guard Lock(Mutex_);
  ColdSpans_[Endpoint].push_back(S);
}

std::map<std::string, std::vector<SoakColdSpan>> SoakRecord::coldSpans() const {
  std::lock_guard Lock(Mutex_);
  return ColdSpans_;
}

void SoakRecord::stopSignal(const std::string &Process, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  StopSignals_[Process].push_back(At);
}

std::vector<TimePoint>
SoakRecord::stopSignals(const std::string &Process) const {
  std::lock_guard Lock(Mutex_);
  auto Found = StopSignals_.find(Process);
  return Found == StopSignals_.end() ? std::vector<TimePoint>() : Found->second;
}

std::size_t SoakRecord::beginRun(const std::string &Request,
                                 const std::string &Endpoint, TimePoint At) {
  return beginRun(Request, {.Endpoint_ = Endpoint, .From_ = At});
}

std::size_t SoakRecord::beginRun(const std::string &Request, SoakRun R) {
  std::lock_guard Lock(Mutex_);
  auto &Runs = Runs_[Request];
  Runs.push_back(std::move(R));
  return Runs.size() - 1;
}

void SoakRecord::endRun(const std::string &Request, std::size_t Run,
                        SoakRun::End End, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  SoakRun &R = Runs_.at(Request).at(Run);
  if (R.End_ != SoakRun::End::AtWork)
    return;
  R.End_ = End;
  R.To_ = At;
}

void SoakRecord::endpointEnds(const std::string &Endpoint, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  Ended_.try_emplace(Endpoint, At);
  for (auto &[Id, Runs] : Runs_)
    for (SoakRun &Each : Runs)
      if (Each.Endpoint_ == Endpoint && Each.End_ == SoakRun::End::AtWork) {
        Each.End_ = SoakRun::End::BrokenOff;
        Each.To_ = At;
      }
}

std::vector<SoakRun> SoakRecord::runs(const std::string &Request) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Runs_.find(Request);
  return Found == Runs_.end() ? std::vector<SoakRun>() : Found->second;
}

int SoakRecord::countRuns(const std::string &Request) const {
  std::vector<SoakRun> Runs = runs(Request);
  return static_cast<int>(
      std::count_if(Runs.begin(), Runs.end(), [](const SoakRun &Each) {
        return Each.End_ != SoakRun::End::Rejected;
      }));
}

int SoakRecord::countRunsAtLiving(const std::string &Request) const {
  std::vector<SoakRun> Runs = runs(Request);
  std::lock_guard Lock(Mutex_);
  return static_cast<int>(
      std::count_if(Runs.begin(), Runs.end(), [&](const SoakRun &Each) {
        auto Found = Ended_.find(Each.Endpoint_);
        bool HadEnded =
            Found != Ended_.end() && Found->second <= Runs.back().From_;
        auto Crashed = Crashes_.find(Each.Endpoint_);
        if (Crashed != Crashes_.end())
          HadEnded |=
              std::any_of(Crashed->second.begin(), Crashed->second.end(),
                          [&](TimePoint At) {
                            return At >= Each.From_ && At <= Runs.back().From_;
                          });
        return Each.End_ != SoakRun::End::Rejected && !HadEnded;
      }));
}

} // namespace hawthornroad
