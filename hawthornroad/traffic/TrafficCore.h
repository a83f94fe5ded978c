// Routes, queues, sends and answers all requests of one entry that talks to
// endpoints directly.
//
//   struct Port : TrafficPort {...};      // performs the requested actions
//   TrafficCore Core(Options, Port, Random(Seed));
//   Core.configure(Config, Now);
//   Core.endpoints().listed(Rows, Now); Core.endpointsChanged(Now);
//   Core.arrive(N, std::move(Call), Now);
//   Core.onHead(Attempt, Head, Now); Core.onBody(...); Core.onEnd(...);
//   Core.onFail(Attempt, NeverSent, Why, Now);
//   Core.callerGone(N, Now); Core.tick(Now);
//
// A request is matched with a route and a customer or refused at once; then
// sent to an endpoint or queued; then its answer is forwarded.
//
// At most once. Only two things show that an attempt did not run: the
// endpoint's statement, or that no byte of it left this process. Otherwise it
// may have run: a request that may run at most once is then answered 502 and
// never sent again; others are sent to another endpoint within their deadline,
// the route's number of attempts and the repeat budget.
//
// Complete answers. An answer other than an event stream is buffered until it
// is complete, so a broken one costs its caller only time. Events are forwarded
// as they are completed; a broken stream resumes at another endpoint after the
// last forwarded event, or is aborted visibly for the caller.
//
// Silence. An endpoint that sends nothing may be sound: its processor may be
// busy, its link slow, or this process may have had no processor itself. So
// silence ends no attempt. A second one is begun at another endpoint where the
// request may be repeated, and the one that sends the next event or a whole
// answer first is kept. Attempts end by what the connection, the endpoint or
// the list of endpoints states, when the caller leaves, or at the deadline.
//
// Places. An entry's view of an engine is outdated, and other entries send to
// it too. The agent beside the engine is therefore asked for a place before a
// request is sent; the request is sent if the place is granted, and goes to
// another engine if not. Without an answering agent, the estimated load
// decides.
//
// Rate limits. An endpoint in need states in its answers how many requests a
// second it accepts from all entries together (StatedLimits). From then on each
// request to it needs a grant of the one process that adds up what all entries
// send (LimitGrants): the agent beside an engine, one agent for each other
// endpoint. While none answers, the entry uses a small share (LimitShare). A
// request that is denied goes to another endpoint, or is refused at once; a
// grant that arrives after that is used by another request (Placement).
//
// Cold endpoints. Until they are warm, endpoints bear few requests a second, of
// all entries together. Each request to one that counts as cold
// (ColdEndpoints) needs a grant as well, of the same process (ColdGrants).
//
// Crashing prompts. A part of a prompt may crash each engine that begins to
// answer it. Entries find it together (CrashingParts), from the requests that
// were being answered when an engine ended (EndpointCrashes), and then refuse
// requests with it. A request with a suspected part is not repeated.
//
// Queueing. A request waits only while it is likely to begin soon. It is
// refused at once when the requests before it would take longer than its share
// of the goal, or when its goal has already passed and no place is to spare.
// The retry delay grows with the time the service has been refusing (Overload).
//
// Regions and zones. No attempt begins in a region that the request's route or
// customer does not allow by the current configuration (RequestScope), or in an
// evacuated zone (EvacuatedZones). Both are checked at each choice of an
// endpoint and again when a place is granted. Attempts in progress go on.
//
// Priorities. Where requests of a service may have different priorities, agents
// grant places to the more urgent first (PriorityGate), and requests of routes
// and customers that are served too little count as the most urgent
// (ServedShare). A less urgent request does not wait while more urgent ones are
// being refused here.
//
// No I/O, no clock, no threads. At most MaxCalls open requests. Cost: an event
// looks up one request; a tick visits all of them.

#ifndef HAWTHORNROAD_TRAFFIC_TRAFFICCORE_H
#define HAWTHORNROAD_TRAFFIC_TRAFFICCORE_H

