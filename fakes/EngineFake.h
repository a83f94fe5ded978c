// Fake of a model engine with continuous batching.
//
// Up to Capacity requests run; the others wait, ordered by priority and then by
// arrival. One timer drives the batch: each step generates the next token of
// every running request whose prefill is complete. A thousand streams therefore
// cost one timer and no thread, and the slow factor applies to all of them, as
// in a real batch. A load order aborts the running requests, because an engine
// that swaps its weights cannot continue answers of the previous ones.

#ifndef HAWTHORNROAD_FAKES_ENGINEFAKE_H
#define HAWTHORNROAD_FAKES_ENGINEFAKE_H

#include "fakes/EngineModel.h"
#include "fakes/EngineTokens.h"
#include "fakes/FakeServer.h"
#include "fakes/Lagged.h"
#include "fakes/PrefixCache.h"

#include <deque>
#include <map>
#include <vector>

namespace hawthornroad {

class EngineFake {
public:
  struct Options {
    std::size_t Capacity_ = 8;
    Duration Token_ = Milliseconds(5);
    Duration Prefill_ = Milliseconds(0);
    Duration ReportLag_ = Milliseconds(0);
    std::size_t PrefixCache_ = 0;
    EngineModel::Options Model_;
  };

  EngineFake(IoThread &Io, Options O);

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &Set);
  boost::json::object counters() const;

private:
  // One request, waiting or running.
  struct Request {
    std::string Attempt_;
    std::string RunKey_;
    Completion Completion_;
    VersionDigest Version_;
    ExchangePtr Answer_;
    std::uint64_t Next_ = 0;
    std::uint64_t Emitted_ = 0;
    TimePoint PrefillUntil_;
    bool Ended_ = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct QueueKey {
    std::uint64_t Priority_ = 0;
    std::uint64_t Arrival_ = 0;
    auto operator<=>(const QueueKey &) const = default;
  };
  struct LoadReport {
    std::size_t Running_ = 0;
    std::size_t Waiting_ = 0;
    double StepMs_ = 0;
    bool operator==(const LoadReport &) const = default;
  };

  void complete(const HttpRequest &R, const ExchangePtr &X);
  void cancel(const HttpRequest &R, const ExchangePtr &X);
  void order(const HttpRequest &R, const ExchangePtr &X);
  void answerLoad(const ExchangePtr &X);
  void answerRecord(const ExchangePtr &X);

  void admit();
  void start(const RequestPtr &R);
  void step();
  void advance(Request &R, TimePoint Now);
  void emit(Request &R);
  bool end(const std::string &Attempt);
  void unload();
  void report();
  Duration stepTime() const;

  IoThread &Io_;
  Options Options_;

  bool Silent_ = false;
  bool FailRequests_ = false;
  std::uint64_t AbortAfterTokens_ = 0;
  double SlowFactor_ = 1;

  EngineModel Model_;
  PrefixCache Prefixes_;
  Lagged<LoadReport> Reports_;
  std::map<QueueKey, RequestPtr> Waiting_;
  std::vector<RequestPtr> Running_;
  std::uint64_t Arrivals_ = 0;
  bool Stepping_ = false;
  TimePoint NextStep_;

  std::map<std::string, std::uint64_t> RunsByKey_;
  std::deque<std::pair<std::string, VersionDigest>> Answers_;
  std::uint64_t Tokens_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t Resumed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ENGINEFAKE_H
