// Shared by the parts of weight transfer: the threads on which work runs, and
// how its result returns to the decision loop.
//
//   runOnFileThread<bool>(Work, weak_from_this(),
//       [=](ChunkStore &S) { S.write(...); return true; },
//       [this](FileOutcome<bool> Out, TimePoint Now) {...});
//
// The file thread blocks and hashes; the decision loop never does. OnDone runs
// in the loop, and not at all if its owner has been destroyed. When the loop's
// ring is full the outcome is lost, so callers that wait for one set a time
// limit.

#ifndef HAWTHORNROAD_TRANSFER_WEIGHTWORK_H
#define HAWTHORNROAD_TRANSFER_WEIGHTWORK_H

#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/transfer/ChunkStore.h"

#include <functional>
#include <memory>
#include <optional>

namespace hawthornroad {

struct WeightWork {
  DecisionLoop &Loop_;
  PeerNet &Net_;
  IoThread &FileIo_;
  Metrics &Metrics_;
  std::shared_ptr<ChunkStore> Store_;
};

// A result, or the reason why there is none.
template <class Result> struct FileOutcome {
  std::optional<Result> Result_;
  std::string Reason_;
};

// Returns false when the file thread's ring is full; OnDone does not run.
template <class Result>
bool runOnFileThread(
    const WeightWork &W, std::weak_ptr<void> Owner,
    std::function<Result(ChunkStore &)> Work,
    std::function<void(FileOutcome<Result>, TimePoint)> OnDone) {
  return W.FileIo_.submit([&Loop = W.Loop_, Store = W.Store_,
                           Owner = std::move(Owner), Work = std::move(Work),
                           OnDone = std::move(OnDone)] {
    FileOutcome<Result> Out;
    try {
      Out.Result_ = Work(*Store);
    } catch (const std::exception &E) {
      Out.Reason_ = E.what();
    }
    if (Owner.expired())
      return;
    Loop.post([Owner, OnDone, Out = std::move(Out)](TimePoint Now) {
      if (auto Alive = Owner.lock())
        OnDone(Out, Now);
    });
  });
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTWORK_H
