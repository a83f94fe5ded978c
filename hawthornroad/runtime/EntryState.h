// Internal state of EntryProcess, shared by its two source files:
// EntryProcess.cpp (threads, listeners, input) and EntryActions.cpp (output).
// No other file includes it.

#ifndef HAWTHORNROAD_RUNTIME_ENTRYSTATE_H
#define HAWTHORNROAD_RUNTIME_ENTRYSTATE_H

#include "hawthornroad/routing/ClaimCore.h"
#include "hawthornroad/routing/RequestCore.h"
#include "hawthornroad/runtime/Admin.h"
#include "hawthornroad/runtime/CallerApi.h"
#include "hawthornroad/runtime/ClaimTable.h"
#include "hawthornroad/runtime/ControlPlane.h"
#include "hawthornroad/runtime/EntryProcess.h"
#include "hawthornroad/runtime/RequestReport.h"

#include <atomic>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

// Ring capacity of each thread: tasks or closures that can be queued.
constexpr std::size_t EntryRingCapacity = 32768;

// Nanoseconds since the epoch.
Incarnation startTime();
// Ids must differ between processes, and between restarts of one process, even
// when a test fixes the seed.
std::uint64_t idSeed();

struct EntryProcess::State {
  explicit State(EntrySettings Settings);
  ~State();

  void listen();
  PeerNet::Callbacks netCallbacks();
  ControlPlane::Callbacks controlCallbacks();
  AdminServer::Hooks adminHooks();

  // Called on the callers' thread.
  void onCall(HttpRequest R, std::shared_ptr<HttpExchange> X);
  // Called on the peers' thread.
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  void onLost(const PeerContext &From, const Error &E);

  // Called inside the loop.
  void acceptRequest(CallerRequest R, std::shared_ptr<HttpExchange> X,
                     TimePoint Now);
  void handleFrame(const PeerContext &From, const wire::FrameT &Frame,
                   TimePoint Now);
  void tick(TimePoint Now);
  void run(const RequestCore::Actions &Actions, TimePoint Now);
  void run(const ClaimCore::Actions &Actions, TimePoint Now);
  void perform(const BeginAttempt &A, TimePoint Now);
  void perform(const CancelAttempt &A, TimePoint Now);
  void perform(const QueryAttempt &A, TimePoint Now);
  void perform(const AckAttempt &A, TimePoint Now);
  void perform(const RespondWhole &A, TimePoint Now);
  void perform(const RespondProblem &A, TimePoint Now);
  void perform(const StreamBegin &A, TimePoint Now);
  void perform(const StreamBytes &A, TimePoint Now);
  void perform(const StreamFinish &A, TimePoint Now);
  void perform(const StreamAbort &A, TimePoint Now);
  void perform(const StartClaim &A, TimePoint Now);
  void perform(const SettleClaim &A, TimePoint Now);
  void perform(const RequestDone &A, TimePoint Now);
  HttpExchange *exchange(RequestId Id) const;
  ResponseMetadata responseMetadata(RequestId Id,
                                    const VersionDigest &Version) const;
  std::string statusText(TimePoint Now) const;
  // Updates AllAnswered_ and AllSettled_: whether every caller has its complete
  // answer, and whether all claims are settled.
  void updateStopProgress();

  // Passes the number of entries that share the limits to admission.
  void updateLimitShare();

  EntrySettings Settings_;
  Incarnation Incarnation_ = startTime();
  Metrics Metrics_;
  ActorSystem System_;
  IoThread CallersIo_{"callers", EntryRingCapacity};
  IoThread PeersIo_{"peers", EntryRingCapacity};
  IoThread PlatformIo_{"platform", EntryRingCapacity};
  IoThread AdminIo_{"admin", 1024};
  HttpClient Platform_{PlatformIo_};

  Admission Admission_;
  Chooser Chooser_;
  RetryBudget Budget_;
  RequestCore Core_;
  ClaimCore Claims_;
  RequestReport Report_{Metrics_};

  std::unique_ptr<DecisionLoop> Loop_;
  std::unique_ptr<PeerNet> Net_;
  std::unique_ptr<ControlPlane> Control_;
  std::unique_ptr<ClaimTable> Table_;
  std::unique_ptr<HttpServer> Callers_;
  std::unique_ptr<AdminServer> Admin_;
  std::string CallersAddress_;
  std::string PeersAddress_;
  std::string AdminAddress_;

  // Accessed only inside the loop.
  std::shared_ptr<const Declaration> Declaration_;
  std::size_t LiveEntries_ = 0;
  TimePoint LimitsSharedAt_;
  std::unordered_map<RequestId, std::shared_ptr<HttpExchange>> Exchanges_;
  // Answered, but the caller has not read all bytes yet.
  std::vector<std::shared_ptr<HttpExchange>> Unread_;
  // Connection of the frame being handled; a cancel in reply to a late frame
  // goes there.
  ConnectionId CurrentConnection_ = 0;
  Random Ids_{idSeed()};

  std::atomic<bool> Ready_{false};
  // Stopping_: a planned stop has started. Draining_: the listener is closed.
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> Draining_{false};
  std::atomic<bool> AllAnswered_{false};
  std::atomic<bool> AllSettled_{false};
  // Accessed only on the peers' thread: number of the last attempt whose begin
  // frame was put on a connection.
  std::uint64_t BegunUpTo_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENTRYSTATE_H
