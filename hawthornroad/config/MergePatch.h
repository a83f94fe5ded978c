// Changes of the operators' text as JSON merge patches (RFC 7386), and the
// one spelling of a text that its digest is taken of.
//
//   json::value Patch = makeMergePatch(Old, New);
//   json::value Same = applyMergePatch(Old, Patch);   // equals New
//   textDigest(Same) == textDigest(New)
//
// A merge patch cannot set a member to null: null means "remove". The
// declaration has no null members, so nothing is lost.
//
// The canonical text sorts keys, has no white space and writes fractions with
// CanonicalDigits digits. Boost.JSON's parser may be off by a unit in the last
// place, so a fraction that travelled as text can differ in its last bits on
// two machines; cut to fewer digits than a double holds, both spell it alike.
// Invariant: canonicalText(parse(canonicalText(V))) == canonicalText(V).
// Cost: linear in the text; recursion as deep as the text is nested.

#ifndef HAWTHORNROAD_CONFIG_MERGEPATCH_H
#define HAWTHORNROAD_CONFIG_MERGEPATCH_H

#include <boost/json/value.hpp>
#include <string>

namespace hawthornroad {

constexpr int CanonicalDigits = 12;

// Target with Patch merged in.
boost::json::value applyMergePatch(boost::json::value Target,
                                   const boost::json::value &Patch);

// The smallest patch that turns From into To; {} when nothing differs.
boost::json::value makeMergePatch(const boost::json::value &From,
                                  const boost::json::value &To);

std::string canonicalText(const boost::json::value &Text);

// "sha256:" and the hash of canonicalText(Text) in hex.
std::string textDigest(const boost::json::value &Text);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_MERGEPATCH_H
