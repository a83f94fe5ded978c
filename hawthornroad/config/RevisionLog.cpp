#include "hawthornroad/config/RevisionLog.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/MergePatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

ConfigChange toConfigChange(const RevisionRecord &R) {
  return {.Revision_ = R.Revision_,
          .Change_ = R.Change_,
          .Author_ = R.Author_,
          .Reason_ = R.Reason_,
          .Patch_ = json::serialize(R.Patch_),
          .Digest_ = R.Digest_,
          .AcceptedMs_ = static_cast<std::uint64_t>(R.AcceptedMs_)};
}

RevisionLog::Outcome RevisionLog::apply(const ConfigChange &Change) {
  if (Change.Revision_ <= Revision_)
    return Outcome::Old;
  if (Change.Revision_ > Revision_ + 1)
    return Outcome::Gap;
  json::error_code Code;
  json::value Patch = json::parse(Change.Patch_, Code);
  if (Code)
    return Outcome::Malformed;
  json::value Next = applyMergePatch(Text_, Patch);
  if (textDigest(Next) != Change.Digest_)
    return Outcome::BadDigest;
  Text_ = std::move(Next);
  Revision_ = Change.Revision_;
  retain(Change);
  return Outcome::Applied;
}

RevisionLog::Outcome RevisionLog::applySnapshot(std::string_view Text) {
  TextSnapshot Snapshot;
  try {
    Snapshot = parseSnapshot(Text);
  } catch (const Error &) {
    return Outcome::Malformed;
  }
  if (Snapshot.Revision_ <= Revision_)
    return Outcome::Old;
  if (textDigest(Snapshot.Text_) != Snapshot.Digest_)
    return Outcome::BadDigest;
  Text_ = std::move(Snapshot.Text_);
  Revision_ = Snapshot.Revision_;
  // The changes before the snapshot are unknown, so lagging peers get snapshots
  // until new changes have been applied.
  Recent_.clear();
  RecentBytes_ = 0;
  return Outcome::Applied;
}

std::string RevisionLog::snapshot() const {
  return toText(TextSnapshot{Revision_, Text_, textDigest(Text_)});
}

PushMessage RevisionLog::since(Revision After) const {
  PushMessage Out;
  if (After >= Revision_)
    return Out;
  bool IsCovered =
      !Recent_.empty() && Recent_.front().Revision_ <= After + 1 && After > 0;
  if (!IsCovered || Revision_ - After > Limits_.MaxPush_) {
    Out.Snapshot_ = snapshot();
    Out.SnapshotRevision_ = Revision_;
    return Out;
  }
  std::size_t Skip = After + 1 - Recent_.front().Revision_;
  Out.Changes_.assign(Recent_.begin() + static_cast<std::ptrdiff_t>(Skip),
                      Recent_.end());
  return Out;
}

void RevisionLog::retain(const ConfigChange &Change) {
  Recent_.push_back(Change);
  RecentBytes_ += Change.Patch_.size();
  while (Recent_.size() > Limits_.MaxChanges_ ||
         (RecentBytes_ > Limits_.MaxBytes_ && Recent_.size() > 1)) {
    RecentBytes_ -= Recent_.front().Patch_.size();
    Recent_.pop_front();
  }
}

} // namespace hawthornroad
