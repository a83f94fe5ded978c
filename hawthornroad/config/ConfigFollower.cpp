#include "hawthornroad/config/ConfigFollower.h"

#include "hawthornroad/base/Error.h"

#include <algorithm>

namespace hawthornroad {

using Outcome = RevisionLog::Outcome;
using ReadKind = ConfigRead::Kind;

namespace {
bool isInvalid(Outcome O) {
  return O == Outcome::BadDigest || O == Outcome::Malformed;
}
} // namespace

ConfigFollower::ConfigFollower(Random Rng, Limits L)
    : Limits_(L), Polls_(Rng, L.Polls_), Log_(L.Log_), PageSize_(L.FirstPage_) {
}

void ConfigFollower::tick(bool IsReader, TimePoint Now, Output &Out) {
  if (Pulling_ && Now >= PulledAt_ + Limits_.PullTimeout_)
    Pulling_ = false;
  if (!Limits_.HasTable_ || !Polls_.isDue(Now))
    return;
  if (ReadTable_ && !IsReader && !Rebuild_)
    return;
  startRead(Now, Out);
}

void ConfigFollower::startRead(TimePoint Now, Output &Out) {
  Revision Held = target().revision();
  Current_ = {Current_.Id_ + 1, NextRead_, SnapshotKey, 1};
  if (NextRead_ == ReadKind::Next)
    Current_.Key_ = revisionKey(Held + 1);
  if (NextRead_ == ReadKind::Page) {
    Current_.Key_ = revisionKey(Held);
    Current_.Limit_ = PageSize_;
  }
  ++Health_.Reads_;
  Polls_.readStarted(Now);
  Out.Read_ = Current_;
}

void ConfigFollower::tableAnswered(const ConfigAnswer &Answer, TimePoint Now,
                                   Output &Out) {
  // Drops late answers to reads that have timed out; the next read asks again.
  if (Answer.Id_ != Current_.Id_)
    return;
  ++Current_.Id_;
  Polls_.readFinished(Answer.Answered_, Now);
  if (!Answer.Answered_) {
    ++Health_.Failures_;
    ++Health_.FailuresInRow_;
    return;
  }
  Health_.LastAnswer_ = Now;
  Health_.FailuresInRow_ = 0;
  Revision Before = Log_.revision();
  if (Current_.Kind_ == ReadKind::Snapshot)
    handleSnapshot(Answer);
  else
    handleChanges(Answer);
  if (NextRead_ != ReadKind::Next)
    Polls_.pollNow(Now);
  reportAdvance(Before, Out);
}

void ConfigFollower::handleSnapshot(const ConfigAnswer &Answer) {
  NextRead_ = ReadKind::Page;
  if (Answer.Values_.empty())
    return;
  if (isInvalid(target().applySnapshot(Answer.Values_.front())))
    ++Refused_;
}

void ConfigFollower::handleChanges(const ConfigAnswer &Answer) {
  RevisionLog &Log = target();
  Revision Before = Log.revision();
  for (const std::string &Each : Answer.Values_) {
    Outcome Result = Outcome::Malformed;
    try {
      Result = Log.apply(toConfigChange(parseRevisionRecord(Each)));
    } catch (const Error &) {
    }
    if (!isInvalid(Result))
      continue;
    ++Refused_;
    // Rebuilds only once: if the rebuilt text fails in the same way, the record
    // itself is invalid, and reading it again does not help.
    if (!Rebuild_) {
      Rebuild_.emplace(Limits_.Log_);
      NextRead_ = ReadKind::Snapshot;
      return;
    }
    break;
  }
  // A page that did not advance the log is not followed by another at once.
  bool Full = Current_.Kind_ == ReadKind::Page &&
              Answer.Values_.size() >= Current_.Limit_ &&
              Log.revision() > Before;
  bool Found = Current_.Kind_ == ReadKind::Next && !Answer.Values_.empty();
  if (Full || Found) {
    NextRead_ = ReadKind::Page;
    PageSize_ =
        Full ? std::min(2 * PageSize_, Limits_.MaxPage_) : Limits_.FirstPage_;
    return;
  }
  finishRebuild();
  NextRead_ = ReadKind::Next;
  PageSize_ = Limits_.FirstPage_;
  ReadTable_ = true;
}

void ConfigFollower::finishRebuild() {
  if (!Rebuild_)
    return;
  if (Rebuild_->revision() > Log_.revision())
    Log_ = std::move(*Rebuild_);
  Rebuild_.reset();
}

void ConfigFollower::observeRevision(const PeerAddress &Peer, Revision Held,
                                     TimePoint Now, Output &Out) {
  HighestSeen_ = std::max(HighestSeen_, Held);
  if (Held > Log_.revision() && !Pulling_)
    pull(Peer, Log_.revision(), Now, Out);
}

void ConfigFollower::pull(const PeerAddress &Peer, Revision After,
                          TimePoint Now, Output &Out) {
  Pulling_ = true;
  PulledAt_ = Now;
  Out.Sends_.push_back({Peer, PullMessage{After}});
}

void ConfigFollower::handle(const PeerAddress &Peer, const PullMessage &M,
                            Output &Out) {
  Out.Sends_.push_back({Peer, Log_.since(M.After_)});
}

void ConfigFollower::handle(const PeerAddress &Peer, const PushMessage &M,
                            TimePoint Now, Output &Out) {
  Pulling_ = false;
  Revision Before = Log_.revision();
  bool Invalid = false;
  bool Gap = false;
  if (!M.Snapshot_.empty())
    Invalid = isInvalid(Log_.applySnapshot(M.Snapshot_));
  for (const ConfigChange &Each : M.Changes_) {
    Outcome Result = Log_.apply(Each);
    Gap = Gap || Result == Outcome::Gap;
    Invalid = Invalid || isInvalid(Result);
    if (Gap || Invalid)
      break;
  }
  if (Invalid)
    ++Refused_;
  // After an invalid snapshot no other is requested at once; the next peer
  // observed to hold a higher revision is asked.
  if (Gap)
    pull(Peer, Log_.revision(), Now, Out);
  else if (Invalid && M.Snapshot_.empty())
    pull(Peer, 0, Now, Out);
  reportAdvance(Before, Out);
}

void ConfigFollower::reportAdvance(Revision Before, Output &Out) {
  if (Log_.revision() == Before)
    return;
  HighestSeen_ = std::max(HighestSeen_, Log_.revision());
  Out.Advanced_ = true;
  Out.Update_ = Log_.since(Before);
}

} // namespace hawthornroad
