// The configuration a process holds: the whole text at its highest revision,
// and the recent changes that led there, for peers that lag.
//
//   RevisionLog Log({});
//   switch (Log.apply(Change)) ...
//   Log.applySnapshot(TextOfKey);
//   PushMessage M = Log.since(PeerRevision);
//
// Invariant: revision() never falls, and text() is what its digest says. A
// change is applied only on top of its predecessor and only when the text then
// has the digest it was accepted with; so a stale peer, a store answering from
// an old copy, and words late, doubled or out of order change nothing.
// Bounds: MaxChanges_ changes and MaxBytes_ of patches are kept; one that lags
// further gets a snapshot. Cost of a change: linear in the text (its digest).

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

// The change of a record of the platform's table, as processes pass it on.
ConfigChange toConfigChange(const RevisionRecord &R);

class RevisionLog {
public:
  enum class Outcome {
    Applied,
    Old,       // at or below what is held: nothing to do
    Gap,       // its predecessor is not held
    BadDigest, // the text after the patch is not what was accepted
    Malformed
  };
  struct Limits {
    std::size_t MaxChanges_ = 256;
    std::size_t MaxBytes_ = 1024 * 1024;
    // Of one answer to a peer; beyond it a snapshot is the smaller way.
    std::size_t MaxPush_ = 64;
  };

  explicit RevisionLog(Limits L)
      : Limits_(L), Text_(boost::json::object_kind) {}

  Outcome apply(const ConfigChange &Change);
  // Text is the value of a config/snapshot key. Never Gap.
  Outcome applySnapshot(std::string_view Text);

  Revision revision() const { return Revision_; }
  const boost::json::value &text() const { return Text_; }
  std::string snapshot() const;
  // What a peer needs that holds After: changes when the log reaches back that
  // far and they are few, else a snapshot. Nothing when it lags not at all.
  PushMessage since(Revision After) const;

private:
  void remember(const ConfigChange &Change);

  Limits Limits_;
  Revision Revision_ = 0;
  boost::json::value Text_;
  std::deque<ConfigChange> Recent_;
  std::size_t RecentBytes_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_REVISIONLOG_H