#include "hawthornroad/routing/FairQueue.h"
#include "hawthornroad/staging/PlaceGrants.h"
#include "hawthornroad/traffic/AbandonedRepeats.h"
#include "hawthornroad/traffic/Call.h"
#include "hawthornroad/traffic/CallerAge.h"
#include "hawthornroad/traffic/ColdEndpoints.h"
#include "hawthornroad/traffic/ConfigFence.h"
#include "hawthornroad/traffic/EvacuatedZones.h"
#include "hawthornroad/traffic/EventRelay.h"
#include "hawthornroad/traffic/HealthCredits.h"
#include "hawthornroad/traffic/KeyLease.h"
#include "hawthornroad/traffic/LimitShare.h"
#include "hawthornroad/traffic/Placement.h"
#include "hawthornroad/traffic/PromptCost.h"
#include "hawthornroad/traffic/RepeatBudget.h"
#include "hawthornroad/traffic/StatedLimits.h"
#include "hawthornroad/traffic/TrafficPort.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

namespace hawthornroad {

class TrafficCore {
public:
  struct Options {
    Placement::Options Placement_;
    RepeatBudget::Options Budget_;
    // Acceptance of keys, see KeyLease.
    Duration RevokeBound_ = Seconds(5);
    Duration RevokeMargin_ = Milliseconds(700);
    // Use of the configuration, see ConfigFence.
    ConfigFence::Options Fence_;
    std::size_t MaxCalls_ = 2000;
    // Share of the goal that a request may spend in the queue. A place becomes
    // free about every tenth of a second for each entry, so this is long enough
    // to get one and short enough to be answered in time.
    double LineShare_ = 0.15;
    Duration LineLeast_ = Milliseconds(50);
    // Queued requests share places by customer.
    bool FairByCustomer_ = true;
    // Requests of which this share of the goal had passed before arrival cannot
    // be answered in time any more: they only take places that others leave,
    // and do not wait. Otherwise a lasting overload answers half of its callers
    // in time and a quarter late, where it can answer three quarters in time.
    bool LateGoBehind_ = true;
    double LateShare_ = 0.5;
    // Agents are asked for places at engines, see PlaceGrants.
    bool AsksForPlaces_ = true;
    // Engines that are asked for one request before it is queued. With one
    // engine in four free, three of four requests find it within four queries.
    unsigned MaxAsks_ = 4;
    // An agent answers within one round trip and one query to its engine, five
    // milliseconds between regions. One that does not is partitioned or
    // stopped, or new weights saturate its link: waiting for it costs a request
    // more than a better choice gains.
    Duration AskTimeout_ = Milliseconds(20);
    // How long an endpoint with a rate limit is left out when its granter does
    // not answer within AskTimeout_.
    Duration LimitRetry_ = Milliseconds(500);
    HealthCredits::Options Credits_;
    // An endpoint's health check answers at once unless its machine is
    // suspended.
    Duration HealthTimeout_ = Milliseconds(100);
    // Requests that may wait for one health answer.
    std::size_t MaxHealthWaiters_ = 4;
    LimitShare::Options Share_;
    ColdEndpoints::Options Cold_;
    // How long an endpoint is left out for this entry's own share of its limit
    // before a granter is looked for again.
    Duration MaxShareHold_ = Seconds(5);
    // An endpoint that asks for a longer rest gets this one.
    Duration MaxRest_ = Seconds(300);
    // Deadline when the caller states none.
    Duration DefaultTimeLeft_ = Seconds(30);
    // For an event stream without a byte for this long, before and after its
    // first event, another endpoint is looked for. A pass of a loaded engine
    // takes up to a few hundred milliseconds; callers leave a stream after two
    // seconds.
    Duration FirstEventSilence_ = Milliseconds(1500);
    Duration NextEventSilence_ = Milliseconds(900);
    // How often a replacement is looked for while an attempt is silent.
    Duration ReplacementRetry_ = Milliseconds(200);
    // A longer time without a tick is a pause of this process; what is beyond
    // does not count as time in which others are silent.
    Duration MinPause_ = Milliseconds(100);
    // Callers leave a stream after a gap of the longest of this, four times the
    // goal and eight times the longest allowed gap. Some leave undetectably, so
    // their requests are ended here after the same time.
    Duration CallerLeaves_ = Seconds(2);
    // Callers measure the gap from when an event reaches them. Their close is
    // awaited for this long before their requests are ended here.
    Duration CallerCloseMargin_ = Milliseconds(300);
    // Share of a repeatable request's time after which another endpoint is
    // looked for besides a silent one.
    double SilenceShare_ = 0.35;
    // An attempt is not begun when less time is left than its endpoint's usual
    // time to the first byte, capped at this value: it would reach the endpoint
    // after its caller has left.
    Duration MaxFirstByteAllowance_ = Milliseconds(300);
    // Largest answer that is not a stream, in bytes. Such an answer is held
    // whole, and while it is handed to its caller up to three times, which this
    // keeps to a sixth of a VM of 160 MB. Answers of plain services have a few
    // KB.
    std::size_t MaxAnswer_ = 8 * 1024 * 1024;
    // A refusal's body is only read so that the connection can be used again,
    // which is not worth more bytes than this.
    std::size_t MaxRefusal_ = 64 * 1024;
    CrashingParts::Options Parts_;
    // How long after its first configuration a process refuses prompts while it
    // awaits what others know of their parts.
    Duration PartsWait_ = Milliseconds(1500);
    // An endpoint that a request crashes ends this soon after the head of its
    // answer; what ends later does not show when it became sound.
    Duration CrashDelay_ = Milliseconds(300);
    // An answer that has been written for this long hardly crashes its engine.
    Duration LongAnswer_ = Seconds(1);
  };

