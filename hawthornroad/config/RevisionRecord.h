// The platform's record of accepted changes: one immutable key a revision,
// and now and then a snapshot of the whole text (docs/STANDINS.md, "Keys of
// the platform's table").
//
//   RevisionFold Fold;                       // nothing accepted yet
//   Fold.start(parseSnapshot(Value));        // optional short cut
//   for (const RevisionRecord &R : Records)  // in order
//     Fold.add(R);
//   Fold.text();                             // the text in force
//
// A record holds a merge patch against the revision before it and the digest
// of the text after it. The fold checks each digest, so a lost, doubled or
// changed record is an error and never a silently different text.

#ifndef HAWTHORNROAD_CONFIG_REVISIONRECORD_H
#define HAWTHORNROAD_CONFIG_REVISIONRECORD_H

#include "hawthornroad/base/Types.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornroad {

inline const std::string RevisionKeyPrefix = "config/revision/";
inline const std::string SnapshotKey = "config/snapshot";

// The key of revision N, N padded to 12 digits so that keys sort by number.
std::string revisionKey(Revision N);

struct RevisionRecord {
  Revision Revision_ = 0;
  // The id by which a retried apply knows its own change.
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  // A merge patch (RFC 7386) against the text of revision Revision_ - 1.
  boost::json::value Patch_;
  // textDigest() of the text after the patch.
  std::string Digest_;
  // Wall clock of the operator's machine, milliseconds since the epoch.
  std::int64_t AcceptedMs_ = 0;
  bool operator==(const RevisionRecord &) const = default;
};

struct TextSnapshot {
  Revision Revision_ = 0;
  boost::json::value Text_;
  std::string Digest_;
  bool operator==(const TextSnapshot &) const = default;
};

// Both throw Error(Step::Apply) naming what is wrong with the value.
RevisionRecord parseRevisionRecord(std::string_view Value);
TextSnapshot parseSnapshot(std::string_view Value);
std::string toText(const RevisionRecord &R);
std::string toText(const TextSnapshot &S);

class RevisionFold {
public:
  // Before anything is accepted the text is {} at revision 0.
  RevisionFold();
  // Throws Error(Step::Apply) when the digest does not fit the text.
  void start(TextSnapshot S);
  // Throws Error(Step::Apply) when R is not the next revision, or when the
  // text after its patch does not have its digest.
  void add(const RevisionRecord &R);
  Revision revision() const { return Revision_; }
  const boost::json::value &text() const { return Text_; }

private:
  Revision Revision_ = 0;
  boost::json::value Text_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_REVISIONRECORD_H
