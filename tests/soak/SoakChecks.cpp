#include "tests/soak/SoakChecks.h"

#include "tests/integration/PlatformFixture.h"

#include <sstream>

namespace hawthornroad {

namespace {
// Time after a configuration's effect was first observed at a process, from
// which every request there must observe it. Operators are given this bound.
constexpr Duration RollbackSlack = Milliseconds(250);
constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
// Attempts that one repeatable request may take.
constexpr int MaxAttempts = 2;

bool impliesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}
} // namespace

void SoakChecks::add(const SoakRequest &R, const std::string &What) {
  Violations_.push_back(R.Id_ + " at " + R.Process_ + ": " + What);
}

void SoakChecks::violation(const std::string &What) {
  std::lock_guard Lock(Mutex_);
  Violations_.push_back(What);
}

void SoakChecks::sent(const SoakRequest &R) {
  std::lock_guard Lock(Mutex_);
  Requests_[R.Id_] = R;
}

void SoakChecks::keyRemoved(const std::string &Key, TimePoint At) {
  std::lock_guard Lock(Mutex_);
  Removed_[Key] = At;
}

void SoakChecks::answered(const std::string &Id, const SoakAnswer &A) {
  std::lock_guard Lock(Mutex_);
  const SoakRequest &R = Requests_.at(Id);
  Answers_[Id] = A;
  ++Statuses_[A.Status_];
  if (A.Status_ == Ok)
    R.Kind_ == SoakKind::Stream ? checkStream(R, A) : checkPlainAnswer(R, A);
  checkNoRollback(R, A);
}

void SoakChecks::checkPlainAnswer(const SoakRequest &R, const SoakAnswer &A) {
  if (A.EchoedId_ != R.Id_)
    add(R, "the answer is that of " + A.EchoedId_);
  // Both the body and the stamp header name the endpoint that answered.
  if (!A.Stamp_.starts_with("stamp-") ||
      A.Body_ != "from " + A.Stamp_.substr(6))
    add(R, "signature \"" + A.Stamp_ + "\" with body \"" + A.Body_ + "\"");
}

void SoakChecks::checkStream(const SoakRequest &R, const SoakAnswer &A) {
  std::string Expected;
  for (int I = 1; I <= PlatformFixture::Events; ++I)
    Expected +=
        "id: " + std::to_string(I) + "\ndata: e" + std::to_string(I) + "\n\n";
  if (A.Body_ != Expected)
    add(R, "a stream that ends as complete has other events: " + A.Body_);
}

void SoakChecks::checkNoRollback(const SoakRequest &R, const SoakAnswer &A) {
  if (R.RouteSince_ == 0)
    return;
  auto &[Newest, Since] = NewestRoutes_[R.Process_];
  if (A.Status_ == NotFound) {
    bool IsRolledBack =
        Newest >= R.RouteSince_ && R.SentAt_ >= Since + RollbackSlack;
    if (IsRolledBack)
      add(R, "route of configuration " + std::to_string(R.RouteSince_) +
                 " is gone, " + std::to_string(Newest) + " was in force");
  } else if (A.Status_ == Ok && R.RouteSince_ > Newest) {
    Newest = R.RouteSince_;
    Since = A.At_;
  }
}

void SoakChecks::checkRuns(const SoakRequest &R, int Runs) {
  int MaxRuns = R.Kind_ == SoakKind::Once ? 1 : MaxAttempts;
  if (Runs > MaxRuns)
    add(R, "ran " + std::to_string(Runs) + " times");
  auto Answer = Answers_.find(R.Id_);
  if (Answer != Answers_.end()) {
    unsigned Status = Answer->second.Status_;
    if (R.Kind_ != SoakKind::Safe && impliesNotRun(Status) && Runs > 0)
      add(R, "was answered " + std::to_string(Status) + " and ran");
    if (Status == Ok && Runs == 0)
      add(R, "was answered 200 and never ran");
  }
  auto Removed = Removed_.find(R.Key_);
  if (Removed != Removed_.end() && Runs > 0 &&
      R.SentAt_ > Removed->second + RevokeBound_)
    add(R, "ran with a key removed " +
               std::to_string((R.SentAt_ - Removed->second) / Milliseconds(1)) +
               " ms before it was sent");
}

void SoakChecks::finish(const std::function<int(const std::string &)> &Runs) {
  std::lock_guard Lock(Mutex_);
  for (const auto &[Id, R] : Requests_)
    checkRuns(R, Runs(Id));
}

std::vector<std::string> SoakChecks::violations() const {
  std::lock_guard Lock(Mutex_);
  return Violations_;
}

std::string SoakChecks::summary() const {
  std::lock_guard Lock(Mutex_);
  std::ostringstream Out;
  Out << Requests_.size() << " requests, " << Answers_.size() << " answers (";
  for (const auto &[Status, Count] : Statuses_)
    Out << ' ' << Status << ':' << Count;
  Out << " ), " << Violations_.size() << " violations";
  return Out.str();
}

} // namespace hawthornroad