  TrafficCore(Options O, TrafficPort &Port, Random R);
  ~TrafficCore();
  TrafficCore(const TrafficCore &) = delete;
  TrafficCore &operator=(const TrafficCore &) = delete;

  // Ignores a configuration older than the current one; returns false then.
  bool configure(SharedConfig C, TimePoint Now);
  const SharedConfig &config() const { return Config_; }
  EndpointSet &endpoints() { return Endpoints_; }
  void endpointsChanged(TimePoint Now);
  // An agent's report on its engine.
  void engineUpdated(const std::string &Address, bool IsAway, WeightVersion V,
                     std::optional<EndpointLoad> Load, TimePoint Now);
  // Nothing is sent to endpoints of these zones until they are restored.
  // Attempts in progress there go on.
  void evacuateZones(const std::set<AvailabilityZone> &Zones, TimePoint Now);
  void restoreZones(const std::set<AvailabilityZone> &Zones, TimePoint Now);
  const EvacuatedZones &evacuations() const { return Evacuated_; }
  // At least this many entries take requests.
  void noteEntries(unsigned Count) {
    Budget_.noteProcesses(Count);
    Credits_.noteEntries(Count);
  }
  // Everything that the store had accepted as of AsOf is known.
  void prove(TimePoint AsOf, TimePoint Now);
  // The store answered this process, or the one it follows, at that time.
  void reached(TimePoint At) { Fence_.reached(At); }
  KeyLease &lease() { return Lease_; }
  const ConfigFence &fence() const { return Fence_; }
  const Placement &placement() const { return Placement_; }
  const StatedLimits &limits() const { return Limits_; }
  const ColdEndpoints &coldEndpoints() const { return Cold_; }
  const RepeatBudget &repeats() const { return Budget_; }
  // From At on, no request is sent to an engine with a version of Model below
  // V; a request that waits at such an engine at Hard is withdrawn. True when V
  // is new; a repeated announcement keeps the first times.
  bool requireVersion(const std::string &Model, WeightVersion V, TimePoint At,
                      TimePoint Hard);

  // The same when another process heard of V before the times assumed here, or
  // when V was superseded before this process started: a process that has just
  // started cannot tell. False for V newer than those known, and if unchanged.
  bool correctVersion(const std::string &Model, WeightVersion V, TimePoint At,
                      TimePoint Hard);

