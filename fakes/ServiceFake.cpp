#include "fakes/ServiceFake.h"

namespace hawthornroad {

void ServiceFake::handle(const HttpRequest &R, const ExchangePtr &X) {
  if (FailRequests_)
    return respondError(X, 500, "failed by a fault before it ran");
  if (RetryAfter_ >= 0) {
    HttpHeaders Headers = statements();
    Headers.push_back({"Retry-After", std::to_string(RetryAfter_)});
    return respondJson(X, 503, {{"error", "at rest by a fault"}}, Headers);
  }
  std::uint64_t Run = countRun(R);
  if (AbortDuringCall_)
    return Io_.after(Work_ / 2, [X] { X->abort(); });
  boost::json::object Body = {{"service", Options_.Name_},
                              {"method", R.Method_},
                              {"path", std::string(targetPath(R.Target_))},
                              {"run", Run},
                              {"echo", R.Body_}};
  Io_.after(Work_, [this, X, Body = std::move(Body)] {
    respondJson(X, 200, Body, statements());
  });
}

HttpHeaders ServiceFake::statements() const {
  HttpHeaders Out;
  if (RateLimit_ >= 0)
    Out.push_back({"Server-Limit", std::to_string(RateLimit_)});
  if (IsLeaving_)
    Out.push_back({"Server-Leaving", "1"});
  return Out;
}

std::uint64_t ServiceFake::countRun(const HttpRequest &R) {
  ++Total_;
  auto Key = findHeader(R.Headers_, "Idempotency-Key");
  if (!Key)
    Key = findHeader(R.Headers_, "Test-Run");
  return Key ? ++RunsByKey_[*Key] : Total_;
}

void ServiceFake::setFaults(const Faults &Set) {
  Work_ = Milliseconds(Set.integer(
      "work_ms",
      std::chrono::duration_cast<Milliseconds>(Options_.Work_).count()));
  FailRequests_ = Set.flag("fail_requests");
  AbortDuringCall_ = Set.flag("die_during");
  RateLimit_ = Set.number("rate_limit", -1);
  RetryAfter_ = Set.number("retry_after", -1);
  IsLeaving_ = Set.flag("leaving");
}

boost::json::object ServiceFake::counters() const {
  boost::json::object Runs;
  for (const auto &[Key, Count] : RunsByKey_)
    Runs[Key] = Count;
  return {{"runs", std::move(Runs)}, {"total", Total_}};
}

} // namespace hawthornroad
