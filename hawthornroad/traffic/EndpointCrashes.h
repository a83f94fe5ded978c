// Tells the end of an endpoint from a lost connection, and which requests it
// was answering then.
//
//   EndpointCrashes C;
//   C.noteLost(Use, Call.Parts_, LossEvidence::Strong, Now);
//   C.noteEnd(Start, EndProof::Refuses, Now);
//   C.noteAlive(Start, BegunAt);            // it answers a later attempt
//   for (const EndpointCrash &Each : C.take(Now)) ...
//
// A connection is lost for many reasons: the network resets it, an endpoint
// breaks off one answer, a load of weights cuts what runs. Only an endpoint
// that is found to have ended within ConfirmWithin has crashed. How good the
// proof has to be depends on the loss:
//
//   the answer had just begun        its row is missing, or better
//   no head yet, or long under way   it refuses connections, or better
//   it answers a later attempt       its row shows a new start in time
//
// A process that dies takes the head with it that it has not sent, so a request
// without one may be the cause as well as one of its queue. An endpoint that
// answers after the loss may have started again before its row shows it.
//
// No I/O, no clock, no threads. At most MaxPending endpoints are remembered.

#ifndef HAWTHORNROAD_TRAFFIC_ENDPOINTCRASHES_H
#define HAWTHORNROAD_TRAFFIC_ENDPOINTCRASHES_H

#include "hawthornroad/traffic/Call.h"
#include "hawthornroad/traffic/StatedLimits.h"

#include <map>
#include <optional>
#include <vector>

namespace hawthornroad {

// How much a lost connection says about its request: Strong while the endpoint
// had just begun to answer it.
enum class LossEvidence { Weak, Strong };

// How an endpoint was found to have ended, the weakest first. An endpoint whose
// row is missing may work on.
enum class EndProof { Unlisted, Refuses, Restarted };

// A request that an endpoint had when it crashed.
struct EndpointCrash {
  EndpointStart Endpoint_;
  // When its connection was lost.
  TimePoint At_;
  std::vector<PromptPart> Parts_;
  // The endpoint has ended for certain; otherwise its row is missing.
  bool IsCertain_ = false;
  bool operator==(const EndpointCrash &) const = default;
};

class EndpointCrashes {
public:
  static constexpr std::size_t MaxPending = 1024;
  static constexpr Duration ConfirmWithin = Seconds(10);
  // An endpoint's row shows a new start by then.
  static constexpr Duration ListedWithin = Seconds(3);

  void noteLost(const EndpointUse &U, const std::vector<PromptPart> &Parts,
                LossEvidence L, TimePoint Now);
  void noteEnd(const EndpointStart &E, EndProof P, TimePoint Now);
  // The endpoint answers an attempt that was begun at BegunAt.
  void noteAlive(const EndpointStart &E, TimePoint BegunAt);
  // Endpoints with lost connections that are not known to have started again.
  std::vector<EndpointUse> unconfirmed() const;
  // What has been confirmed since the last call.
  std::vector<EndpointCrash> take(TimePoint Now);

private:
  struct Loss {
    EndpointCrash Crash_;
    // The weakest proof that suffices.
    EndProof Needed_ = EndProof::Unlisted;
  };
  struct Pending {
    std::string Address_;
    std::vector<Loss> Lost_;
    // The best so far.
    std::optional<EndProof> Proof_;
    TimePoint ChangedAt_;
  };
  Pending *pending(const EndpointStart &E, TimePoint Now);

  std::map<EndpointStart, Pending> Pending_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_ENDPOINTCRASHES_H
