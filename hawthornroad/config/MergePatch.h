// JSON merge patches (RFC 7386) between declarations, and the canonical text
// of a declaration, over which its digest is computed.
//
//   json::value Patch = makeMergePatch(Old, New);
//   json::value Same = applyMergePatch(Old, Patch);   // equals New
//   textDigest(Same) == textDigest(New)
//
// A merge patch cannot set a member to null, because null means "remove". The
// declaration has no null members, so it loses nothing.
//
// The canonical text has sorted keys, no white space, and fractions with
// CanonicalDigits significant digits. Boost.JSON's parser may be off by one
// unit in the last place, so a fraction sent as text can differ in its last
// bits on two machines; with fewer digits than a double holds, both write the
// same text.
// Invariant: canonicalText(parse(canonicalText(V))) == canonicalText(V).
// Cost: linear in the text; recursion as deep as the nesting of the text.

#ifndef HAWTHORNROAD_CONFIG_MERGEPATCH_H
#define HAWTHORNROAD_CONFIG_MERGEPATCH_H

#include <boost/json/value.hpp>
#include <string>

namespace hawthornroad {

constexpr int CanonicalDigits = 12;

// Returns Target with Patch applied.
boost::json::value applyMergePatch(boost::json::value Target,
                                   const boost::json::value &Patch);

// Returns the smallest patch that turns From into To; {} when they are equal.
boost::json::value makeMergePatch(const boost::json::value &From,
                                  const boost::json::value &To);

std::string canonicalText(const boost::json::value &Text);

// Returns "sha256:" and the hex SHA-256 of canonicalText(Text).
std::string textDigest(const boost::json::value &Text);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_MERGEPATCH_H