  // N is chosen by the caller, and unique: answers may arrive before this
  // returns.
  void arrive(CallNumber N, Call C, TimePoint Now);
  void callerGone(CallNumber N, TimePoint Now);
  void onPlaceReply(AttemptNumber A, const PlaceReply &W, TimePoint Now);
  // The answer to TrafficPort::checkHealth(), or that none arrived.
  void onHealth(AttemptNumber A, const EndpointHead &H, TimePoint Now);
  void onHealthFailed(AttemptNumber A, TimePoint Now);
  void onHead(AttemptNumber A, EndpointHead H, TimePoint Now);
  void onBody(AttemptNumber A, std::string Bytes, TimePoint Now);
  // IsFramed: a length or a last chunk marked the answer's end, not the end of
  // the connection.
  void onEnd(AttemptNumber A, TimePoint Now, bool IsFramed = true);
  void onFail(AttemptNumber A, bool NeverSent, const std::string &Why,
              TimePoint Now);
  // The endpoint refuses connections.
  void endpointRefused(const EndpointId &Id, TimePoint Now);
  // The port stopped reading the attempt's answer, or goes on: meanwhile its
  // endpoint does not count as silent, and its caller has not left.
  void onPaused(AttemptNumber A, bool IsPaused, TimePoint Now);
  // Refuses new requests that have a body.
  void refuseBodies(bool Refuse) { RefusesBodies_ = Refuse; }
  // Ends a request for which too much is held: its caller gets an answer
  // unless one has begun.
  void endForBuffers(CallNumber N, TimePoint Now);
  // Bytes of requests and answers held for one request, and for all.
  std::size_t heldBytes(CallNumber N) const;
  std::size_t heldBytes() const;
  // Answers whose connections were lost.
  struct LostAnswers {
    std::uint64_t BeforeHead_ = 0;
    std::uint64_t AfterHead_ = 0;
    bool operator==(const LostAnswers &) const = default;
  };
  const LostAnswers &lostAnswers() const { return LostAnswers_; }
  // What other processes know of prompt parts.
  void mergeParts(const std::vector<PartEvidence> &Parts, TimePoint Now);
  // Another process has found that these endpoints have ended.
  void noteEnded(const std::vector<EndpointStart> &Ended, TimePoint Now);
  const CrashingParts &parts() const { return Parts_; }
  // What others know of prompt parts has yet to be read. Until partsRead(), or
  // PartsWait_ after the first configuration, requests with such parts are
  // refused.
  void awaitParts() { AwaitsParts_ = true; }
  void partsRead() { AwaitsParts_ = false; }
  bool awaitsParts(TimePoint Now) const {
    return AwaitsParts_ &&
           (!ConfiguredAt_ || Now < *ConfiguredAt_ + Options_.PartsWait_);
  }
  void tick(TimePoint Now);
  // A planned stop of the process.
  struct StopTimes {
    // New requests are refused from then on.
    TimePoint RefusesFrom_;
    // What is open then gets endAll(); attempts that could not be answered
    // before it do not begin.
    TimePoint EndsAt_;
    bool operator==(const StopTimes &) const = default;
  };
  void stop(StopTimes S) { Stop_ = S; }
  // Ends every open request, since the process is about to end: with an answer
  // unless one has begun.
  void endAll(TimePoint Now);
  std::size_t open() const { return Calls_.size(); }

private:
  struct Attempt;
  struct Record;
  struct ServiceQueue;
  // Held by each event. The port may report an event from within an action, so
  // closed requests are erased only when the outermost event ends.
  class Event {
  public:
    explicit Event(TrafficCore &C) : Core_(C) { ++Core_.Events_; }
    ~Event() {
      if (--Core_.Events_ == 0)
        Core_.eraseClosed();
    }
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

  private:
    TrafficCore &Core_;
  };
  // A query for a place or a grant.
  struct Ask {
    EndpointStart Endpoint_;
    TimePoint SentAt_;
    // The same, not counting pauses of this process.
    TimePoint AskedAt_;
    bool IsOnlyLimit_ = false;
    // It stated a limit of a cold endpoint, so its grant is counted as such.
    bool StatesCold_ = false;
  };

