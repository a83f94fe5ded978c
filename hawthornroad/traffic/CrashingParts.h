// Finds the part of a prompt under which endpoints crash, from what all entries
// have seen, and says which requests are refused for it.
//
//   CrashingParts P({});
//   P.noteCrash(Crash);               // an endpoint ended under a request
//   P.noteSound(Call.Parts_, At);     // a request was answered whole
//   P.merge(Evidence, Now);           // what another process has seen
//   P.tick(Now);
//   if (auto Until = P.blockedUntil(Call.Parts_, Now)) refuse();
//   for (const PartEvidence &E : P.takeChanged()) send(E);
//
// An endpoint that crashes ends all that it runs: one culprit and up to a batch
// of sound requests, which share callers and parts with many others. A part is
// a culprit's if several endpoints crashed while they answered a request with
// it and no request with it was answered whole since. What counts are distinct
// starts of endpoints, over all processes, so that one crash reported by
// several of them is one.
//
// Errors of both kinds cost. A sound part that is blocked denies its callers;
// so a part is blocked only Objection_ after its crashes sufficed, within which
// other processes can object by a whole answer that they have seen. A culprit
// that is found late costs an endpoint with its batch each time.
//
// A part that was answered whole shortly before its first crash is either a
// culprit since, or a popular part that was beside one. The popular one is
// answered whole again soon, so it is waited for longer (SoundObjection_), and
// the crashes of such a part do not count at which a blocked one was there,
// too.
//
// A block ends after a while, which doubles from one to the next; a part that
// was blocked before is blocked again by its first crash. A whole answer ends
// it at once.
//
// Load pattern: some requests a second with the part, at any entry, while the
// others go on; batches of 16 of which a popular first part is in one of three.
// No I/O, no clock, no threads. Memory: MaxParts parts, those unused for the
// longest are forgotten first, with at most MaxCrashes crashes each.

#ifndef HAWTHORNROAD_TRAFFIC_CRASHINGPARTS_H
#define HAWTHORNROAD_TRAFFIC_CRASHINGPARTS_H

#include "hawthornroad/traffic/EndpointCrashes.h"

#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornroad {

// What one process knows of a part, as it is sent to others.
struct PartEvidence {
  struct Crash {
    EndpointStart Endpoint_;
    TimePoint At_;
    bool operator==(const Crash &) const = default;
  };
  PromptPart Part_ = 0;
  // Since SoundAt_, oldest first.
  std::vector<Crash> Crashes_;
  // As of when it is known to be sound, by the last whole answer.
  std::optional<TimePoint> SoundAt_;
  struct Block {
    TimePoint At_;
    TimePoint Until_;
    bool operator==(const Block &) const = default;
  };
  std::optional<Block> Block_;
  // Blocks so far.
  unsigned Blocks_ = 0;
  bool operator==(const PartEvidence &) const = default;
};

// A change of a part's state, for the log.
struct PartEvent {
  enum class Kind { Suspected, Blocked, Cleared, Lifted };
  Kind Kind_ = Kind::Suspected;
  PartEvidence Evidence_;
};

class CrashingParts {
public:
  struct Options {
    // Starts of endpoints that crash under a part before it is blocked.
    unsigned Crashes_ = 5;
    // Requests with a part of as many crashes are not repeated: one that was
    // never answered whole, and one that was.
    unsigned SuspectCrashes_ = 2;
    unsigned SoundSuspectCrashes_ = 3;
    Duration SoundMemory_ = Seconds(60);
    // From the crash that suffices until the part is blocked; the second one if
    // it was answered whole within SoundMemory_ before its first crash.
    Duration Objection_ = Milliseconds(300);
    Duration SoundObjection_ = Milliseconds(1500);
    // An endpoint may crash again before its row shows the new start. Ends of
    // one listed start that are closer together are the same one.
    Duration SameCrash_ = Seconds(2);
    // Crashes further apart do not count together.
    Duration CrashMemory_ = Seconds(3600);
    Duration FirstBlock_ = Seconds(600);
    Duration MaxBlock_ = Seconds(24 * 3600);
    // Blocks nothing itself; takeChanged() passes on evidence of others.
    bool IsRelay_ = false;
  };
  static constexpr std::size_t MaxParts = 2048;
  static constexpr std::size_t MaxCrashes = 16;

  explicit CrashingParts(Options O) : Options_(O) {}

  void noteCrash(const EndpointCrash &C, TimePoint Now);
  // A request with these parts was answered whole, which shows that they were
  // sound at At. It says nothing of crashes after that.
  void noteSound(const std::vector<PromptPart> &Parts, TimePoint At);
  void merge(const PartEvidence &E, TimePoint Now);
  // Blocks parts and lifts blocks.
  void tick(TimePoint Now);

  // The end of the longest block among these parts.
  std::optional<TimePoint> blockedUntil(const std::vector<PromptPart> &Parts,
                                        TimePoint Now) const;
  bool isSuspect(const std::vector<PromptPart> &Parts) const;
  std::size_t blocked() const;

  // Evidence that has changed here since the last call, for other processes.
  std::vector<PartEvidence> takeChanged();
  // Of a relay: endpoints that have ended, by crashes of which takeChanged()
  // has passed on none. Another process may have lost a request there and not
  // know.
  std::vector<EndpointStart> takeEnded();
  // Null when nothing is known of it.
  const PartEvidence *find(PromptPart Part) const;
  // All evidence of crashes and blocks.
  std::vector<PartEvidence> all() const;
  std::vector<PartEvent> takeEvents() { return std::exchange(Events_, {}); }

private:
  struct Record {
    PartEvidence Evidence_;
    // When it is blocked unless somebody objects.
    std::optional<TimePoint> BlockAt_;
    // End of its last block; what was before does not count any more.
    TimePoint LiftedAt_ = TimePoint::min();
    // Others have been sent its crashes.
    bool IsShared_ = false;
    std::list<PromptPart>::iterator Used_;
  };
  Record &use(PromptPart Part);
  void evictOldest();
  void lift(Record &R, TimePoint Now);
  // MayRepeat: its endpoint may be known to have crashed before under the same
  // listed start. True when it is new.
  bool addCrash(Record &R, const PartEvidence::Crash &C, bool MayRepeat);
  void changed(const Record &R) { Changed_.insert(R.Evidence_.Part_); }
  void clear(Record &R);
  void clearUntilSound(Record &R);
  void mergeSound(Record &R, const PartEvidence &E);
  bool mergeBlock(Record &R, const PartEvidence &E, TimePoint Now);
  void judge(Record &R, TimePoint Now);
  // Parts whose time to object is over.
  std::vector<PromptPart> due(TimePoint Now) const;
  void block(Record &R, TimePoint Now);
  // Whether it was answered whole within SoundMemory_ before its first crash.
  bool wasSoundBefore(const Record &R) const;
  // Its crashes at which no blocked part was there as well.
  std::size_t unexplained(const Record &R) const;
  void report(PartEvent::Kind K, const Record &R);

  Options Options_;
  std::unordered_map<PromptPart, Record> Known_;
  // Parts that tick() looks at: blocked, or to be blocked.
  std::set<PromptPart> Active_;
  std::set<PromptPart> Changed_;
  std::set<EndpointStart> Ended_;
  // Least recently used first.
  std::list<PromptPart> Order_;
  std::vector<PartEvent> Events_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_CRASHINGPARTS_H
