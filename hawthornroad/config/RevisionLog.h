// The configuration that a process holds: the full text at its highest
// revision, and the recent changes before it, for peers that lag behind.
//
//   RevisionLog Log({});
//   switch (Log.apply(Change)) ...
//   Log.applySnapshot(SnapshotText);
//   PushMessage M = Log.since(PeerRevision);
//
// Invariant: revision() never decreases, and text() matches its digest. A
// change is applied only on top of its predecessor and only when the resulting
// text has the digest it was accepted with; so stale peers, stale reads of the
// store, and late, duplicate or reordered messages change nothing.
// Bounds: keeps up to MaxChanges_ changes and MaxBytes_ of patches; a peer that
// lags further gets a snapshot. Cost of a change: linear in the text (digest).

#ifndef HAWTHORNROAD_CONFIG_REVISIONLOG_H
#define HAWTHORNROAD_CONFIG_REVISIONLOG_H

#include "hawthornroad/config/RevisionRecord.h"
#include "hawthornroad/membership/ControlMessages.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <deque>
#include <string>
#include <string_view>

namespace hawthornroad {

// Converts a record of the platform's table to the form sent between processes.
ConfigChange toConfigChange(const RevisionRecord &R);

class RevisionLog {
public:
  enum class Outcome {
    Applied,
    Old,       // not above the current revision: ignored
    Gap,       // its predecessor is missing
    BadDigest, // the resulting text is not the accepted one
    Malformed
  };
  struct Limits {
    std::size_t MaxChanges_ = 256;
    std::size_t MaxBytes_ = 1024 * 1024;
    // The most changes in one answer to a peer; beyond it a snapshot is
    // smaller.
    std::size_t MaxPush_ = 64;
  };

  explicit RevisionLog(Limits L)
      : Limits_(L), Text_(boost::json::object_kind) {}

  Outcome apply(const ConfigChange &Change);
  // Text is the value of the config/snapshot key. Never returns Gap.
  Outcome applySnapshot(std::string_view Text);

  Revision revision() const { return Revision_; }
  const boost::json::value &text() const { return Text_; }
  std::string snapshot() const;
  // What a peer at revision After needs: the changes, if the log reaches back
  // that far and they are few, otherwise a snapshot. Empty when the peer is up
  // to date.
  PushMessage since(Revision After) const;

private:
  void retain(const ConfigChange &Change);

  Limits Limits_;
  Revision Revision_ = 0;
  boost::json::value Text_;
  std::deque<ConfigChange> Recent_;
  std::size_t RecentBytes_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_REVISIONLOG_H
