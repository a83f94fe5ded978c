// The platform's record of accepted changes: one immutable key for each
// revision, and from time to time a snapshot of the full text
// (docs/STANDINS.md, "Keys of the platform's table").
//
//   RevisionFold Fold;                       // nothing accepted yet
//   Fold.start(parseSnapshot(Value));        // optional, saves reads
//   for (const RevisionRecord &R : Records)  // in order
//     Fold.add(R);
//   Fold.text();                             // the text in force
//
// A record holds a merge patch against the previous revision and the digest of
// the resulting text. RevisionFold checks each digest, so a lost, duplicate or
// modified record is an error and never yields a different text unnoticed.

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

// The key of revision N, padded to 12 digits so that keys sort numerically.
std::string revisionKey(Revision N);

struct RevisionRecord {
  Revision Revision_ = 0;
  // The change id, by which a retried apply recognizes its own record.
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  // A merge patch (RFC 7386) against the text of revision Revision_ - 1.
  boost::json::value Patch_;
  // textDigest() of the patched text.
  std::string Digest_;
  // Wall clock time of the operator's machine, milliseconds since the epoch.
  std::int64_t AcceptedMs_ = 0;
  bool operator==(const RevisionRecord &) const = default;
};

struct TextSnapshot {
  Revision Revision_ = 0;
  boost::json::value Text_;
  std::string Digest_;
  bool operator==(const TextSnapshot &) const = default;
};

// Both throw Error(Step::Apply) that says what is wrong with the value.
RevisionRecord parseRevisionRecord(std::string_view Value);
TextSnapshot parseSnapshot(std::string_view Value);
std::string toText(const RevisionRecord &R);
std::string toText(const TextSnapshot &S);

class RevisionFold {
public:
  // Starts at revision 0 with the text {}.
  RevisionFold();
  // Starts from a snapshot. Throws Error(Step::Apply) when its digest does not
  // match its text.
  void start(TextSnapshot S);
  // Applies R. Throws Error(Step::Apply) when R is not the next revision, or
  // when the patched text does not match its digest.
  void add(const RevisionRecord &R);
  Revision revision() const { return Revision_; }
  const boost::json::value &text() const { return Text_; }

private:
  Revision Revision_ = 0;
  boost::json::value Text_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_REVISIONRECORD_H
