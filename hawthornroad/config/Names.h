// The forms of names and addresses that texts and settings may hold.
//
// Names of services, customers, VMs and zones become parts of URLs, of table
// keys ("claim/SERVICE/CUSTOMER/KEY") and of metric labels, so they keep to
// letters, digits and "._-", at most MaxName characters. A name with a slash
// would let one customer's claim key read as another's.

#ifndef HAWTHORNROAD_CONFIG_NAMES_H
#define HAWTHORNROAD_CONFIG_NAMES_H

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornroad {

constexpr std::size_t MaxName = 128;

bool isName(std::string_view Text);
// A name in which '*' may stand too.
bool isNamePattern(std::string_view Text);
// "sha256:" and 64 lower-case hex digits.
bool isDigest(std::string_view Text);

enum class PortRule { AnyPort, NotZero };
// "IP:port" with an IP number, "[IP]:port" for version 6. Names of hosts are
// refused: the system talks by IP numbers only.
bool isAddress(std::string_view Text, PortRule Rule);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_NAMES_H
