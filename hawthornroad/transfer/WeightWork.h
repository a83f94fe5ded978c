// What the parts of the weight path share: where work is done, and how its
// outcome comes back to the decisions.
//
//   runOnFile<bool>(Work, weak_from_this(),
//       [=](ChunkStore &S) { S.write(...); return true; },
//       [this](FileOutcome<bool> Out, TimePoint Now) {...});
//
// The file thread blocks and hashes; the decision loop never does. Then runs in
// the loop, and not at all when its owner is gone by then. A full ring loses
// the outcome: whoever waits for one has a time limit.

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

// A result, or why there is none.
template <class Result> struct FileOutcome {
  std::optional<Result> Result_;
  std::string Why_;
};

// False when the file thread's ring is full; Then does not run.
template <class Result>
bool runOnFile(const WeightWork &W, std::weak_ptr<void> Owner,
               std::function<Result(ChunkStore &)> Work,
               std::function<void(FileOutcome<Result>, TimePoint)> Then) {
  return W.FileIo_.submit([&Loop = W.Loop_, Store = W.Store_,
                           Owner = std::move(Owner), Work = std::move(Work),
                           Then = std::move(Then)] {
    FileOutcome<Result> Out;
    try {
      Out.Result_ = Work(*Store);
    } catch (const std::exception &E) {
      Out.Why_ = E.what();
    }
    if (Owner.expired())
      return;
    Loop.post([Owner, Then, Out = std::move(Out)](TimePoint Now) {
      if (auto Alive = Owner.lock())
        Then(Out, Now);
    });
  });
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTWORK_H