  // A health check in progress, and the asks of the requests that wait for it.
  struct HealthCheck {
    AttemptNumber Number_ = 0;
    EndpointStart Endpoint_;
    double Arrivals_ = 0;
    TimePoint SentAt_;
    std::vector<AttemptNumber> Waiters_;
  };

  Record *find(AttemptNumber A);
  // Sets route and customer; false when the call was refused instead.
  bool classify(Record &R, TimePoint Now);
  // Sets the customer whose key the request carries; false if it was refused
  // for lack of a valid key, or of proof that keys are current.
  bool identifyCustomer(Record &R, TimePoint Now);
  // Refuses what is not declared, or reports that the configuration is behind.
  void deny(Record &R, unsigned Status, Cause Why, TimePoint Now);
  // Counts a request whose priority may differ from others' of its service.
  void notePriority(Record &R, TimePoint Now);
  // Its priority among queries for places; 0 where priorities do not differ.
  static int askRank(const Record &R);
  // Whether R must not wait because more urgent requests are being refused.
  bool mustYield(const Record &R, TimePoint Now) const;
  // Whether queued requests come before R.
  bool othersWait(const Record &R) const;
  // Whether the caller's goal can no longer be met.
  bool isLate(Record &R, TimePoint Now);
  void place(Record &R, TimePoint Now);
  // Begins an attempt or asks for its place; false when no endpoint has one.
  bool tryBegin(Record &R, TimePoint Now);
  // The regions in which attempts of R may begin now.
  const RegionScope &scopeOf(Record &R) const;
  // The endpoints that R may be sent to now, those included that were tried.
  // Valid until R or the configuration changes.
  Placement::Query queryFor(Record &R, TimePoint Now) const;
  // Refuses R when no endpoint may run it.
  bool refuseUnplaceable(Record &R, TimePoint Now);
  // Whether R may have to be refused while it is queued.
  bool mayBecomeUnplaceable(Record &R) const;
  // Whether no request that waits for R's service says that R finds no place.
  bool hasOwnRegions(Record &R);
  // Called before anything is sent to endpoints of these zones again.
  void zonesRestored(const std::set<AvailabilityZone> &Zones, TimePoint Now);
  std::size_t endpointsIn(const AvailabilityZone &Zone) const;
  // The endpoint that R would be sent to now.
  std::optional<EndpointId> chooseFor(Record &R, TimePoint Now);
  bool begin(Record &R, const Endpoint &E, TimePoint Now);
  // Asks the endpoint's agent for a place, or its granter for a request under
  // its limit.
  AskResult ask(Record &R, const Endpoint &E, bool IsOnlyLimit, TimePoint Now);
  PlaceDemand placeDemand(const Record &R, const Endpoint &E,
                          TimePoint Now) const;
  // Whether a request to the endpoint needs a grant: by its stated rate limit,
  // or since it counts as cold.
  bool needsGrant(const Endpoint &E, TimePoint Now) const;
  // Whether the endpoint may have become cold unnoticed: nothing is sent to it
  // until a health answer says otherwise.
  bool needsHealthCheck(const Endpoint &E, TimePoint Now) const;
  // NoAnswers: the endpoint gives none, and requests are sent without.
  enum class HealthWait { Waits, Full, NoAnswers };
  // Has R wait for a health answer of the endpoint.
  HealthWait awaitHealthCheck(Record &R, const Endpoint &E, TimePoint Now);
  // The check in progress, or a new one; null when there is none.
  HealthCheck *checkHealth(const Endpoint &E, TimePoint Now);
  // Asks for the next answer before requests have to wait for it.
  void renewCredits(const Endpoint &E, TimePoint Now);
  std::optional<HealthCheck> takeHealthCheck(AttemptNumber A);
  // Silent: it did not answer, or another process did. Rejected: it had no room
  // for the check, which says nothing of it being warm.
  enum class HealthState { Warm, Cold, Rejected, Silent };
  static HealthState healthState(const EndpointHead &H, const EndpointId &Of);
  void endHealthCheck(const HealthCheck &H, HealthState State, TimePoint Now);
  // Goes on with a request whose endpoint was found warm, or was not.
  void resume(Record &R, bool IsWarm, TimePoint Now);
  void endSilentChecks(TimePoint Now);
  // Takes this entry's own share of the limits; false when it is used up.
  bool takeShare(const Endpoint &E, TimePoint Now);
  // An agent was heard, which may grant more than this entry's own shares.
  void releaseShares();
  // Handles a denied place or request.
  void onDenied(Record &R, const PlaceReply &W, TimePoint Now);
  void endAsk(Record &R, TimePoint Now);
  // Ends the query of a request that no longer waits for the reply.
  void abandonAsk(Record &R, TimePoint Now);
  void onLateReply(const Ask &Asked, const PlaceReply &W, TimePoint Now);
  // R was not granted the place it asked for.
  void askElsewhere(Record &R, TimePoint Now);
  void queue(Record &R, TimePoint Now);
  void unqueue(Record &R);
  void dispatchQueue(const ServiceName &Service, TimePoint Now);
  void dispatchFreed(TimePoint Now);
  void eraseClosed();
  void startAttempt(Record &R, const Endpoint &E, TimePoint Now);
  static Attempt &attemptOf(Record &R, AttemptNumber A);
  static std::optional<EventRelay> &relayOf(Record &R, Attempt &T);
  // T's answer is a stream that ended before its end.
  static bool isBrokenOff(Record &R, Attempt &T, bool IsFramed);
  void endAttempt(Record &R, Attempt &T, Placement::End E,
                  std::string_view What, const std::string &Why,
                  bool MayHaveRun, TimePoint Now);
  void cancelAttempt(Record &R, Attempt &T, const std::string &Why,
                     TimePoint Now);
  void cancelAttempts(Record &R, const std::string &Why, TimePoint Now);
  void failAttempt(Record &R, Attempt &T, const std::string &Why,
                   TimePoint Now);
  void onTurnedAway(Record &R, Attempt &T, TimePoint Now);
  // Ends T, whose endpoint sends more than may be held.
  void failOverlong(Record &R, Attempt &T, const std::string &Why,
                    TimePoint Now);
  // Bytes of an answer that is not a stream.
  void onPlainBody(Record &R, Attempt &T, std::string_view Bytes,
                   TimePoint Now);
  static std::size_t heldBy(const Record &R);
  // T never left this process, so one attempt less counts as a repeat.
  void returnRepeat(Record &R, Attempt &T);
  // T's connection was lost, or its answer ended without framing.
  void noteLost(const Record &R, const Attempt &T, TimePoint Now);
  // T's answer ended whole.
  void noteWhole(const Record &R, const Attempt &T, bool IsFramed,
                 TimePoint Now);
  void updateParts(TimePoint Now);
  void refuseBlocked(TimePoint Now);
  void refuseBlocked(Record &R, TimePoint Until, TimePoint Now);
  // Settles R's repeats once none of its attempts is on its way.
  void settleRepeats(Record &R, TimePoint Now);
  // Settles those whose arrival has become known since.
  void settleAbandoned(TimePoint Now);
  bool continueWithOther(Record &R, TimePoint Now);
  static void restoreSilent(Record &R);
  void keepOnly(Record &R, Attempt &T, TimePoint Now);
  void forward(Record &R, std::string_view Events, TimePoint Now);
  void afterFailure(Record &R, TimePoint Now);
  void afterTurnedAway(Record &R, TimePoint Now);
  void placeUnlessAsking(Record &R, TimePoint Now);
  bool mayGoElsewhere(const Record &R) const;
  void finishAnswer(Record &R, TimePoint Now);
  void refuse(Record &R, unsigned Status, Cause Why, Duration RetryAfter,
              TimePoint Now);
  // Reason: for the log, when an answer is cut by this.
  void giveUp(Record &R, Cause Why, std::string_view Reason, TimePoint Now);
  void reportCut(const Record &R, Cause Why, std::string_view Reason,
                 TimePoint Now);
  void close(Record &R, TimePoint Now);
  void checkTime(Record &R, TimePoint Now);
  bool isSilent(const Record &R, TimePoint Now) const;
  void replaceSilent(Record &R, TimePoint Now);
  // This process did not run for Gap until Now.
  void notePause(Duration Gap, TimePoint Now);
  // Ends the attempts at endpoints that have restarted since.
  void endLostAttempts(TimePoint Now);
  Duration estimatedWait(const ServiceName &Service, const Record &R) const;
  Duration retryAfter(Record &R, Cause Why, TimePoint Now);
  // When the first endpoint that R may use is no longer held back by its limit;
  // not after Now when one is not.
  TimePoint heldUntil(Record &R, TimePoint Now) const;
  // When the first endpoint that R may use is warm; not after Now when one is.
  TimePoint warmAt(Record &R, TimePoint Now) const;
  WeightVersion minVersion(const ServiceName &Service, TimePoint Now,
                           bool IsHard = false) const;
  Duration queueWaitLimit(const Route &R) const;
  Duration callerTimeout(const Route &R) const;
  // When R's caller leaves if it receives nothing more.
  TimePoint callerLeavesAt(const Record &R) const;
  // Whether an attempt that begins at E now could still reach its caller, and
  // before the end of this process.
  bool isInTime(const Record &R, const Endpoint &E, TimePoint Now) const;
  bool waitsAtOldVersion(const Record &R, const Attempt &T,
                         TimePoint Now) const;
  bool endAtOldVersion(Record &R, TimePoint Now);
  WeightVersion newestRequired(const ServiceName &Service) const;
  void noteCompletion(const ServiceName &Service, TimePoint Now);
  // What the attempt's answer states of the endpoint's rate limit.
  void noteLimit(const Attempt &T, TimePoint Now);
  // What the attempt's answer asks for: rest, or nothing more at all.
  void noteHolds(const Attempt &T, TimePoint Now);
  void noteLimit(const EndpointStart &E, const LimitStatement &S,
                 std::string_view Source, TimePoint Now);

