// Runs attempts at the VM's model engine or plain service over HTTP.
//
//   EndpointClient Endpoint(Setup, Io, Client, Loop, Metrics, {
//       .OnHead_ = [&](HeadReceived E, TimePoint Now) {...},
//       .OnData_ = [&](DataReceived E, TimePoint Now) {...},
//       .OnEnded_ = [&](RunEnded E, TimePoint Now) {...}});
//   Endpoint.start({.Attempt_ = Id, .IsModel_ = true, .Request_ = R});
//   Endpoint.pause(Id); Endpoint.resume(Id);
//   Endpoint.release(Id, Offset);   // the body's bytes before Offset are freed
//   Endpoint.stop(Id);      // closes, and tells the engine to cancel
//
// All methods and callbacks run inside the DecisionLoop; sockets live on Io.
// Each run ends in exactly one OnEnded_, unless it is stopped. When the loop's
// ring is full, the run's events wait here in order and reading pauses, so a
// busy loop costs time and no byte.
// Each run stops reading by itself at Setup::Window_ bytes not yet released:
// pause() is said on the loop and can reach the reading thread late, when a
// fast endpoint has filled the memory already.
// An engine goes on generating for a connection that is gone until its next
// write, or for good when the path is silent; so a run broken off at this side
// is followed by POST /admin/cancel.

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

// One call as it goes to the endpoint.
struct EndpointCall {
  AttemptId Attempt_;
  bool IsModel_ = false;
  Priority Priority_ = Priority::Normal;
  // Stream events the caller already has; the engine begins after them.
  std::uint64_t ResumeEvents_ = 0;
  std::string IdempotencyKey_;
  HttpRequest Request_;
};

// The request as the endpoint gets it: without headers that belong to one
// connection or that a caller could forge, and with those of
// docs/STANDINS.md.
HttpRequest endpointRequest(const EndpointCall &Call);
// The answer's headers without those that belong to one connection.
std::vector<AnswerHeader> answerHeaders(const HttpHeaders &Headers);

class EndpointClient {
public:
  struct Setup {
    std::string Address_;
    // Longest silence within one run.
    Duration Idle_ = Seconds(30);
    // Most bytes of one answer read and not released; at most one read of
    // HttpCall comes on top.
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
