// Runs attempts on the VM's model engine or plain service over HTTP.
//
//   EndpointClient Endpoint(Setup, Io, Client, Loop, Metrics, {
//       .OnHead_ = [&](HeadReceived E, TimePoint Now) {...},
//       .OnData_ = [&](DataReceived E, TimePoint Now) {...},
//       .OnEnded_ = [&](RunEnded E, TimePoint Now) {...}});
//   Endpoint.start({.Attempt_ = Id, .IsModel_ = true, .Request_ = R});
//   Endpoint.pause(Id); Endpoint.resume(Id);
//   Endpoint.release(Id, Offset);   // the body's bytes before Offset are freed
//   Endpoint.stop(Id);      // closes, and sends a cancel to the engine
//
// All methods and callbacks run on the DecisionLoop's thread; sockets are used
// on Io's thread. Each run ends in exactly one OnEnded_, unless it is stopped.
// When the loop's ring is full, the run's events are queued here in order and
// reading pauses, so a busy loop delays data but loses none.
// Each run pauses reading by itself at Setup::Window_ unreleased bytes: pause()
// is called on the loop and can reach the reading thread too late, when a fast
// endpoint has already filled the memory.
// After its connection is closed, an engine keeps generating until its next
// write, or until it is done when the path drops packets silently. A run
// aborted on this side is therefore followed by POST /admin/cancel.

#ifndef HAWTHORNROAD_RUNTIME_ENDPOINTCLIENT_H
#define HAWTHORNROAD_RUNTIME_ENDPOINTCLIENT_H

#include "hawthornroad/routing/AttemptMessages.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace hawthornroad {

// One call to the endpoint.
struct EndpointCall {
  AttemptId Attempt_;
  bool IsModel_ = false;
  Priority Priority_ = Priority::Normal;
  // Stream events that the caller already has; the engine starts after them.
  std::uint64_t ResumeEvents_ = 0;
  std::string IdempotencyKey_;
  HttpRequest Request_;
};

// The request as sent to the endpoint: without hop-by-hop headers and headers
// that a caller could forge, and with those of docs/STANDINS.md.
HttpRequest endpointRequest(const EndpointCall &Call);
// The answer's headers without hop-by-hop headers.
std::vector<AnswerHeader> answerHeaders(const HttpHeaders &Headers);

class EndpointClient {
public:
  struct Setup {
    std::string Address_;
    // Longest time without data within one run.
    Duration IdleTimeout_ = Seconds(30);
    // Maximum number of bytes of one answer that are read but not released; may
    // be exceeded by at most one read of HttpCall.
    std::uint64_t Window_ = 4 * 1024 * 1024;
  };
  struct Callbacks {
    std::function<void(HeadReceived, TimePoint)> OnHead_;
    std::function<void(DataReceived, TimePoint)> OnData_;
    std::function<void(RunEnded, TimePoint)> OnEnded_;
  };

  EndpointClient(Setup S, IoThread &Io, HttpClient &Client, DecisionLoop &Loop,
                 Metrics &M, Callbacks C);
  ~EndpointClient();
  EndpointClient(const EndpointClient &) = delete;
  EndpointClient &operator=(const EndpointClient &) = delete;

  void start(EndpointCall Call);
  void stop(const AttemptId &Attempt);
  void pause(const AttemptId &Attempt);
  void resume(const AttemptId &Attempt);
  void release(const AttemptId &Attempt, std::uint64_t Offset);

  class Run;

private:
  std::shared_ptr<Run> find(const AttemptId &Attempt) const;
  void ended(RunEnded E, TimePoint Now);

  Setup Setup_;
  IoThread &Io_;
  HttpClient &Client_;
  DecisionLoop &Loop_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  std::unordered_map<AttemptId, std::shared_ptr<Run>> Runs_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENDPOINTCLIENT_H
