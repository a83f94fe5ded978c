// Limits the repeated requests that this process sends to a service, so that
// all processes together stay within the operators' limit without coordination.
//
//   RepeatBudget B({.Ratio_ = 0.2, .Window_ = Seconds(10)});
//   B.noteProcesses(9);                    // known from others
//   B.noteRequest(Service, Now);
//   if (B.take(Service, Now)) sendAgain();
//   B.settle(Service, 1, Now);   // it has arrived
//   B.giveBack(Service);         // or: it was never sent
//   B.abandon(Service, 1);       // or: given up, and it may still arrive
//   B.settleAbandoned(Service, 1, Now);
//
// Three limits apply to each service.
//
// Tokens: a request earns Ratio * Share tokens and a repeat costs one. A
// service starts without tokens. Those saved, with the repeats whose attempts
// are running, are at most
//
//   cap(t) = Ratio * (1 - Share) * requests in [t - Window, t] + saved part.
//
// A fixed part accrues evenly with time, so a restart adds nothing. Whatever
// this process does, it sends in a window that begins at s at most
//
//   cap(s) + Ratio * Share * requests in the window + accrued part,
//
// and nothing of the first term if it started later than s. Let R(s) be the
// requests of all processes in the Window before s, and R those of the window.
// However callers are distributed, move or restart processes, all processes
// together send at most
//
//   Ratio * (1 - Share) * R(s) + Ratio * Share * R + fixed parts
//     <= Ratio * max(R(s), R) + Slack.
//
// Fixed parts: let D be the slack divided by the number of processes. Of D, a
// process saves SavedShare and accrues AccruedShare in a Window; in its first
// Window it saves and accrues StartingShare each. While the number is not known
// there is no fixed part. While processes that have just started are not
// counted yet, and are at most as many as the others, the parts sum up to
//
//   SavedShare + AccruedShare + 2 * StartingShare <= 1
//
// of Slack. They also do while a third of the processes counts only itself:
//
//   (SavedShare + AccruedShare) * (2 / 3 + 1) <= 1.
//
// Arrivals: a repeat that the network holds back may arrive in a later window
// than it was sent in. It counts until the caller knows that it has arrived or
// never will, and for one Window after that; with those, a process sends at
// most Share * Ratio repeats per request of the last Window, and the fixed
// parts. This count is lost with the process.
//
// Restarts: a process knows neither when the requests that it reads first were
// sent, nor what the one before it sent and has not arrived. So
//
// - in the Window from its first request for a service on, a request counts
//   StartingWeight. Callers wait for at most a Window, so in any window all
//   processes read at most the requests of two, and starts earn no more for
//   them than for those of one:
//
//     Ratio * Share * StartingWeight * 2 * R <= Ratio * Share * R.
//
//   A silence longer than chance extends this time.
// - at any time e, at most cap(e) and the accrued part are outstanding. If the
//   process ends at e, and these arrive in a window that begins y * Window
//   later, that window has, beside them, the cap of the new start and what it
//   earns, partly at StartingWeight:
//
//     Ratio * R * ((1 - Share) * (1 + y / 2) + Share * (1 + y) / 2)
//       <= Ratio * R  for y <= 0.85,
//
//   and SavedShare + AccruedShare + 2 * StartingShare of Slack. Repeats that
//   are held back for longer after their process has ended, or those of
//   several starts one after the other, are not in this sum.
//
// Late requests: this process counts a request when it reads it, an observer
// when its caller sends it. What a pause of this process, a lack of processor
// time or the network before it has held back is read together with what is
// sent by then. If it earned tokens then, it would add Ratio * Share * its
// number to the sum above. So requests are expected at the usual rate, the
// higher one of the last two Windows. Those that do not come are missing from
// the time at which they were expected; those beyond the usual rate count for
// missing ones of the last Window, the oldest first, and earn nothing. A
// burst, requests beyond the usual rate that none are missing for, earns
// tokens. As many as come at the usual rate in Tolerance, and at least
// MinTolerance, may come early or late, unless none came at all for so long
// that this is no chance. What these earn late, at the end of a delay, is not
// in the sum above.
//
// Memory: the counters of two Windows per service.

#ifndef HAWTHORNROAD_TRAFFIC_REPEATBUDGET_H
#define HAWTHORNROAD_TRAFFIC_REPEATBUDGET_H

#include "hawthornroad/base/Types.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace hawthornroad {

class RepeatBudget {
public:
  struct Options {
    double Ratio_ = 0.2;
    Duration Window_ = Seconds(10);
    double Share_ = 0.85;
    // Lets a process with few requests still repeat some: at most this many in
    // a Window, beyond the share of the requests.
    unsigned AlwaysAllowed_ = 5;
    // What all processes together may repeat beyond the ratio; unset: not
    // limited.
    std::optional<double> Slack_;
    // Start of this process; the earliest time: no requests were sent before
    // its first one.
    TimePoint StartedAt_ = TimePoint::min();
  };

  explicit RepeatBudget(Options O) : Options_(O) {}