  Options Options_;
  TrafficPort &Port_;
  Random Random_;
  SharedConfig Config_;
  // Number of configurations taken.
  std::uint64_t ConfigChanges_ = 0;
  // Whether Config_ limits regions.
  bool LimitsRegions_ = false;
  EndpointSet Endpoints_;
  EvacuatedZones Evacuated_;
  Placement Placement_;
  RepeatBudget Budget_;
  AbandonedRepeats Abandoned_;
  EndpointCrashes Crashes_;
  CrashingParts Parts_;
  bool AwaitsParts_ = false;
  std::optional<TimePoint> ConfiguredAt_;
  LostAnswers LostAnswers_;
  StatedLimits Limits_;
  LimitShare Share_;
  ColdEndpoints Cold_;
  HealthCredits Credits_;
  std::map<EndpointId, HealthCheck> HealthChecks_;
  // Endpoints left out until this entry's own share permits a request.
  std::set<EndpointId> HeldByShare_;
  KeyLease Lease_;
  ConfigFence Fence_;
  // By model: from which time on each version is the minimum.
  struct VersionRequirement {
    TimePoint At_;
    TimePoint Hard_;
  };
  std::map<std::string, std::map<WeightVersion, VersionRequirement>>
      Requirements_;
  std::unordered_map<CallNumber, std::unique_ptr<Record>> Calls_;
  std::unordered_map<AttemptNumber, CallNumber> ByAttempt_;
  // Pending place queries.
  std::unordered_map<AttemptNumber, CallNumber> Asks_;
  // Queries whose requests no longer wait for the reply.
  std::unordered_map<AttemptNumber, Ask> Unanswered_;
  std::map<ServiceName, ServiceQueue> ServiceQueues_;
  CallerAge Ages_;
  // Services at which a place may have become free.
  std::set<ServiceName> Freed_;
  std::vector<CallNumber> Closed_;
  // Events in progress, one within the other.
  unsigned Events_ = 0;
  AttemptNumber NextAttempt_ = 1;
  std::optional<TimePoint> TickedAt_;
  // The tick in progress is the first one after a pause.
  bool IsAfterPause_ = false;
  std::optional<StopTimes> Stop_;
  bool RefusesBodies_ = false;
  bool Dispatching_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_TRAFFICCORE_H