  // At least this many processes share the slack.
  void noteProcesses(unsigned Count) {
    Processes_ = std::max(Processes_, Count);
  }
  void noteRequest(const ServiceName &Service, TimePoint Now);
  // Whether one more repeat may be sent.
  bool permits(const ServiceName &Service, TimePoint Now);
  // The same, and if so counts it as outstanding.
  bool take(const ServiceName &Service, TimePoint Now);
  // The attempts of this many outstanding repeats have ended: they have
  // arrived, or never will.
  void settle(const ServiceName &Service, unsigned Count, TimePoint Now);
  // An outstanding repeat never left this process.
  void giveBack(const ServiceName &Service);
  // The attempts of this many outstanding repeats were given up, and may still
  // arrive. They are outstanding until settleAbandoned().
  void abandon(const ServiceName &Service, unsigned Count);
  void settleAbandoned(const ServiceName &Service, unsigned Count,
                       TimePoint Now);
  const Options &options() const { return Options_; }

  // Totals since the start of this process, for the metrics.
  struct Usage {
    std::uint64_t Taken_ = 0;
    // Of these, beyond the share of the requests.
    std::uint64_t TakenFromFixed_ = 0;
    std::uint64_t Denied_ = 0;
    std::uint64_t GivenBack_ = 0;
    // Requests that were read late and earned no tokens.
    std::uint64_t LateRequests_ = 0;
    // Requests that may have waited for the start and earned StartingWeight.
    std::uint64_t StartingRequests_ = 0;
  };
  const std::map<ServiceName, Usage> &usage() const { return Usage_; }

  // What the budget knows of a service.
  struct Window {
    // Within the window; repeats include outstanding ones.
    unsigned Requests_ = 0;
    unsigned Repeats_ = 0;
    unsigned Outstanding_ = 0;
    // Repeats that may be sent at once.
    double Tokens_ = 0;
    // Expected requests that have not come.
    double Missing_ = 0;
    bool operator==(const Window &) const = default;
  };
  std::map<ServiceName, Window> windows(TimePoint Now) const;

private:
  // Of a Window and the slot that it begins in, and of two Windows.
  static constexpr std::size_t Slots = 20;
  static constexpr std::size_t KeptSlots = 2 * Slots;
  // Deviations from the usual rate that are no lateness: as a time, in
  // requests, and in requests that are expected while none come.
  static constexpr Duration Tolerance = Milliseconds(250);
  static constexpr double MinTolerance = 10;
  static constexpr double MinSilence = 8;
  // Weight of a request that may have waited for the start of this process.
  static constexpr double StartingWeight = 0.5;
  // Parts of the slack of a process, see above.
  static constexpr double SavedShare = 0.4;
  static constexpr double AccruedShare = 0.2;
  static constexpr double StartingShare = 0.2;
  static_assert(SavedShare + AccruedShare + 2 * StartingShare <= 1 + 1e-9);
  static_assert((SavedShare + AccruedShare) * 5 / 3 <= 1 + 1e-9);
  struct Slot {
    std::int64_t Number_ = -1;
    unsigned Requests_ = 0;
    // The requests by their weights.
    double Weight_ = 0;
    unsigned Repeats_ = 0;
    double Missing_ = 0;
  };
  struct Account {
    std::array<Slot, KeptSlots> Slots_;
    // Includes abandoned ones.
    unsigned Outstanding_ = 0;
    unsigned Abandoned_ = 0;
    double Tokens_ = 0;
    std::optional<TimePoint> UpdatedAt_;
    // Requests that may come now without being beyond the usual rate.
    double Expected_ = 0;
    // Requests in a Window, as of the last one.
    double Usual_ = 0;
    std::optional<TimePoint> RequestedAt_;
    // Until then a request counts StartingWeight.
    TimePoint StartsUntil_ = TimePoint::min();
  };

  // Requests, their weight and repeats of the last Slots slots, and outstanding
  // repeats. RecentWeight_: of at most one Window.
  struct Sums {
    unsigned Requests_ = 0;
    double Weight_ = 0;
    double RecentWeight_ = 0;
    unsigned Repeats_ = 0;
  };
  Sums sums(const Account &A, TimePoint Now) const;
  // What the requests alone allow.
  double shareOf(const Sums &S) const;
  // Beyond the share of the requests, in repeats.
  struct FixedPart {
    double Saved_ = 0;
    // In a Window.
    double Accrued_ = 0;
  };
  FixedPart fixedPart(TimePoint Now) const;
  // What may be saved and running at Now.
  double tokenCap(const Account &A, TimePoint Now) const;
  double tokens(const Account &A, TimePoint Now) const;
  // The account with its tokens at Now.
  Account &updated(const ServiceName &Service, TimePoint Now);
  // Requests in a Window.
  double usualRequests(const Account &A, TimePoint Now) const;
  // Expects requests from From until Now.
  void expect(Account &A, TimePoint From, TimePoint Now) const;
  void addMissing(Account &A, double Count, TimePoint From,
                  TimePoint Now) const;
  double missing(const Account &A, TimePoint Now) const;
  // No requests came for so long that those that may come early or late are
  // missing, too.
  void endTolerance(Account &A, TimePoint Now) const;
  // The slot of a missing request that the one that is read now counts for;
  // null if it is not late.
  Slot *takeMissing(Account &A, TimePoint Now) const;
  static void count(Slot &In, double Weight);
  // Of a request that is read now.
  double weight(const Account &A, TimePoint Now) const;
  // Count outstanding repeats have arrived.
  void addArrived(Account &A, unsigned Count, TimePoint Now);

  std::int64_t slotNumber(TimePoint Now) const;
  Slot &slotAt(Account &A, TimePoint Now) const;

  Options Options_;
  unsigned Processes_ = 0;
  std::map<ServiceName, Account> Accounts_;
  std::map<ServiceName, Usage> Usage_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_REPEATBUDGET_H
